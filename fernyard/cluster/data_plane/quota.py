"""A tenant's quota over all gateways: the weighted two-bucket estimate on counts that counter gateways have.

One add per request; the total returned decides; what is past the limit is refused at once and its units are given back.
What was kept from the paper and what was changed: docs/system.md. This is the side of the gateway that admits requests;
`counter.py` is the other. Free of I/O; times are seconds.
"""

from typing import NamedTuple

import attrs

from ...estimate import Mean, Tally
from ..common.messages import Count, RegistryVersion, Tenant, Total
from ..common.replay import Incarnations
from .request import Request
from .usage import bucket_of, counter_id, new_tally

# The time-out of an add: in usual times of the counter, at least and at most.
TIMEOUT_FACTOR, MIN_TIMEOUT, MAX_TIMEOUT = 3.0, 0.05, 0.3
SILENT_AFTER = 2  # time-outs in a row, after which no answer is waited for
TIME_TAU, TIME_WEIGHT = 10.0, 0.1  # of the mean of a counter's times
LOCAL_FRACTION = 0.8  # of our usual fraction of the limit, while the counter does not answer
MIN_LOCAL_FRACTION = 0.5  # of an even share among all gateways
FRACTION_LEARNING_RATE = 0.02
MIN_RETRY_AFTER = 0.05


class Add(NamedTuple):
    """An add to send, and how long to wait for its answer; 0: the counter is silent, decide now."""

    message: Count
    timeout: float


@attrs.define
class PendingAdd:
    """An add without an answer yet. `counter`: the gateway that was asked; `request`: what waits for it."""

    counter: str
    sent_at: float
    request: Request


