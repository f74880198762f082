"""Structured log lines (structlog) and the counts of what was taken in, sent and answered."""

from .counts import Counts
from .structured import FORMS, set_up, through_logging

__all__ = ["Counts", "FORMS", "set_up", "through_logging"]
