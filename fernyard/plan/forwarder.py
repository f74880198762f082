"""A forwarder's decisions on allowance: what its leases cover, what it asks of which planner, and what it does when
none answers. Free of I/O.

A forwarder runs the gatekeeper's decisions unchanged: they add units to a name and go by the total they are told. Here
no counter is asked: the units of a name are added up in place, and the total told is within the limit as long as leases
cover them, and beyond it when they do not. A req whose units no lease covers waits for the planner's answer, as it
would wait for the counter's; past that time the forwarder goes by its fallback, a stated part of the limit.

`Forwarder.step(now, told)`: `Asked` (the decisions add units), `Heard` (a planner's grants), `Lost` (an ask that got
no answer), `Beat`. Orders: `Tell` (an add's outcome, as the decisions hear it) and `Reach` (an ask to a planner).
Times are whole tenths of a millisecond.
"""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass

from ..interface import End
from ..recovery import Asked, Beat, Tell

SECOND = 10_000
CUSTOMER = (1 << 33) - 1
TURN = 1 << 29  # buckets, after which names come again
BEAT = SECOND // 5  # between two looks at leases that have run out
MARGIN, NO_ROOM = 1e-9, 1e9
RATE_TAU = SECOND  # over which a name's units a second are taken
AHEAD = 0.25  # of the last lease: less left is asked for before it is needed
OUT = 8  # asks out to one planner at most; what comes meanwhile goes with the next
DOWN, LONGEST_DOWN = SECOND, 8 * SECOND
SILENT = 2  # asks in a row without an answer, after which a planner is down


@dataclass(frozen=True, slots=True)
class ForwarderSettings:
    """`shapes`: (plan, by dispatches out) -> (length, limit); `fallback`: part of a limit that `forwarders` together
    may pass without a planner; `wait`: how long a req waits for a planner."""

    name: str
    shapes: dict
    planners: tuple[str, ...]
    forwarders: int
    fallback: float
    lease: int
    wait: int
    lines: int = 20_000
    wants: int = 500  # names in one ask


@dataclass(frozen=True, slots=True)
class Want:
    """`need`: units that reqs wait for; `want`: units it would like to have, those included; `back`: unspent units that
    come back, once and never again, whatever becomes of the ask."""

    name: int
    plan: int
    need: float
    want: float
    back: float = 0.0


@dataclass(frozen=True, slots=True)
class Granted:
    """`lease`: the planner's start and a number; `until`: unspent by then, they go back; `full`: until when no more is
    to be had (0: not known to be full); `away`: the planner itself had no answer from the counter."""

    name: int
    lease: str
    units: float
    until: int
    full: int = 0
    away: bool = False


@dataclass(slots=True)
class Heard:
    planner: str
    ask: int
    granted: tuple[Granted, ...]


@dataclass(slots=True)
class Lost:
    """`refused`: the planner's machine said so itself, there is nothing to wait for."""

    planner: str
    ask: int
    refused: bool = False


@dataclass(slots=True)
class Reach:
    """An ask to the planner at that address; its outcome comes as `Heard` or `Lost`."""

    planner: str
    ask: int
    wants: tuple[Want, ...]


