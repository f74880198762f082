"""What stands between a gatekeeper's decisions and the shared counter while the counter is in trouble.

The weighted two-bucket estimate (the paper's, see docs/design.md) trusts the totals the counter tells. Three kinds
of trouble make a told total wrong without any call failing, and `Recovery` mends each on its way, so that the
decisions go on as they are:

- **A fresh counter** tells totals that lack all that was added before. Every counter carries an identity: the total
  of a name that whoever finds it empty sets to a number drawn by chance. Another identity is another counter, and
  all units this gatekeeper has standing in live names are added again, each once.
- **A counter back with old values** keeps its identity. Every gatekeeper adds 1 to a witness name each beat and
  takes nothing off it: a witness total below one already told shows the loss, and the witness's own history shows
  from when the values are. Units added since then are added again.
- **A split fleet** adds to two counters. The witness grows by the number of gatekeepers on this counter each beat;
  where that falls below the fleet, what is told is one part of the truth: the units told since are divided by the
  part of the fleet seen. A fall that lasts longer than `missing_hold` is taken for gatekeepers that are gone.

Called as `Recovery(settings, seed).step(now, told)`: `Asked` (the decisions add units), `Answered` (a call's
outcome), `Beat` (the time told in `Recovery.due` has come). Returns orders: `Bring` (a call to the counter) and
`Tell` (a call's outcome, as the decisions are to hear it). Times are whole tenths of a millisecond; units as the
decisions count them. Calls of one name are answered in their order (`fernyard.counter` keeps that).

Where it errs it errs towards too many units on the counter, so towards denials, for two buckets at most.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random

from ..interface import NEVER_RAN, End

SECOND = 10_000
WITNESS, IDENTITY = 1 << 63, 1 << 64  # beyond every name the decisions use
EPOCH, LIFE = 30 * SECOND, 60 * SECOND  # a name lives 60 s at most on the counter
MARGIN = 1e-6
SMALLER = 0.9  # of the fleet: a lost call or two in a window are no split
LARGEST_IDENTITY = 9_000_000  # totals are exact to seven digits


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """`fleet`: gatekeepers that beat when all is well (0: learned, the most seen). `missing_hold`: how long a fleet
    seen smaller counts as split. `pushes`: units brought back by calls of their own, a beat, at most; `names`: live
    names remembered at most, the oldest go first."""

    fleet: int = 0
    beat: int = SECOND
    missing_hold: int = 60 * SECOND
    pushes: int = 32
    names: int = 20_000
    window: int = 3  # beats over which the fleet is counted


# What it is told


@dataclass(slots=True)
class Asked:
    """The decisions add `amount` to `name`, to be kept `keep`, for a customer of that plan."""

    name: int
    amount: float
    keep: int
    plan: int = -1


@dataclass(slots=True)
class Answered:
    """What came of the oldest call out of that name."""

    name: int
    end: End
    total: float
    took: int


@dataclass(slots=True)
class Beat:
    """The time in `due` has come."""


# What it orders


@dataclass(slots=True)
class Bring:
    """A call to the counter."""

    name: int
    amount: float
    keep: int


@dataclass(slots=True)
class Tell:
    """A call of the decisions' own has ended so."""

    name: int
    end: End
    total: float
    took: int


@dataclass(slots=True)
class Report:
    """Something an operator wants to know: `kind` "replaced", "went_back", "split", "whole", "gone"; `figure` is the
    number of names brought back, or the part of the fleet seen."""

    kind: str
    figure: float


class Standing:
    """What this gatekeeper has added to one live name. `marks`: [first added, added to this counter, units], a beat
    each; `base`: the total last told while the whole fleet was on this counter."""

    __slots__ = ("lapses", "keep", "marks", "missing", "told", "base")

    def __init__(self, lapses, keep):
        self.lapses, self.keep, self.marks, self.missing, self.told, self.base = lapses, keep, [], 0.0, 0.0, None


