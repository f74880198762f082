"""A tenant's quota over all gateways: the weighted two-bucket estimate on counts that counter gatekeepers hold.

One add per request; the total returned decides; what is past the limit is refused at once and its units given back.
Kept from the paper and what was changed: docs/system.md. Free of I/O; times are seconds.
"""

from types import SimpleNamespace
from zlib import crc32

import attrs

from ...estimate import Mean, Tally
from ..common.messages import Count, Total
from ..common.replay import Incarnations, ReplayWindow

# A bucket in parts of burst/rate, its least length; units above the limit for the coarseness of small counts.
BUCKET, LEAST_BUCKET, GRAIN = 1.05, 0.5, 2.0
# A call is given up after so many usual times, at least and at most; failures in a row until none is waited for.
TIMES, LEAST_WAIT, MOST_WAIT, BLIND_AFTER = 3.0, 0.05, 0.3, 2
BLIND_PART = 0.8  # of our usual part of the limit, while the counter does not answer
DOUBT = 0.02  # how fast the part is learned
KEEP = 60.0  # an unused tally is forgotten


def shape(rate, burst):
    """(bucket length, limit) of a tenant's quota; a burst of nought gets the least bucket."""
    length = max(LEAST_BUCKET, BUCKET * burst / rate)
    return length, max(burst, rate * length / BUCKET) + min(GRAIN, GRAIN * length)


def counter_mark(node):
    """A short mark of a counter gatekeeper's name, for datagrams."""
    return crc32(node.encode())


def _tally(length, limit):
    return Tally(SimpleNamespace(doors=1), False, length, limit)


class Ledger:
    """The counter gatekeeper's side: two buckets a tenant. After a start it is empty; each gateway tells with its
    first add what it let past of late, and that stands as the previous bucket."""

    def __init__(self, node, incarnation):
        self.mark, self.incarnation = counter_mark(node), incarnation
        self.tallies, self.senders = {}, {}

    def add(self, now, told, registry):
        """Answers one `Count`; None where it is not for us, came before, or is of a gateway's former incarnation."""
        if told.counter != self.mark or not self._first_time(now, told):
            return None
        held = self._held(now, told)
        tally, at = held.tally, now - held.began
        tally.roll(at)
        tally.limit, held.used = told.limit, now
        self._settle(held, told)
        total = tally.total + told.units
        # What would pass the limit is not kept: the asker refuses on the same estimate, and its units are given back
        # here rather than by a second message that would stand in others' way for as long as it travels.
        if told.units <= 0 or tally.was * tally.overlap(at) + total <= tally.limit:
            tally.put(tally.bucket, told.units)
        if len(self.tallies) > 1 and at > KEEP:
            self._tidy(now)
        return Total(
            told.ask, told.incarnation, self.mark, self.incarnation, tally.was, total, tally.overlap(at), registry
        )

    def _first_time(self, now, told):
        sender = self.senders.get(told.node)
        if sender is None:
            sender = self.senders[told.node] = _Sender()
        former = sender.incarnations.current
        if not sender.incarnations.accept(now, told.incarnation):
            return False
        if told.incarnation != former:
            sender.window = ReplayWindow()
        sender.used = now
        return sender.window.accept(told.ask)

    def _held(self, now, told):
        """The tally of a tenant, made anew where the length of its buckets changed."""
        held = self.tallies.get(told.tenant)
        if held is None or abs(held.tally.length - told.length) > 1e-6:
            before = held.tally.estimate(now - held.began) if held is not None else 0.0
            known = held.known if held is not None else {}
            held = self.tallies[told.tenant] = _Held(_tally(told.length, told.limit), now, known)
            held.tally.roll(0.0)
            held.tally.was = before
        return held

    def _settle(self, held, told):
        """Takes in what a gateway let past without an add of its own."""
        known = held.known.get(told.node)
        if known is None or known.incarnation != told.incarnation:
            held.tally.was += told.recent  # what it owes is a part of that
        elif told.ask < known.ask:
            return  # overtaken: a later one has told more
        else:
            held.tally.put(held.tally.bucket, told.owed - known.owed)
        held.known[told.node] = _Known(told.incarnation, told.ask, told.owed)

    def _tidy(self, now):
        self.tallies = {name: held for name, held in self.tallies.items() if now - held.used < KEEP}
        self.senders = {node: sender for node, sender in self.senders.items() if now - sender.used < KEEP}


@attrs.define
class _Sender:
    """A gateway that asks: its incarnations, and which asks of this incarnation came."""

    incarnations: Incarnations = attrs.Factory(Incarnations)
    window: ReplayWindow = attrs.Factory(ReplayWindow)
    used: float = 0.0


@attrs.define
class _Known:
    """What a gateway told last of one tenant."""

    incarnation: int
    ask: int
    owed: float


