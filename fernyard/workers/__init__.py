"""The side of the workers: a dispatch is written to one worker, and how it ended is reported once."""

from .pool import Outcome, WorkerPool

__all__ = ["Outcome", "WorkerPool"]
