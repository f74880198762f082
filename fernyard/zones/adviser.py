"""Which zones are served, decided by planners from what many gatekeepers report: the part `zones` of the agreed order. Free of
I/O.

    {ZONE: ["out", since, falls, hold] or ["back", since, falls, hold], ...; "@near": {ZONE: [zones that its gatekeepers use]}}

A zone that is well stands not in it; one of which nothing stands in "@near" uses all.

One gatekeeper sees a few reqs a second and learns of each worker of a lost zone alone; together they know within a second.
A zone is taken out where at least `LEAST` reporters, and half of all that sent there, have seen `IN_A_ROW` dispatches fail in a
row there, and most of what goes elsewhere passes: what fails everywhere is no zone's fault. A zone that is slow, or passes half,
still carries half, and near saturation that is missed more than its failures cost: it stays. No reporter counts for more than
one, and one that is late itself reports nothing. Never are more zones out than stay in, so that what is left can carry
something; of zones that fail together the worst goes.

While a zone is out a few gatekeepers still try one worker of it (`filter.py`). It comes back once those see it pass for half
its hold; the hold doubles twice with each fall, so that a zone that flaps is held out for longer each time, and is forgotten
once the zone was well for `WELL`. It comes back in steps that every gatekeeper takes by itself from the time in the order, so
that a fall and a return are one order each.

**Near while safe.** Where the operator tells what each zone carries, the gatekeepers of a zone use their own zone alone while
what they are asked fits into `FULL` of that; else their region, and then all others, but none that has no room beside its own
traffic. A wider tier is taken at once, a nearer one once it would have done for `NEARER`. Where all that is asked fits nowhere,
all zones are used and the decisions deny what the places do not take, as ever.

Times are whole tenths of a millisecond of Unix time.
"""

from dataclasses import dataclass

SECOND = 10_000
LEAST = 3  # reporters, below which nothing is taken for the zone's fault
FEW, TRIED = 0.5, 0.2  # dispatches ended there of late, below which a reporter knows nothing; of a zone that is out
IN_A_ROW, PASSES, ELSEWHERE = 3, 0.3, 0.3
PASSED_BY = 2  # reporters that see a zone that is out pass
FIRST_HOLD, LONGEST_HOLD = 2 * SECOND, 120 * SECOND
RETURN = 2 * SECOND  # a return's steps take so long (filter.py)
WELL = 60 * SECOND
NEAR, AT, ASKED = "@near", "@at", "@asked"
FULL, NEARER = 0.35, 5 * SECOND  # of what a zone carries; a nearer tier has to fit into nine tenths of that for so long


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
    """`zones`: their names; `carries`: reqs a second that the workers of each carry (empty: nothing is kept near);
    `regions`: lists of zones, each zone that stands in none is a region by itself."""

    name = "zones"

    def __init__(self, zones, carries=None, regions=()):
        self.zones, self.good_since, self.carries = tuple(zones), {}, dict(carries or {})
        self.region = {zone: tuple(next((r for r in regions if zone in r), (zone,))) for zone in self.zones}
        self.nearer_since = {}

    def advise(self, now, reports, order):
        part = order.parts.get(self.name)
        made = self._made(now, part or {}, self.seen(reports))
        if self.carries:
            near = self._near(now, (part or {}).get(NEAR, {}), made, reports)
            made = {**made, NEAR: near} if near else made
        return part if made == (part or {}) else made

    def _near(self, now, stands, made, reports):
        """zone -> the zones that its gatekeepers use, where that is not all."""
        asked = dict.fromkeys(self.zones, 0.0)
        for name in sorted(reports):
            told = reports[name].get(self.name)
            if isinstance(told, dict) and told.get(AT) in asked and _number(told.get(ASKED)):
                asked[told[AT]] += told[ASKED]
        out = [zone for zone, state in made.items() if state[0] == "out"]
        near = {}
        for zone in self.zones:
            was = stands.get(zone, list(self.zones))
            now_fits, would_fit = (self._tier(zone, asked, out, part) for part in (FULL, 0.9 * FULL))
            if len(now_fits) >= len(was) or set(now_fits) - set(was):
                self.nearer_since.pop(zone, None)
                used = now_fits
            elif len(would_fit) < len(was) and now - self.nearer_since.setdefault(zone, now) >= NEARER:
                used = would_fit
            else:
                used = [other for other in was if other not in out] or was
                if len(would_fit) >= len(was):
                    self.nearer_since.pop(zone, None)
            if len(used) < len(self.zones):
                near[zone] = used
        return near

    def _tier(self, zone, asked, out, part):
        """The nearest zones into which fits what the gatekeepers of one are asked; all, where it fits nowhere."""

        def room(other, own):
            return 0.0 if other in out else part * self.carries.get(other, 0.0) - (0.0 if own else asked[other])

        if room(zone, True) >= asked[zone]:
            return [zone]
        for among in (self.region[zone], self.zones):
            use = [other for other in among if other != zone and room(other, False) > 0.0]
            if room(zone, True) + sum(room(other, False) for other in use) >= asked[zone]:
                return [other for other in self.zones if other in use or other == zone and zone not in out]
        return list(self.zones)

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
                del made[zone]  # its falls are forgotten
        out = [zone for zone, state in made.items() if state[0] == "out"]
        failing = [zone for zone in self.zones if zone not in made and self._fails(told[zone], told, zone)]
        most = max(0, (len(self.zones) - 1) // 2 if len(self.zones) > 2 else len(self.zones) - 1) - len(out)
        for zone in sorted(failing, key=lambda zone: (-told[zone].share, zone))[: max(0, most)]:
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


def _number(told):
    return isinstance(told, (int, float)) and not isinstance(told, bool) and 0 <= told < 1e9


def _counted(count):
    return isinstance(count, list) and len(count) == 3 and all(_number(n) for n in count)