class Recovery:
    def __init__(self, settings, seed):
        self.set, self.random = settings, Random(f"recovery:{seed}")
        self.standing, self.calls = OrderedDict(), {}
        self.phase = self.random.randrange(settings.beat)
        self.due = 0
        # By epoch: the witness's told totals as (when told, total), and the identity once it is settled.
        self.witness, self.identity, self.candidate = {}, {}, {}
        self.met = OrderedDict()  # identity -> when this counter was last heard
        self.pending = deque()  # names with units missing that no call has carried yet
        self.fleet, self.seen, self.since = settings.fleet, 0, None
        self.part = 1.0  # of the fleet, as seen on this counter
        self.brought = 0.0

    def step(self, now, told):
        self.now, self.orders = now, []
        if not self.due:
            self.due = self._next_beat()
        HEAR[type(told)](self, told)
        return self.orders

    # Calls -------------------------------------------------------------------------------------------------

    def _asked(self, told):
        standing = self._standing(told.name, told.keep)
        missing, standing.missing = standing.missing, 0.0
        self._bring(told.name, told.amount, missing, told.keep, own=False)

    def _bring(self, name, amount, missing, keep, own):
        """A call: `amount` the decisions asked for (0 in one of our own) and `missing` brought back with it."""
        self.calls.setdefault(name, deque()).append((own, amount, missing))
        self.orders.append(Bring(name, amount + missing, keep))

    def _answered(self, told):
        calls = self.calls.get(told.name)
        if not calls:
            return
        own, amount, missing = calls.popleft()
        if not calls:
            del self.calls[told.name]
        if told.name >= WITNESS:
            if told.end is End.PASSED:
                if told.name >= IDENTITY:
                    self._heard_identity(told.name - IDENTITY, told.total)
                else:
                    self._heard_witness(told.name - WITNESS, amount, told.total)
            return
        total = told.total
        standing = self.standing.get(told.name)
        if standing is not None and standing.lapses > self.now:
            if told.end in NEVER_RAN:
                standing.missing += missing  # the decisions bring their own part back themselves
            else:
                # Taken as added even where nothing came back: else what was added is added twice.
                if amount:
                    self._mark(standing, amount)
                if missing:
                    self.brought += missing
                if told.end is End.PASSED:
                    total = self._true(standing, told.total)
        if not own:
            self.orders.append(Tell(told.name, told.end, total, told.took))

    def _standing(self, name, keep):
        standing = self.standing.get(name)
        if standing is None or standing.lapses <= self.now:
            self.standing.pop(name, None)
            standing = self.standing[name] = Standing(self.now + min(keep, LIFE), keep)
            while len(self.standing) > self.set.names:
                self.standing.popitem(last=False)
        return standing

    def _mark(self, standing, amount):
        beat = self.now - self.now % self.set.beat
        if standing.marks and standing.marks[-1][1] == beat and standing.marks[-1][0] == beat:
            standing.marks[-1][2] += amount
        else:
            standing.marks.append([beat, beat, amount])

    def _true(self, standing, total):
        """A told total as the whole fleet's: what came since the fleet was whole is this part's alone."""
        if self.part >= 1.0:
            standing.told = total
            return total
        if standing.base is None:
            standing.base = standing.told
        # Less than the base: the counter was replaced since; all of it is this part's.
        base = standing.base if standing.base <= total else 0.0
        return base + (total - base) / self.part

    # Beats -------------------------------------------------------------------------------------------------

    def _next_beat(self):
        """On a grid of our own: every gatekeeper then adds exactly one a beat, and the witness counts them."""
        beat = self.set.beat
        return (self.now - self.phase) // beat * beat + self.phase + beat

    def _beat(self, _):
        if self.now < self.due:
            return
        self.due = self._next_beat()
        epoch = self.now // EPOCH
        # The identity goes before the witness, on one connection: a fresh counter has neither, and told of the
        # witness first we would bring back all of ours twice.
        asked = [epoch]
        if epoch not in self.identity and epoch - 1 in self.identity and self.now % EPOCH < EPOCH - 5 * SECOND:
            # Until the new identity is settled the last one is asked for too: a counter replaced meanwhile shows.
            # Not near the end of its life, where it reads 0 on the same counter.
            asked.append(epoch - 1)
        for kind in IDENTITY, WITNESS:
            for of in asked:
                self._bring(kind | of, float(kind is WITNESS and of == epoch), 0.0, LIFE, own=True)
        for known in self.witness, self.identity, self.candidate:
            for old in [e for e in known if e < epoch - 1]:
                del known[old]
        self._push()
        while self.standing and next(iter(self.standing.values())).lapses <= self.now:
            self.standing.popitem(last=False)

    def _push(self):
        """Brings back what no call of the decisions has carried, so many a beat: all gatekeepers do so at once."""
        pushed = 0
        while self.pending and pushed < self.set.pushes:
            name = self.pending.popleft()
            standing = self.standing.get(name)
            if standing is None or standing.lapses <= self.now or abs(standing.missing) < MARGIN:
                continue
            missing, standing.missing = standing.missing, 0.0
            self._bring(name, 0.0, missing, standing.keep, own=True)
            pushed += 1

    def _heard_identity(self, epoch, total):
        known = self.identity.get(epoch)
        if known is not None:
            if abs(total - known) < 0.5:
                self.met[known] = self.now
                return
            self._another(epoch, total)
        elif total < 0.5:
            # Nobody has named this counter in this epoch: we do. Where another does at the same moment, the sum of
            # both is its name, which is why a name counts only once it was heard twice.
            self._bring(IDENTITY | epoch, float(self.random.randrange(1, LARGEST_IDENTITY)), 0.0, LIFE, own=True)
        elif self.candidate.get(epoch) == total:
            self._settle(epoch, total)
        else:
            self.candidate[epoch] = total

    def _settle(self, epoch, total):
        self.identity[epoch] = total
        self.candidate.pop(epoch, None)
        self.met[total] = self.now
        while len(self.met) > 16:
            self.met.popitem(last=False)

    def _another(self, epoch, total):
        """Another counter answers: one met before has what it had then, any other has nothing of ours."""
        met = self.met.get(total)
        self.identity.pop(epoch, None)
        if total >= 0.5:
            self.candidate[epoch] = total
        else:
            self._bring(IDENTITY | epoch, float(self.random.randrange(1, LARGEST_IDENTITY)), 0.0, LIFE, own=True)
        self.identity.pop(epoch - 1, None)
        self.witness.clear()
        for standing in self.standing.values():
            standing.base = 0.0
            standing.told = 0.0
        names = self._bring_back(met if met is not None else -1, by_first=met is not None)
        self.orders.append(Report("replaced", names))

    def _heard_witness(self, epoch, amount, total):
        history = self.witness.setdefault(epoch, deque(maxlen=EPOCH // self.set.beat + 4))
        if history and total < history[-1][1] + amount - MARGIN:
            return self._back(history, amount, total)
        if amount:
            history.append((self.now, total))
            self._count(history)

    def _back(self, history, amount, total):
        """The witness only grows: this counter lost values. Others may have added to it since it came back, up to
        one a beat and gatekeeper, so the values are at most as new as the witness less those."""
        others = max(self.fleet, self.seen, 1) * (1 + (self.now - history[-1][0]) // self.set.beat)
        at = -1
        for when, told in history:
            if told <= total - amount - others:
                at = when
        history.clear()
        history.append((self.now, total))
        names = self._bring_back(at, by_first=False)
        self.orders.append(Report("went_back", names))

    def _bring_back(self, since, by_first):
        """What was added after `since` is missing on this counter. Marks are of whole beats, so the beat in which
        `since` lies is missing too. Returns how many names have units to bring back."""
        names = 0
        for name, standing in self.standing.items():
            if standing.lapses <= self.now:
                continue
            beat, missing = self.now - self.now % self.set.beat, 0.0
            for mark in standing.marks:
                at = mark[0] if by_first else mark[1]
                if at + self.set.beat > since:
                    missing += mark[2]
                    mark[1] = beat
                else:
                    mark[1] = mark[0]
            # In place of what was still to be brought back, not beside it: those units are in the marks.
            standing.missing = missing
            if abs(missing) >= MARGIN:
                names += 1
                self.pending.append(name)
        while len(self.pending) > self.set.names:
            self.pending.popleft()
        self._push()
        return names

    def _count(self, history):
        """The fleet as this counter sees it: what the witness grew by over some beats."""
        window = self.set.window
        if len(history) <= window or history[-1][0] - history[-1 - window][0] > (window + 1) * self.set.beat:
            return
        grown = history[-1][1] - history[-1 - window][1]
        self.seen = max(1, round(grown / window))
        if not self.set.fleet:
            self.fleet = max(self.fleet, self.seen)
        if self.seen > SMALLER * self.fleet:
            if self.part < 1.0:
                self.orders.append(Report("whole", 1.0))
            self._whole()
        elif self.since is None:
            self.since, self.part = self.now, self.seen / self.fleet
            self.orders.append(Report("split", self.part))
        elif self.now - self.since > self.set.missing_hold:
            # Gone, not split: those left are the fleet now.
            self.orders.append(Report("gone", self.fleet - self.seen))
            self.fleet = self.seen
            self._whole()
        else:
            self.part = self.seen / self.fleet

    def _whole(self):
        if self.part < 1.0:
            for standing in self.standing.values():
                standing.base = None
        self.since, self.part = None, 1.0


HEAR = {Asked: Recovery._asked, Answered: Recovery._answered, Beat: Recovery._beat}
