"""Quotas through trouble of the shared counter: how a replaced counter, one back with old values and a split fleet
are recognised, what is written back, and the overspend that each may cost at most. Free of I/O."""

from .bound import Bounds, bounds, bounds_of, bucket_of
from .model import Answered, Asked, Beat, Bring, Recovery, RecoverySettings, Report, Tell

__all__ = [
    "Answered",
    "Asked",
    "Beat",
    "Bounds",
    "Bring",
    "Recovery",
    "RecoverySettings",
    "Report",
    "Tell",
    "bounds",
    "bounds_of",
    "bucket_of",
]
