"""The side of discovery: the list of workers, watched."""

from .pace import Pace
from .watch import Told, Watch

__all__ = ["Pace", "Told", "Watch"]
