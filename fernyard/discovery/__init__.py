"""The side of discovery: the list of workers, watched."""

from .watch import Told, Watch

__all__ = ["Told", "Watch"]
