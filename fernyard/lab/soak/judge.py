"""What a check works with: the records of one run, indexed, and what may be judged of them. Free of I/O; times are seconds."""

from bisect import bisect_left, bisect_right
from collections import defaultdict

import attrs

from .description import SoakDescription
from .records import Disturbance, Records, Work

WAKE_DELAY_FRACTION = 0.25  # of a bound, by which a probe may be woken late while the bound is judged
FAILURES = ("worker_crash", "link_cut", "link_slow")  # troubles by which a worker's answer may never come


@attrs.define
class Judgement:
    """One check: how many things were judged and not judged, what broke it, and its worst figure."""

    name: str
    judged: int = 0
    unjudged: int = 0
    findings: list[str] = attrs.Factory(list)
    worst: float = 0.0


@attrs.define
class Verdict:
    """All checks of a run. `state`: "kept", "broken" or "not judged"."""

    state: str
    judged_fraction: float
    judgements: list[Judgement]

    @property
    def broken(self) -> list[str]:
        """The names of the checks that broke."""
        return [judgement.name for judgement in self.judgements if judgement.findings]


class Judge:
    """The records of one run, indexed for the checks."""

    def __init__(self, description: SoakDescription, records: Records) -> None:
        self.description, self.bounds, self.records = description, description.bounds, records
        self.work_of: dict[str, list[Work]] = defaultdict(list)
        for work in records.work:
            self.work_of[work.id].append(work)
        self.try_of = {made.id: made for made in records.tries}
        self.disturbed: dict[str, list[Disturbance]] = defaultdict(list)
        for disturbance in records.disturbances:
            self.disturbed[disturbance.name].append(disturbance)
        self.controls = [name for name in self.disturbed if name.startswith("control-plane")]
        self.wake_delay_at = [at for at, _ in records.wake_delays]

    def could_keep(self, begin: float, end: float, bound: float) -> bool:
        """Were the probes woken in time between these moments, as measured by the bound?"""
        first, last = bisect_left(self.wake_delay_at, begin - 0.2), bisect_right(self.wake_delay_at, end + 0.2)
        worst = max((late for _, late in self.records.wake_delays[first:last]), default=0.0)
        return worst <= WAKE_DELAY_FRACTION * bound

    def disturbances(self, name: str, begin: float, end: float) -> list[Disturbance]:
        """What was done to a process, worker or link between these moments."""
        return [one for one in self.disturbed.get(name, ()) if one.begin <= end and one.end >= begin]

    def in_touch(self, gateway: str, begin: float, end: float) -> bool:
        """Was nothing done to the gateway or to a control plane from `contactS` before until the end?"""
        since = begin - self.bounds.contactS
        return not any(self.disturbances(name, since, end) for name in (gateway, *self.controls))

    def worker_failed(self, worker: str, begin: float, end: float) -> bool:
        """Did a worker or its link break off what it had in hand between these moments?"""
        return any(one.kind in FAILURES for one in self.disturbances(worker, begin, end))

    def link_held(self, worker: str, begin: float, end: float) -> bool:
        """Was a worker's link in trouble from `contactS` before until the end?"""
        since = begin - self.bounds.contactS
        return any(one.kind.startswith("link") for one in self.disturbances(worker, since, end))
