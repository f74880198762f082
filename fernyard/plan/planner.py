"""A planner's decisions: how many units each forwarder may spend of a customer's bucket. Free of I/O.

The weighted two-bucket estimate of the paper stays where it was, on the shared counter; what a planner adds there are
leases, not reqs. Before units are granted they are reserved: added to the bucket's name, and kept only as far as
previous x overlap + total stays within the limit. So whatever planners believe of each other, the sum of all leases
never passes the limit: two that both serve a customer, one that restarts, one that died with leases out. What was
reserved and is not known to be unspent stays counted until its bucket is over.

`Planner.step(now, told)`: `Ask` (a forwarder wants units, or brings some back), `Answered` (a call's outcome), `Beat`.
Orders: `Bring` (a call to the counter) and `Grant` (the answer to an ask). Times are whole tenths of a millisecond.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ..interface import NEVER_RAN, End
from ..recovery import Answered, Beat, Bring
from .forwarder import CUSTOMER, TURN, Granted, Want, bucket_in

SECOND = 10_000
KEEP = 60 * SECOND
FRESH = SECOND // 20  # a total told within this is not asked for again before a refusal
MARGIN = 1e-9


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """`shapes`: (plan, by dispatches out) -> (length, limit); `wait`: how long an ask may wait for the counter."""

    shapes: dict
    incarnation: int
    lease: int
    wait: int
    ledgers: int = 50_000
    asks: int = 4_096


@dataclass(slots=True)
class Ask:
    """Forwarder `forwarder`, its ask number `ask`. `key` names the ask here (the server's own)."""

    key: int
    forwarder: str
    ask: int
    wants: tuple[Want, ...]


@dataclass(slots=True)
class Grant:
    """The answer to the ask that came under `key`."""

    key: int
    granted: tuple[Granted, ...] = ()


class Ledger:
    """One name: one customer's bucket, as this planner knows it. `pool` is reserved on the counter and granted to
    nobody; `queue` holds [reply, forwarder, want]; `calling` is what is being reserved, None when nothing is out."""

    __slots__ = (
        "name",
        "length",
        "limit",
        "by_open",
        "bucket",
        "total",
        "told_at",
        "was",
        "was_at",
        "pool",
        "queue",
        "calling",
        "active",
        "used_at",
    )

    def __init__(self, name, length, limit, now):
        self.name, self.length, self.limit = name, length, limit
        self.by_open, self.bucket = name >> 33 & 1, bucket_in(name, length, now)
        self.total, self.told_at, self.was, self.was_at = 0.0, None, 0.0, None
        self.pool, self.queue, self.calling, self.active, self.used_at = 0.0, deque(), None, {}, 0

    def before(self):
        """The name of the bucket before."""
        return self.name & CUSTOMER | ((self.bucket - 1) % TURN * 2 + self.by_open) << 33

    def overlap(self, now):
        into = min(1.0, max(0.0, now / self.length - self.bucket))
        return float(into < 0.5) if self.by_open else 1.0 - into

    def room(self, now):
        """Units that may still be reserved."""
        return self.limit - self.was * self.overlap(now) - self.total


@dataclass(slots=True)
class Reply:
    """An ask being answered: what is granted so far, and how many of its names are still open."""

    key: int
    until: int
    open: int = 0
    granted: list = field(default_factory=list)
    done: bool = False


class Planner:
    def __init__(self, settings):
        self.set, self.ledgers, self.replies = settings, OrderedDict(), deque()
        self.calls, self.due, self.lease = {}, 0, 0

    def step(self, now, told):
        self.now, self.orders = now, []
        HEAR[type(told)](self, told)
        self.due = min(self.now + SECOND // 4, self.replies[0].until if self.replies else self.now + SECOND)
        return self.orders

    def _ask(self, told):
        if len(self.replies) >= self.set.asks:
            return self.orders.append(Grant(told.key))
        reply = Reply(told.key, self.now + self.set.wait)
        asked = []
        for want in told.wants:
            shape = self.set.shapes.get((want.plan, want.name >> 33 & 1))
            if shape is None:
                continue  # a plan that has no such limit: nothing to grant
            ledger = self._ledger(want.name, shape)
            current = self.now // ledger.length
            if want.back > 0:
                if ledger.bucket >= current:
                    ledger.pool += want.back  # reserved still: the next ask may have it
                else:
                    self._call(ledger.name, -want.back, "back", ledger)
            # One bucket ahead: the clocks of two machines may differ by that much and no more.
            if want.need + want.want > 0 and current <= ledger.bucket <= current + 1:
                reply.open += 1
                ledger.active[told.forwarder] = self.now
                ledger.queue.append((reply, told.forwarder, want))
                asked.append(ledger)
        if not reply.open:
            return self.orders.append(Grant(told.key))
        self.replies.append(reply)
        for ledger in asked:
            self._serve(ledger)

    def _ledger(self, name, shape):
        ledger = self.ledgers.get(name)
        if ledger is None:
            ledger = self.ledgers[name] = Ledger(name, *shape, self.now)
            while len(self.ledgers) > self.set.ledgers:
                self._drop(next(iter(self.ledgers.values())))
        ledger.used_at = self.now
        return ledger

    def _drop(self, ledger):
        del self.ledgers[ledger.name]
        self._empty(ledger)
        while ledger.queue:
            self._grant(ledger, ledger.queue.popleft(), 0.0, away=True)

    def _call(self, name, amount, why, ledger):
        self.calls.setdefault(name, deque()).append((why, amount, ledger))
        keep = KEEP if why in ("was", "look") else min(KEEP, 3 * ledger.length + SECOND)
        self.orders.append(Bring(name, amount, keep))

    def _serve(self, ledger, again=False):
        """Grants what the pool has; reserves more where that is not enough and there is room. `again`: that was just
        done, and more is reserved only for what is needed: an even part of the room grows by a sliver a moment, and
        calls for slivers followed one another for as long as an ask may wait."""
        if not ledger.queue or ledger.calling is not None:
            return
        needs = sum(want.need for _, _, want in ledger.queue)
        active = max(1, sum(self.now - at <= self.set.lease for at in ledger.active.values()))
        if ledger.was_at is None and ledger.overlap(self.now) > 0:
            ledger.calling = 0.0
            return self._call(ledger.before(), 0.0, "was", ledger)
        room = ledger.room(self.now)
        # Beyond what is needed now, nobody gets more than an even part of the room: what lies unspent at one forwarder
        # is missing at the others.
        spare = max(0.0, room + ledger.pool - needs) / active
        ahead = sum(min(max(0.0, want.want - want.need), spare) for _, _, want in ledger.queue)
        wished = needs + (0.0 if again else ahead)
        if ledger.pool + MARGIN < wished:
            stale = ledger.told_at is None or self.now - ledger.told_at > FRESH
            short = wished - ledger.pool
            reserve = short if ledger.told_at is None else min(short, max(0.0, room))
            # Room for less than a unit is not worth a call either, unless it is all that is needed.
            worth = reserve > MARGIN and (reserve >= short - MARGIN or reserve >= 1.0)
            if worth or stale and ledger.pool + MARGIN < needs:
                ledger.calling = reserve
                return self._call(ledger.name, reserve, "reserve", ledger)
        self._share_out(ledger, spare)

    def _share_out(self, ledger, spare):
        while ledger.queue:
            entry = ledger.queue.popleft()
            want = entry[2]
            units = min(ledger.pool, want.need + min(max(0.0, want.want - want.need), spare))
            ledger.pool -= units
            self._grant(ledger, entry, units)

    def _grant(self, ledger, entry, units, away=False):
        reply, _, want = entry
        if reply.done:
            ledger.pool += units
            return
        full = 0
        if units + MARGIN < want.need and not away:
            full = self.now + self._full_for(ledger, want.need - units)
        self.lease += 1
        until = min(self.now + self.set.lease, (ledger.bucket + 1) * ledger.length)
        reply.granted.append(Granted(ledger.name, f"{self.set.incarnation:x}-{self.lease}", units, until, full, away))
        reply.open -= 1
        if not reply.open:
            self._reply(reply)

    def _full_for(self, ledger, units):
        """How long until there is room for so much, if nothing is brought back; 20 to 250 ms."""
        lacking = units - ledger.room(self.now)
        wait = lacking / ledger.was * ledger.length if ledger.was > 0 else ledger.length
        return int(min(SECOND // 4, max(SECOND // 50, wait)))

    def _reply(self, reply):
        reply.done = True
        if reply in self.replies:
            self.replies.remove(reply)
        self.orders.append(Grant(reply.key, tuple(reply.granted)))

    def _answered(self, told):
        calls = self.calls.get(told.name)
        if not calls:
            return
        why, amount, ledger = calls.popleft()
        if not calls:
            del self.calls[told.name]
        if why == "look":
            if told.end is End.PASSED:
                ledger.was, ledger.was_at = told.total, self.now
            return None
        if why == "was":
            ledger.calling = None
            if told.end is End.PASSED:
                ledger.was, ledger.was_at = told.total, self.now
                return self._serve(ledger)
            return self._away(ledger)
        if told.end is not End.PASSED:
            if why == "reserve":
                # What may have been added counts for its bucket and is granted to nobody.
                ledger.calling = None
                return self._away(ledger)
            if told.end in NEVER_RAN and why == "back" and ledger.bucket >= self.now // ledger.length:
                ledger.pool -= amount  # it is still reserved
            return None
        pending = sum(call[1] for call in calls)
        ledger.total, ledger.told_at = told.total + pending, self.now
        if why == "reserve":
            ledger.calling = None
            over = min(amount, max(0.0, -ledger.room(self.now)))
            ledger.pool += amount - over
            if over > MARGIN:
                ledger.total -= over
                self._call(ledger.name, -over, "back", ledger)
            self._serve(ledger, again=True)  # with what was asked for meanwhile
        return None

    def _away(self, ledger):
        """The counter gave no answer: nobody is granted anything, and forwarders go by their fallback."""
        while ledger.queue:
            entry = ledger.queue.popleft()
            units = min(ledger.pool, entry[2].need)
            ledger.pool -= units
            self._grant(ledger, entry, units, away=units < entry[2].need)

    def _empty(self, ledger):
        """Brings back what is reserved and granted to nobody."""
        if ledger.pool > MARGIN:
            pool, ledger.pool = ledger.pool, 0.0
            ledger.total -= pool
            self._call(ledger.name, -pool, "back", ledger)

    def _beat(self, _):
        while self.replies and self.replies[0].until <= self.now:
            # The counter is slow: what is granted so far is answered; the rest is for the pool when it comes.
            self._reply(self.replies[0])
        for ledger in list(self.ledgers.values()):
            over = ledger.bucket < self.now // ledger.length
            idle = self.now - ledger.used_at > self.set.lease // 2
            if (over or idle) and ledger.calling is None and not ledger.queue:
                self._empty(ledger)
                if over and self.now - ledger.used_at > 2 * ledger.length:
                    del self.ledgers[ledger.name]
            if ledger.was_at is not None and self.now - ledger.was_at > SECOND // 2 and not over:
                # Unspent units of the last bucket come back late.
                ledger.was_at = self.now
                if ledger.active and ledger.overlap(self.now) > 0:
                    self._call(ledger.before(), 0.0, "look", ledger)
            for forwarder in [f for f, at in ledger.active.items() if self.now - at > 4 * self.set.lease]:
                del ledger.active[forwarder]


HEAR = {Ask: Planner._ask, Answered: Planner._answered, Beat: Planner._beat}
