"""A gatekeeper's or forwarder's side of the agreed order: which planner it asks, how long what it was told holds, and
that it never goes back. Free of I/O; `Follower.step(now, told) -> orders`.

A planner answers with the age of its confirmation: how long ago, by its own steady clock, a majority held that order. The
order holds for `lease` from then, counted on this process's own clock from when it *asked*, not from when the answer came:
however long an answer was on its way, or this process stood still, nothing is obeyed beyond it. Two clocks are never
compared. Past its lease nothing is obeyed, and each part falls back to what is safe alone; the version stays known, so that
an older order is never obeyed after a newer one in this process's life.

Times are whole tenths of a millisecond.
"""

import hashlib
from dataclasses import dataclass
from random import Random

from .register import Order

SECOND = 10_000
ASKS_IN_LEASE = 4  # at least so often is asked while a lease runs
SILENT = 2  # asks in a row without an answer, after which the next planner is asked
PAUSE, LONGEST_PAUSE = SECOND // 5, 4 * SECOND


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """`planners`: addresses; `lease`: how long an order holds past its confirmation."""

    name: str
    planners: tuple[str, ...]
    lease: int


# What it is told


@dataclass(frozen=True, slots=True)
class Standing:
    """A planner's answer to an ask. `order` None: the one the asker has stands; `age`: of its confirmation (None: it cannot
    confirm any); `beat`: how long to wait until the next ask."""

    number: int
    cluster: str
    version: int
    age: int | None
    beat: int
    order: Order | None = None


@dataclass(frozen=True, slots=True)
class Answered:
    planner: str
    standing: Standing


@dataclass(frozen=True, slots=True)
class Unheard:
    """The connection to a planner ended, or could not be had."""

    planner: str


@dataclass(frozen=True, slots=True)
class Beat:
    """The time in `due` has come."""


# What it orders


@dataclass(frozen=True, slots=True)
class Follow:
    """Asks a planner what stands. `have`: (cluster, version) known."""

    planner: str
    number: int
    have: tuple[str, int]
    report: dict


@dataclass(frozen=True, slots=True)
class Obey:
    """From now on this order holds (None: none does)."""

    order: Order | None


@dataclass(frozen=True, slots=True)
class Strange:
    """A planner of another cluster answered, or one that knows less than was told before: it is not followed."""

    planner: str
    cluster: str
    version: int


@dataclass(slots=True)
class Asked:
    planner: str
    at: int


class Follower:
    """`report`: what its asks carry, by the part of the order (JSON values); renewed by whoever steps it."""

    def __init__(self, settings, seed=0):
        self.set, self.random = settings, Random(seed)
        # By rendezvous hashing each follower has an order of its own: planners share the followers of one that is lost.
        self.planners = sorted(
            settings.planners,
            key=lambda planner: hashlib.blake2b(f"{planner}:{settings.name}".encode(), digest_size=8).digest(),
        )
        self.at, self.failed, self.pause, self.number, self.out = 0, 0, PAUSE, 0, {}
        self.cluster, self.order, self.until, self.obeyed = "", None, 0, False
        self.beat, self.next, self.due, self.report = settings.lease // ASKS_IN_LEASE, None, 0, {}

    def step(self, now, told):
        self.now, self.orders = now, []
        if self.next is None:
            # All that start together would ask together.
            self.next = now + int(self.random.random() * min(SECOND, self.beat))
        HEAR[type(told)](self, told)
        if self.obeyed and now >= self.until:
            # Also one that stood still past its lease comes here before anything else.
            self.obeyed = False
            self.orders.append(Obey(None))
        if now >= self.next:
            self._ask()
        self.due = min(self.next, self.until if self.obeyed else self.next)
        return self.orders

    def holds(self, now):
        """The order that holds now, or None: asked at each use, a wake-up from a long pause included."""
        return self.order if self.obeyed and now < self.until else None

    def _ask(self):
        late = [n for n, asked in self.out.items() if self.now - asked.at >= self.beat]
        for number in late:
            if self.out.pop(number).planner == self.planners[self.at]:
                self.failed += 1
        if self.failed >= SILENT:
            self._leave()
        self.number += 1
        self.out[self.number] = Asked(self.planners[self.at], self.now)
        have = (self.cluster, self.order.version if self.order else 0)
        self.orders.append(Follow(self.planners[self.at], self.number, have, dict(self.report)))
        self.next = self.now + int(self.beat * (0.9 + 0.2 * self.random.random()))

    def _leave(self):
        self.at, self.failed = (self.at + 1) % len(self.planners), 0

    def _unheard(self, told):
        out = [n for n, asked in self.out.items() if asked.planner == told.planner]
        for number in out:
            del self.out[number]
        if out and told.planner == self.planners[self.at]:
            # Refused at once or broken: the next is asked soon, and ever later where none is there, at moments of one's own.
            self._leave()
            self.next = min(self.next, self.now + int(self.pause * (0.5 + self.random.random())))
            self.pause = min(LONGEST_PAUSE, 2 * self.pause)

    def _answered(self, told):
        standing = told.standing
        asked = self.out.pop(standing.number, None)
        if asked is None or asked.planner != told.planner:
            return
        self.failed, self.pause = 0, PAUSE
        self.beat = max(1, min(standing.beat, self.set.lease // ASKS_IN_LEASE))
        have = self.order.version if self.order else 0
        if self.cluster and standing.cluster != self.cluster or standing.version < have:
            if standing.cluster != self.cluster:
                self.orders.append(Strange(told.planner, standing.cluster, standing.version))
            return self._leave()
        if standing.age is None or standing.version == 0:
            return self._leave()  # it hears no majority
        if standing.version > have:
            if standing.order is None or standing.order.version != standing.version:
                return None
            self.cluster, self.order = standing.cluster, standing.order
        until = asked.at + self.set.lease - standing.age
        if until > self.until:
            self.until = until
        if self.now < self.until and (not self.obeyed or standing.version > have):
            self.obeyed = True
            self.orders.append(Obey(self.order))
        if standing.age > self.set.lease // 2:
            # It answers, and has not heard a majority for long: one cut off one way kept its followers for ever.
            self._leave()
        return None


HEAR = {Answered: Follower._answered, Unheard: Follower._unheard, Beat: lambda follower, told: None}
