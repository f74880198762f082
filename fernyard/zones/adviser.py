"""Which zones are served, decided by planners from what many gatekeepers report: the part `zones` of the agreed order. Free of
I/O.

    {ZONE: ["out", since, falls, hold] or ["back", since, falls, hold], ...}; a zone that is well stands not in it.

One gatekeeper sees a few reqs a second and learns of each worker of a lost zone alone; together they know within a second.
A zone is taken out where at least `LEAST` reporters, and half of all that sent there, have seen `IN_A_ROW` dispatches fail in a
row there, and most of what goes elsewhere passes: what fails everywhere is no zone's fault. A zone that is slow, or passes half,
still carries half, and near saturation that is missed more than its failures cost: it stays. No reporter counts for more than
one, and one that is late itself reports nothing. Never are more zones out than stay in, so that what is left can carry something; of zones that
fail together the worst goes.

While a zone is out a few gatekeepers still try one worker of it (`filter.py`). It comes back once those see it pass for half
its hold; the hold doubles twice with each fall, so that a zone that flaps is held out for longer each time, and is forgotten
once the zone was well for `WELL`. It comes back in steps that every gatekeeper takes by itself from the time in the order, so
that a fall and a return are one order each.

Times are whole tenths of a millisecond of Unix time.
"""

from dataclasses import dataclass

SECOND = 10_000
LEAST = 3                       # reporters, below which nothing is taken for the zone's fault
FEW, TRIED = 0.5, 0.2           # dispatches ended there of late, faded, below which a reporter knows nothing; of a zone that is out
IN_A_ROW, PASSES, ELSEWHERE = 2, 0.3, 0.3
PASSED_BY = 2                   # reporters that see a zone that is out pass
FIRST_HOLD, LONGEST_HOLD = 2 * SECOND, 120 * SECOND
RETURN = 2 * SECOND             # a return's steps take so long (filter.py)
WELL = 60 * SECOND


@dataclass(slots=True)
class Seen:
    """Of one zone: what each reporter counted (passed, failed, failed in a row); dispatches and failures of all."""

    counts: list
    sent: float = 0.0
    failed: float = 0.0

    def shares(self, least):
        """The failing share of each reporter that knows enough."""
        return [failed / (passed + failed) for passed, failed, _ in self.counts if passed + failed >= least]

    @property
    def share(self):
        return self.failed / self.sent if self.sent else 0.0


class ZonesAdviser:
    """`zones`: their names."""

    name = "zones"

    def __init__(self, zones):
        self.zones, self.good_since = tuple(zones), {}

    def advise(self, now, reports, order):
        part = order.parts.get(self.name)
        made = self._made(now, part or {}, self.seen(reports))
        return part if made == (part or {}) else made

    def seen(self, reports):
        told = {zone: Seen([]) for zone in self.zones}
        for name in sorted(reports):
            counts = reports[name].get(self.name)
            for zone, count in counts.items() if isinstance(counts, dict) else ():
                if zone in told and _counted(count):
                    passed, failed, row = count
                    seen = told[zone]
                    seen.sent, seen.failed = seen.sent + passed + failed, seen.failed + failed
                    seen.counts.append((passed, failed, row))
        return told

    def _made(self, now, part, told):
        made = {zone: state for zone, state in part.items() if zone in self.zones}
        for zone, (state, since, falls, hold) in sorted(made.items()):
            seen = told[zone]
            if state == "out":
                self._watch(now, zone, seen)
                good = now - self.good_since.get(zone, now)
                if now - since >= hold and good >= max(SECOND, hold // 2):
                    made[zone] = ["back", now, falls, hold]
            elif self._fails(seen, told, zone) and now - since > SECOND // 2:
                made[zone] = ["out", now, falls + 1, min(LONGEST_HOLD, 4 * hold)]
                self.good_since.pop(zone, None)
            elif now - since > WELL:
                del made[zone]                  # its falls are forgotten
        out = [zone for zone, state in made.items() if state[0] == "out"]
        failing = [zone for zone in self.zones if zone not in made and self._fails(told[zone], told, zone)]
        most = max(0, (len(self.zones) - 1) // 2 if len(self.zones) > 2 else len(self.zones) - 1) - len(out)
        for zone in sorted(failing, key=lambda zone: (-told[zone].share, zone))[:max(0, most)]:
            made[zone] = ["out", now, 1, FIRST_HOLD]
            self.good_since.pop(zone, None)
        return made

    def _watch(self, now, zone, seen):
        """Since when those that still try it see it pass."""
        shares = seen.shares(TRIED)
        good = sum(share <= PASSES for share in shares)
        if good >= PASSED_BY and 2 * good > len(shares):
            self.good_since.setdefault(zone, now)
        elif 2 * good <= len(shares):
            self.good_since.pop(zone, None)

    def _fails(self, seen, told, zone):
        known = [row for passed, failed, row in seen.counts if passed + failed >= FEW or row >= IN_A_ROW]
        bad = sum(row >= IN_A_ROW for row in known)
        if bad < LEAST or 2 * bad < len(known):
            return False
        others = [told[other] for other in self.zones if other != zone]
        sent = sum(other.sent for other in others)
        return bool(sent) and sum(other.failed for other in others) / sent < ELSEWHERE


def _counted(count):
    return isinstance(count, list) and len(count) == 3 and all(
        isinstance(n, (int, float)) and not isinstance(n, bool) and 0 <= n < 1e9 for n in count)