@attrs.define
class _Held:
    tally: Tally
    began: float
    known: dict
    used: float = 0.0


@attrs.define
class Pending:
    """An ask without an answer yet. `counter`: who is asked; `done`: who waits for it."""

    counter: str
    at: float
    done: object


class Quota:
    """The proxy's side. `ask` sends an add; `answered` and `late` tell what came of it."""

    def __init__(self, node, incarnation):
        self.node, self.incarnation, self.number, self.out = node, incarnation, 0, {}
        self.own, self.share, self.owed = {}, {}, {}
        self.times, self.failed, self.incarnations, self.newest = {}, {}, {}, {}

    def _own(self, now, tenant):
        length, limit = shape(tenant.rate, tenant.burst)
        tally = self.own.get(tenant.name)
        if tally is None or tally.length != length:
            tally = self.own[tenant.name] = _tally(length, limit)
        tally.limit = limit
        tally.roll(now)
        return tally

    def ask(self, now, tenant, counter, registry, done):
        """(Count to send, seconds to wait for its answer; 0: the counter was silent, decide now)."""
        tally = self._own(now, tenant)
        self.number += 1
        self.out[self.number] = Pending(counter, now, done)
        count = Count(
            self.number,
            self.node,
            self.incarnation,
            counter_mark(counter),
            tenant.name,
            tally.length,
            tally.limit,
            1.0,
            self.owed.get(tenant.name, 0.0),
            tally.estimate(now),
            registry,
        )
        blind = self.failed.get(counter, 0) >= BLIND_AFTER
        usual = self.times.get(counter)
        wait = MOST_WAIT if usual is None else min(MOST_WAIT, max(LEAST_WAIT, TIMES * usual.read(now)))
        return count, 0.0 if blind else wait

    def answered(self, now, total):
        """The pending ask that a total belongs to, or None: it is of another incarnation, of another counter, or came before."""
        pending = self.out.get(total.ask)
        if pending is None or not self._answers(pending, total):
            return None
        counter = pending.counter
        if not self._holds(now, counter, total):
            return None  # the counter has restarted since and knows nothing of it
        del self.out[total.ask]
        self.failed.pop(counter, None)
        if counter not in self.times:
            self.times[counter] = Mean(10.0, now, now - pending.at, 0.1)
        self.times[counter].add(now, now - pending.at)
        return pending

    def _answers(self, pending, total):
        """Asks are numbered anew in each incarnation."""
        return total.incarnation == self.incarnation and total.counter == counter_mark(pending.counter)

    def _holds(self, now, counter, total):
        """Is it of the counter's incarnation that holds now? A later ask that was answered already tells which one that is."""
        incarnations, newest = self.incarnations.setdefault(counter, Incarnations()), self.newest.get(counter, 0)
        if total.counter_incarnation != incarnations.current and total.ask < newest:
            return False
        self.newest[counter] = max(newest, total.ask)
        return incarnations.accept(now, total.counter_incarnation)

    def late(self, ask, counter):
        """No answer in time."""
        pending = self.out.pop(ask, None)
        if pending is not None:
            self.failed[counter] = self.failed.get(counter, 0) + 1
        return pending

    def fits(self, now, tenant, total):
        """Does the total returned, of this request too, fit the limit?"""
        tally = self._own(now, tenant)
        estimate = total.previous * total.overlap + total.current
        if estimate > 0:
            part = min(1.0, (tally.estimate(now) + 1.0) / estimate)
            self.share[tenant.name] = self.share.get(tenant.name, part) * (1 - DOUBT) + part * DOUBT
        return estimate <= tally.limit

    def fits_unasked(self, now, tenant, gateways):
        """Without an answer: our usual part of the limit, on our own counts."""
        tally = self._own(now, tenant)
        part = max(self.share.get(tenant.name, 0.0), 0.5 / max(1, gateways))
        return tally.estimate(now) + 1.0 <= max(1.0, BLIND_PART * part * tally.limit)

    def took(self, now, tenant, counted):
        """A request was let past; where no counter has it yet, the next add tells."""
        tally = self._own(now, tenant)
        tally.put(tally.bucket, 1.0)
        if not counted:
            self.owed[tenant.name] = self.owed.get(tenant.name, 0.0) + 1.0

    def back(self, now, tenant):
        """A request that was let past has not run: its unit is given back, here and with the next add."""
        tally = self._own(now, tenant)
        tally.put(tally.bucket, -1.0)
        self.owed[tenant.name] = self.owed.get(tenant.name, 0.0) - 1.0

    def room_in(self, tenant, total):
        """Seconds until the estimate may have room again."""
        length, limit = shape(tenant.rate, tenant.burst)
        spare = max(0.0, limit - 1.0 - total.current) / max(total.previous, 1e-9) if total is not None else 0.0
        return max(0.05, (total.overlap if total is not None else 1.0) * length - spare * length)
