"""What the counter gateway and its clients share of the weighted two-bucket estimate (docs/system.md). Free of I/O."""

from functools import lru_cache
from types import SimpleNamespace
from typing import NamedTuple
from zlib import crc32

from ...estimate import Tally

BUCKET_BURSTS, MIN_BUCKET = 1.05, 0.5  # length of a bucket: in bursts over rate; seconds at least
GRAIN = 2.0  # units above the limit, for the coarseness of small counts
MAX_QUOTAS = 4096  # different quotas whose buckets are remembered; it is asked three times for each request


class Bucket(NamedTuple):
    """`length` in seconds; `limit`: units that the estimate may reach."""

    length: float
    limit: float


@lru_cache(maxsize=MAX_QUOTAS)
def bucket_of(rate: float, burst: float) -> Bucket:
    """The bucket of a tenant's quota; a burst of nought gets the shortest bucket."""
    length = max(MIN_BUCKET, BUCKET_BURSTS * burst / rate)
    return Bucket(length, max(burst, rate * length / BUCKET_BURSTS) + min(GRAIN, GRAIN * length))


def new_tally(length: float, limit: float) -> Tally:
    """Two empty buckets."""
    return Tally(SimpleNamespace(doors=1), False, length, limit)


def counter_id(node: str) -> int:
    """A short id of a counter gateway, for datagrams."""
    return crc32(node.encode())
