"""Log lines as key=value, and the counts of what was taken in, sent and answered."""

from .counts import Counts
from .keyvalue import set_up

__all__ = ["Counts", "set_up"]