class QuotaClient:
    """Counts and decides for the requests of one gateway."""

    def __init__(self, node: str, incarnation: int) -> None:
        """`node`: ours; `incarnation`: a number that no other run of any process has."""
        self.node, self.incarnation = node, incarnation
        self.pending: dict[int, PendingAdd] = {}
        self.incarnations: dict[str, Incarnations] = {}  # of counters
        self._request_id = 0
        self._local: dict[str, Tally] = {}  # what this gateway admitted, by tenant
        self._fraction: dict[str, float] = {}  # of all use that is ours, by tenant
        self._owed: dict[str, float] = {}  # units that no counter has been told of, by tenant
        self._times: dict[str, Mean] = {}  # by counter
        self._timeouts: dict[str, int] = {}  # in a row, by counter
        self._newest: dict[str, int] = {}  # request id that was answered, by counter

    def _local_tally(self, now: float, tenant: Tenant) -> Tally:
        length, limit = bucket_of(tenant.rate, tenant.burst)
        tally = self._local.get(tenant.name)
        if tally is None or tally.length != length:
            tally = self._local[tenant.name] = new_tally(length, limit)
        tally.limit = limit
        tally.roll(now)
        return tally

    # Adds ------------------------------------------------------------------------------------------------------------

    def request_add(self, now: float, tenant: Tenant, counter: str, registry: RegistryVersion, request: Request) -> Add:
        """The add of one unit, for the gateway `counter`. `registry`: the version that we have."""
        tally = self._local_tally(now, tenant)
        self._request_id += 1
        self.pending[self._request_id] = PendingAdd(counter, now, request)
        count = Count(
            self._request_id,
            self.node,
            self.incarnation,
            counter_id(counter),
            tenant.name,
            tally.length,
            tally.limit,
            1.0,
            self._owed.get(tenant.name, 0.0),
            tally.estimate(now),
            registry,
        )
        return Add(count, self._timeout(now, counter))

    def _timeout(self, now: float, counter: str) -> float:
        if self._timeouts.get(counter, 0) >= SILENT_AFTER:
            return 0.0
        times = self._times.get(counter)
        if times is None:
            return MAX_TIMEOUT
        usual: float = times.read(now)
        return min(MAX_TIMEOUT, max(MIN_TIMEOUT, TIMEOUT_FACTOR * usual))

    def match(self, now: float, total: Total) -> PendingAdd | None:
        """The pending add that a total answers, or None: it is of another incarnation, of another counter, or came before."""
        pending = self.pending.get(total.request_id)
        if pending is None or not self._answers(pending, total):
            return None
        counter = pending.counter
        if not self._is_current(now, counter, total):
            return None  # the counter has restarted since and knows nothing of it
        del self.pending[total.request_id]
        self._timeouts.pop(counter, None)
        elapsed = now - pending.sent_at
        if counter not in self._times:
            self._times[counter] = Mean(TIME_TAU, now, elapsed, TIME_WEIGHT)
        self._times[counter].add(now, elapsed)
        return pending

    def _answers(self, pending: PendingAdd, total: Total) -> bool:
        """Adds are numbered anew in each incarnation."""
        return total.incarnation == self.incarnation and total.counter == counter_id(pending.counter)

    def _is_current(self, now: float, counter: str, total: Total) -> bool:
        """Is it of the counter's current incarnation? A later add that was answered already shows which one that is."""
        incarnations = self.incarnations.setdefault(counter, Incarnations())
        newest = self._newest.get(counter, 0)
        if total.counter_incarnation != incarnations.current and total.request_id < newest:
            return False
        self._newest[counter] = max(newest, total.request_id)
        return incarnations.accept(now, total.counter_incarnation)

    def timed_out(self, request_id: int, counter: str) -> PendingAdd | None:
        """No answer came in time; the add, if it was still pending."""
        pending = self.pending.pop(request_id, None)
        if pending is not None:
            self._timeouts[counter] = self._timeouts.get(counter, 0) + 1
        return pending

    # Decisions -------------------------------------------------------------------------------------------------------

    def fits(self, now: float, tenant: Tenant, total: Total) -> bool:
        """Does the total returned, with this request's unit, fit the limit?"""
        tally = self._local_tally(now, tenant)
        limit: float = tally.limit
        estimate = total.previous * total.overlap + total.current
        if estimate > 0:
            fraction = min(1.0, (tally.estimate(now) + 1.0) / estimate)
            known = self._fraction.get(tenant.name, fraction)
            self._fraction[tenant.name] = known * (1 - FRACTION_LEARNING_RATE) + fraction * FRACTION_LEARNING_RATE
        return estimate <= limit

    def fits_locally(self, now: float, tenant: Tenant, gateways: int) -> bool:
        """Without an answer: does it fit our usual fraction of the limit, by our own counts? `gateways`: how many there are."""
        tally = self._local_tally(now, tenant)
        fraction = max(self._fraction.get(tenant.name, 0.0), MIN_LOCAL_FRACTION / max(1, gateways))
        estimate: float = tally.estimate(now)
        limit: float = tally.limit
        return estimate + 1.0 <= max(1.0, LOCAL_FRACTION * fraction * limit)

    def admitted(self, now: float, tenant: Tenant, counted: bool) -> None:
        """A request was admitted; where no counter was told (`counted` is false), the next add tells."""
        tally = self._local_tally(now, tenant)
        tally.put(tally.bucket, 1.0)
        if not counted:
            self._owed[tenant.name] = self._owed.get(tenant.name, 0.0) + 1.0

    def give_back(self, now: float, tenant: Tenant) -> None:
        """A request that was admitted has not run: its unit is given back, here and with the next add."""
        tally = self._local_tally(now, tenant)
        tally.put(tally.bucket, -1.0)
        self._owed[tenant.name] = self._owed.get(tenant.name, 0.0) - 1.0

    @staticmethod
    def retry_after(tenant: Tenant, total: Total | None) -> float:
        """Seconds until the estimate may have room again."""
        length, limit = bucket_of(tenant.rate, tenant.burst)
        if total is None:
            return max(MIN_RETRY_AFTER, length)
        spare = max(0.0, limit - 1.0 - total.current) / max(total.previous, 1e-9)
        return max(MIN_RETRY_AFTER, total.overlap * length - spare * length)
