"""Which workers a gatekeeper shows its decisions, by the agreed order, and what it reports of zones. Free of I/O.

Discovery goes before any order: a worker that drains or is gone is never shown as ready. Of a zone that is out, all are shown as
draining, but one that a few gatekeepers still try. One that comes back comes in steps: the part of its workers that is shown
grows with the time since the order; a worker that was started anew meanwhile is warmed up by the decisions as any cold one is,
since discovery tells when it started. Without an order all is as discovery tells it: each judges alone.
"""

import hashlib
from dataclasses import dataclass, replace

from ..interface import End, Phase
from .adviser import ASKED, AT, NEAR, RETURN

SECOND = 10_000
STEPS = 0.25, 0.5, 0.75, 1.0  # of a zone's workers, each for a quarter of the return
TAU, TAU_OUT = SECOND, 2 * SECOND  # over which dispatches that ended are counted; of a zone that is out, where few are
FAILED = End.ERROR, End.RESET, End.TIMEOUT, End.NO_CONNECTION
TAU_ASKED = 2 * SECOND  # over which reqs that come are counted
MOST_ROW = 99
TRY = 2 * SECOND  # with one worker for so long, then with the next
TRIERS = 4  # one gatekeeper in so many tries a zone that is out, four at least


@dataclass(frozen=True, slots=True)
class Visible:
    """The decisions are shown these machines so from now on."""

    machines: tuple


class ZoneFilter:
    """`zones`: names by the numbers that machines carry; `own`: the gatekeeper's number (-1: in none)."""

    name = "zones"

    def __init__(self, gatekeeper, gatekeepers, zones, own=-1):
        self.gatekeeper, self.zones, self.near = gatekeeper, tuple(zones), None
        self.own, self.asked = self.zones[own] if 0 <= own < len(self.zones) else None, [0.0, 0]
        self.tries = _draw(gatekeeper) * gatekeepers < max(4, gatekeepers // TRIERS)
        self.machines, self.shown, self.part, self.turns = {}, {}, {}, {}
        self.counts, self.late_until, self.due = {zone: [0.0, 0.0, 0, 0] for zone in self.zones}, 0, None

    # What it reports ---------------------------------------------------------------------------------------

    def ended(self, now, worker, end):
        machine = self.machines.get(worker)
        zone = self._zone(machine) if machine is not None else None
        if zone is not None and (end is End.PASSED or end in FAILED):
            count = self.counts[zone]
            self._fade(now, zone)
            count[end is not End.PASSED] += 1.0
            count[3] = 0 if end is End.PASSED else min(MOST_ROW, count[3] + 1)

    def taken(self, now):
        """A req came in."""
        part = max(0.0, 1.0 - (now - self.asked[1]) / TAU_ASKED)
        self.asked = [self.asked[0] * part + 1.0, now]

    def late(self, now, lag):
        """It was this late itself: what it sees then is no worker's fault."""
        if lag > SECOND // 10:
            self.late_until = now + TAU

    def report(self, now):
        if now < self.late_until:
            return None
        for zone in self.zones:
            self._fade(now, zone)
        # Failures in a row count as long as what is faded shows any.
        told = {
            zone: [round(count[0], 2), round(count[1], 2), count[3] if count[1] > 0.1 else 0]
            for zone, count in self.counts.items()
        }
        asked = self.asked[0] * max(0.0, 1.0 - (now - self.asked[1]) / TAU_ASKED) * SECOND / TAU_ASKED
        return {**told, AT: self.own, ASKED: round(asked, 2)} if self.own else told

    def _fade(self, now, zone):
        count = self.counts[zone]
        tau = TAU_OUT if self.part.get(zone, ("well",))[0] == "out" else TAU
        part = max(0.0, 1.0 - (now - count[2]) / tau)
        count[0], count[1], count[2] = count[0] * part, count[1] * part, now

    # What it shows -----------------------------------------------------------------------------------------

    def listed(self, now, machines, whole):
        """Machines as discovery tells them; those as the decisions are to hear them."""
        if whole:
            self.machines, self.shown = {}, {}
        for machine in machines:
            if machine.phase is Phase.GONE:
                for known in (self.machines, self.shown, self.turns):
                    known.pop(machine.worker, None)
            else:
                self.machines[machine.worker] = machine
        hidden = self._hidden(now)
        told = []
        for machine in machines:
            made = self._made(now, machine, machine.worker in hidden)
            if machine.phase is not Phase.GONE:
                self.shown[machine.worker] = made
            told.append(made)
        return tuple(told)

    def obey(self, now, part):
        self.part = {zone: state for zone, state in (part or {}).items() if zone in self.zones}
        self.near = (part or {}).get(NEAR, {}).get(self.own)
        return self.look(now)

    def look(self, now):
        """Steps of returns that are due."""
        hidden, changed = self._hidden(now), []
        for worker, machine in self.machines.items():
            before = self.shown[worker]
            if (before.phase is not machine.phase) != (worker in hidden and machine.phase is Phase.READY):
                if worker not in hidden:
                    self.turns[worker] = self.turns.get(worker, 0) + 1
                made = self._made(now, machine, worker in hidden)
                self.shown[worker] = made
                changed.append(made)
        return [Visible(tuple(changed))] if changed else []

    def _made(self, now, machine, hidden):
        """As it is shown: each time it is shown again its start is told a tenth of a millisecond later, so that the decisions
        judge it anew; what they knew of it is from before, and kept them from trying it for seconds."""
        started = machine.started + self.turns.get(machine.worker, 0)
        phase = Phase.DRAINING if hidden and machine.phase is Phase.READY else machine.phase
        if (phase, started) == (machine.phase, machine.started):
            return machine
        return replace(machine, phase=phase, started=started)

    def _zone(self, machine):
        return self.zones[machine.zone] if 0 <= machine.zone < len(self.zones) else None

    def _hidden(self, now):
        """Workers not shown as ready; `due`: when that changes next by itself."""
        hidden, self.due = set(), None
        if self.near is not None:
            hidden.update(
                machine.worker
                for machine in self.machines.values()
                if self._zone(machine) not in self.near and self._zone(machine) not in self.part
            )
        for zone, (state, since, falls, _) in self.part.items():
            workers = sorted(
                (m.worker for m in self.machines.values() if self._zone(m) == zone),
                key=lambda worker: _draw(f"{worker}:{falls}"),
            )
            if state == "out":
                shown = 1 if self.tries else 0
                # Each tries one of its own, and another every so often: a few see the whole zone.
                turn = int(max(0, now - since) // TRY + _draw(self.gatekeeper) * len(workers))
                workers = workers[turn % len(workers) :] + workers[: turn % len(workers)] if workers else workers
            else:
                step = int(max(0, now - since) * len(STEPS) // RETURN)
                if step >= len(STEPS):
                    continue
                shown = max(1, round(STEPS[step] * len(workers)))
                at = since + (step + 1) * RETURN // len(STEPS)
                self.due = at if self.due is None else min(self.due, at)
            hidden.update(workers[shown:])
        return hidden


def _draw(text):
    """A number from 0 to 1 that every process draws alike."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest()) / (1 << 48)
