"""The counter gateway's side of quotas: two buckets for each tenant whose counts it has. Free of I/O; times are seconds."""

import attrs

from ...estimate import Tally
from ..common.messages import Count, RegistryVersion, Total
from ..common.replay import Incarnations, ReplayWindow
from .usage import counter_id, new_tally

UNUSED_RETENTION = 60.0  # after which the counts of an unused tenant are forgotten


@attrs.define
class _Sender:
    """A gateway that sends adds: its incarnations, and which adds of the current one came."""

    incarnations: Incarnations = attrs.Factory(Incarnations)
    window: ReplayWindow = attrs.Factory(ReplayWindow)
    used_at: float = 0.0


@attrs.define
class _Report:
    """What a gateway reported last of one tenant."""

    incarnation: int
    request_id: int
    owed: float


@attrs.define
class _TenantCounts:
    """`began_at`: when the first bucket began; `reports`: by gateway."""

    tally: Tally
    began_at: float
    reports: dict[str, _Report]
    used_at: float = 0.0


class CounterTable:
    """The counts of all tenants that this gateway is the counter of.

    After a start it is empty; each gateway reports with its first add what it admitted of late, and that becomes the previous
    bucket.
    """

    def __init__(self, node: str, incarnation: int) -> None:
        """`node`: ours."""
        self.id, self.incarnation = counter_id(node), incarnation
        self.tenants: dict[str, _TenantCounts] = {}
        self.senders: dict[str, _Sender] = {}

    def add(self, now: float, count: Count, registry: RegistryVersion) -> Total | None:
        """Answers an add; None where it is not for us, came before, or is of a former incarnation of its sender.

        `registry`: the version that we have.
        """
        if count.counter != self.id or not self._is_new(now, count):
            return None
        counts = self._counts(now, count)
        tally, at = counts.tally, now - counts.began_at
        tally.roll(at)
        tally.limit, counts.used_at = count.limit, now
        _add_owed(counts, count)
        total = tally.total + count.units
        # What would pass the limit is not added: the sender refuses on the same estimate, and its units are given back here
        # rather than by a second message that would stand in others' way for as long as it travels.
        if count.units <= 0 or tally.was * tally.overlap(at) + total <= tally.limit:
            tally.put(tally.bucket, count.units)
        if len(self.tenants) > 1 and at > UNUSED_RETENTION:
            self._forget_unused(now)
        return Total(
            count.request_id,
            count.incarnation,
            self.id,
            self.incarnation,
            tally.was,
            total,
            tally.overlap(at),
            registry,
        )

    def _is_new(self, now: float, count: Count) -> bool:
        sender = self.senders.get(count.node)
        if sender is None:
            sender = self.senders[count.node] = _Sender()
        former = sender.incarnations.current
        if not sender.incarnations.accept(now, count.incarnation):
            return False
        if count.incarnation != former:
            sender.window = ReplayWindow()
        sender.used_at = now
        return sender.window.accept(count.request_id)

    def _counts(self, now: float, count: Count) -> _TenantCounts:
        """The counts of a tenant, begun again where the length of its buckets changed."""
        counts = self.tenants.get(count.tenant)
        if counts is None or abs(counts.tally.length - count.length) > 1e-6:
            before = counts.tally.estimate(now - counts.began_at) if counts is not None else 0.0
            reports = counts.reports if counts is not None else {}
            counts = self.tenants[count.tenant] = _TenantCounts(new_tally(count.length, count.limit), now, reports)
            counts.tally.roll(0.0)
            counts.tally.was = before
        return counts

    def _forget_unused(self, now: float) -> None:
        self.tenants = {
            name: counts for name, counts in self.tenants.items() if now - counts.used_at < UNUSED_RETENTION
        }
        self.senders = {
            node: sender for node, sender in self.senders.items() if now - sender.used_at < UNUSED_RETENTION
        }


def _add_owed(counts: _TenantCounts, count: Count) -> None:
    """Adds what a gateway admitted without an add of its own."""
    report = counts.reports.get(count.node)
    if report is None or report.incarnation != count.incarnation:
        counts.tally.was += count.recent  # what it owes is a part of that
    elif count.request_id < report.request_id:
        return  # overtaken: a later one has reported more
    else:
        counts.tally.put(counts.tally.bucket, count.owed - report.owed)
    counts.reports[count.node] = _Report(count.incarnation, count.request_id, count.owed)