def bucket_in(name, length, now):
    """The bucket a name is for: names hold its number modulo 2^29 (see the decisions), and it is one near now."""
    current = now // length
    return current - ((current - (name >> 34) + TURN // 2) % TURN - TURN // 2)


class Line:
    """One name. `used`: all that the decisions added, taken back ones off; `granted`: all leases; `held`: what waiting
    reqs added; `denied`: what denied ones added and the decisions have not taken back yet."""

    __slots__ = (
        "name",
        "plan",
        "length",
        "limit",
        "bucket",
        "used",
        "granted",
        "held",
        "denied",
        "last",
        "until",
        "full",
        "waiting",
        "asked",
        "rate",
        "rate_at",
        "lapses",
        "backed",
    )

    def __init__(self, name, plan, length, limit, now, keep):
        self.name, self.plan, self.length, self.limit, self.lapses = name, plan, length, limit, now + keep
        self.bucket = bucket_in(name, length, now)
        self.used = self.granted = self.last = self.rate = self.held = self.denied = 0.0
        self.until = self.full = self.rate_at = 0
        self.waiting, self.asked, self.backed = deque(), None, False


class Planner:
    """What is known of one planner: asks out, failures in a row, and until when it is taken for down."""

    __slots__ = ("out", "failed", "down", "pause")

    def __init__(self):
        self.out, self.failed, self.down, self.pause = {}, 0, 0, DOWN


class Forwarder:
    def __init__(self, settings):
        self.set, self.lines = settings, OrderedDict()
        self.planners = {address: Planner() for address in settings.planners}
        self.wanting = {}  # planner -> names that want something of it, in order
        self.urgent = {}  # planners of which a waiting req wants something
        self.deadlines, self.due, self.number = deque(), 0, 0
        self.next_beat = 0
        self.moved = self.fallbacks = 0

    def step(self, now, told):
        self.now, self.orders = now, []
        HEAR[type(told)](self, told)
        self._send()
        if not self.next_beat:
            self.next_beat = now + BEAT
        self.due = min(
            self.next_beat,
            self.deadlines[0][0] if self.deadlines else self.next_beat,
            *(next(iter(p.out.values()))[0] + self.set.wait for p in self.planners.values() if p.out),
        )
        return self.orders

    # What the decisions add --------------------------------------------------------------------------------

    def _asked(self, told):
        line = self.lines.get(told.name)
        if line is None:
            shape = self.set.shapes.get((told.plan, told.name >> 33 & 1))
            if shape is None:
                # The decisions ask only where a plan has such a limit: one not known here is covered by nothing.
                return self.orders.append(Tell(told.name, End.PASSED, NO_ROOM if told.amount > 0 else 0.0, 0))
            line = self.lines[told.name] = Line(told.name, told.plan, *shape, self.now, told.keep)
            # Its pace goes on from the bucket before: from nothing, each bucket began with an ask for each req.
            before = self.lines.get(told.name & ~(TURN - 1 << 34) | (line.bucket - 1) % TURN << 34)
            if before is not None:
                line.rate, line.rate_at = before.rate, before.rate_at
            while len(self.lines) > self.set.lines:
                self._forget(next(iter(self.lines.values())))
        line.used += told.amount
        if told.amount > 0:
            self._pace(line, told.amount)
            line.held += told.amount
        else:
            line.denied = max(0.0, line.denied + told.amount)
        line.waiting.append((told.amount, self.now + self.set.wait))
        self._answer(line)
        if line.waiting:
            self.deadlines.append((self.now + self.set.wait, line.name))
            self._want(line)
        elif told.amount > 0 and line.granted - line.used < AHEAD * line.last:
            self._want(line)  # goes with the next that is urgent, or at the next beat

    def _pace(self, line, units):
        """A decaying sum of units over the last second or so."""
        line.rate = line.rate * max(0.0, 1.0 - (self.now - line.rate_at) / RATE_TAU) + units
        line.rate_at = self.now

    def _answer(self, line):
        """Tells those in front what came of their adds, in order: the decisions match answers by order."""
        while line.waiting:
            amount, until = line.waiting[0]
            # Without those behind it: each is answered for itself.
            used = line.used - line.held - line.denied + max(0.0, amount)
            if amount > 0 and used > line.granted + MARGIN:
                if line.bucket < self.now // line.length:
                    covered = False  # its bucket is over: no lease for it comes any more
                elif line.full > self.now:
                    covered = False
                elif until <= self.now:
                    covered = self._fallback(line, used)
                else:
                    return
            else:
                covered = True
            line.waiting.popleft()
            if amount > 0:
                line.held = max(0.0, line.held - amount)
                line.denied += 0.0 if covered else amount
            total = max(0.0, min(line.used, line.limit)) if covered else line.limit + amount + 1.0
            # Told as if at once: a planner's slowness is no crowd at a counter, and the decisions must never go by
            # their own counts here, which know one forwarder's part only.
            self.orders.append(Tell(line.name, End.PASSED, total, 0))

    def _fallback(self, line, used):
        """No planner answered in time: a stated part of the limit, in equal parts, is passed all the same."""
        self.fallbacks += 1
        return used <= line.granted + self.set.fallback * line.limit / self.set.forwarders + MARGIN

    # Asks --------------------------------------------------------------------------------------------------

    def _want(self, line):
        if line.asked is not None or line.full > self.now or line.bucket < self.now // line.length:
            return
        planner = self._planner(line.name & CUSTOMER)
        if planner is not None:
            self.wanting.setdefault(planner, {})[line.name] = None
            if line.waiting:
                self.urgent[planner] = None

    def _planner(self, customer):
        """Rendezvous hashing: the planner of a customer is the one with the highest hash of both among those up, so
        that one planner lost moves its own customers alone."""
        best, most = None, b""
        for address, planner in self.planners.items():
            if planner.down > self.now:
                continue
            score = hashlib.blake2b(f"{address}:{customer}".encode(), digest_size=8).digest()
            if score > most:
                best, most = address, score
        return best

    def _send(self, all_of_them=False):
        """An ask a planner. What nobody waits for goes with what somebody does, or at the next beat: an ask costs both
        sides far more than a name in it."""
        for address, names in self.wanting.items():
            planner = self.planners[address]
            if not names or len(planner.out) >= OUT or planner.down > self.now:
                continue
            if not all_of_them and address not in self.urgent:
                continue
            self.urgent.pop(address, None)
            wants = []
            for name in list(names)[: self.set.wants]:
                del names[name]
                if (want := self._told(name)) is not None:
                    wants.append(want)
            if wants:
                self.number += 1
                for want in wants:
                    self.lines[want.name].asked = self.number
                planner.out[self.number] = (self.now, tuple(want.name for want in wants))
                self.orders.append(Reach(address, self.number, tuple(wants)))

    def _told(self, name):
        line = self.lines.get(name)
        if line is None:
            return None
        current = line.bucket >= self.now // line.length
        need = max(0.0, line.used - line.denied - line.granted) if current else 0.0
        ahead = line.rate * self.set.lease / RATE_TAU if current and line.rate_at > self.now - RATE_TAU else 0.0
        back = 0.0
        if line.backed:
            # Off the lease from this moment, answered or not: sent twice they would be counted off twice.
            line.backed = False
            back = max(0.0, line.granted - max(0.0, line.used))
            line.granted -= back
            ahead = 0.0
        if need <= MARGIN and ahead <= MARGIN and back <= MARGIN:
            return None
        return Want(name, line.plan, need, max(need, need + ahead - max(0.0, line.granted - line.used)), back)

    def _heard(self, told):
        planner = self.planners.get(told.planner)
        if planner is None or told.ask not in planner.out:
            return  # an answer to no ask of ours, or a second one: not to be believed
        _, names = planner.out.pop(told.ask)
        planner.failed, planner.pause = 0, DOWN
        asked = dict.fromkeys(names)
        for granted in told.granted:
            line = self.lines.get(granted.name)
            if granted.name not in asked or line is None or not 0.0 <= granted.units <= line.limit:
                continue
            del asked[granted.name]
            line.asked = None
            if granted.units > 0:
                line.granted += granted.units
                line.last, line.until = granted.units, granted.until
            line.full = min(granted.full, self.now + SECOND)
            if granted.away:
                line.full = 0
            self._answer(line)
            if line.waiting and not granted.away:
                self._want(line)
        for name in asked:
            self._unasked(name)

    def _unasked(self, name):
        """A name an answer left out: it is asked for again while someone waits for it."""
        line = self.lines.get(name)
        if line is not None:
            line.asked = None
            if line.waiting:
                self._want(line)

    def _lost(self, told):
        planner = self.planners.get(told.planner)
        if planner is None or told.ask not in planner.out:
            return
        _, names = planner.out.pop(told.ask)
        self._failed(planner, told.planner, told.refused)
        for name in names:
            self._unasked(name)

    def _failed(self, planner, address, refused=False):
        planner.failed += 1
        if (refused or planner.failed >= SILENT) and planner.down <= self.now:
            planner.down, planner.pause = self.now + planner.pause, min(LONGEST_DOWN, 2 * planner.pause)
            planner.failed = 0
            self.moved += 1
            # What waits for it goes to the next in its order; what it granted stays good.
            for name in self.wanting.pop(address, {}):
                self._unasked(name)

    def _beat(self, _):
        while self.deadlines and self.deadlines[0][0] <= self.now:
            line = self.lines.get(self.deadlines.popleft()[1])
            if line is not None:
                self._answer(line)
        for address, planner in self.planners.items():
            # Unanswered for long: its names are asked for elsewhere; the answer is not waited for any more.
            for ask in [n for n, (at, _) in planner.out.items() if self.now - at >= self.set.wait]:
                self._lost(Lost(address, ask))
        if self.now < self.next_beat:
            return
        self.next_beat = self.now + BEAT
        for line in list(self.lines.values()):
            over = line.bucket < self.now // line.length
            unspent = line.granted - max(0.0, line.used)
            if unspent > MARGIN and line.asked is None and (over or line.until <= self.now):
                planner = self._planner(line.name & CUSTOMER)
                if planner is not None:
                    line.backed = True
                    self.wanting.setdefault(planner, {})[line.name] = None
            if over:
                self._answer(line)
            if line.lapses <= self.now and not line.waiting:
                self.lines.pop(line.name, None)
        self._send(all_of_them=True)

    def _forget(self, line):
        del self.lines[line.name]
        while line.waiting:
            line.waiting.popleft()
            self.orders.append(Tell(line.name, End.PASSED, line.limit + 1.0, 0))


HEAR = {Asked: Forwarder._asked, Heard: Forwarder._heard, Lost: Forwarder._lost, Beat: Forwarder._beat}
