"""Planners agree on one standing order: a rewritable register by majority, without a log (CASPaxos, Rystsov 2018; the two
phases are those of Paxos, Lamport 1998). Free of I/O; one entry point, `Register.step(now, told) -> orders`.

Each planner is a voter and may propose. A proposal asks a majority what they hold (`Prepare`, `Promise`), changes the
newest of that, and asks a majority to hold the result (`Accept`, `Accepted`): then it is decided, and whoever proposes next
finds it. A vote is stored before it is answered (`Store`, then `Stored`); a planner whose store fails says nothing.

No decision here hangs on a clock: times only say when to try again, and how old a confirmation is by this planner's own
steady clock. A planner without a store votes for nothing until it is certain that it may (`docs/accord.md`): the first
planner founds the cluster once every other one, in the life it is in, has said that it has no store; one that lost its store
asks a majority of the others for a promise, which shuts out what its lost votes may have been part of, and holds what they
hold.

Times are whole tenths of a millisecond; planners are numbered as the operator's file lists them.
"""

import json
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from random import Random

from .acceptor import Acceptor, Granted, Refused, Request, StoreVote, newest

SECOND = 10_000
HELLO = SECOND // 2  # between two words of a planner without a store
ROUND = SECOND  # a round that took longer is given up
PAUSE, LONGEST_PAUSE = SECOND // 50, SECOND  # after a round that failed, drawn by chance up to it, doubling
PATIENCE = 8 * SECOND  # a change not decided by then is answered as such; it may be decided still
MOST_WAITING = 64  # changes that wait


Ballot = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Order:
    """What stands. `parts`: name -> what the part's owner makes of it (JSON values), never changed in place."""

    version: int = 0
    parts: dict = field(default_factory=dict, hash=False)

    def with_part(self, name, value):
        return Order(self.version, {**self.parts, name: value})

    @property
    def digest(self):
        """Of what it says: two orders of one version must have one."""
        return blake2b(json.dumps(self.parts, sort_keys=True).encode(), digest_size=6).hexdigest()


@dataclass(frozen=True, slots=True)
class Vote:
    """What a voter has stored. Ballots are (round, planner, life of that planner); None: none yet. `lives`: of all planners
    as the cluster was founded."""

    cluster: str
    promised: Ballot | None = None
    ballot: Ballot | None = None
    order: Order | None = None
    lives: tuple[int, ...] = ()

    @property
    def accepted(self):
        return self.ballot

    def promising(self, ballot):
        return replace(self, promised=ballot)

    def accepting(self, ballot, order):
        return replace(self, promised=ballot, ballot=ballot, order=order)


# Messages between planners


@dataclass(frozen=True, slots=True)
class Hello:
    """`cluster` empty: it has no store. `asks`: it wants to hear the same of the other."""

    life: int
    cluster: str = ""
    asks: bool = False


@dataclass(frozen=True, slots=True)
class Form:
    cluster: str
    lives: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Prepare:
    cluster: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """`held`, `order`: what the voter holds (None: nothing)."""

    cluster: str
    ballot: Ballot
    held: Ballot | None
    order: Order | None


@dataclass(frozen=True, slots=True)
class Accept:
    cluster: str
    ballot: Ballot
    order: Order


@dataclass(frozen=True, slots=True)
class Accepted:
    cluster: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refusal:
    """It has promised `promised` to another."""

    cluster: str
    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Read:
    """What do you hold? `have`: the ballot of what the asker knows."""

    cluster: str
    number: int
    have: Ballot | None


@dataclass(frozen=True, slots=True)
class Held:
    """`order` is left out where it is what the asker knows."""

    cluster: str
    number: int
    held: Ballot | None
    order: Order | None


Message = Hello | Form | Prepare | Promise | Accept | Accepted | Refusal | Read | Held


# What it is told


@dataclass(frozen=True, slots=True)
class Heard:
    planner: int
    message: Message


@dataclass(frozen=True, slots=True)
class Stored:
    """The store of that number is done, or failed."""

    number: int
    well: bool


@dataclass(frozen=True, slots=True)
class Propose:
    """`change(order) -> order`: the same object where nothing is to change; `Unfit` where it does not fit what stands. It is
    asked again at each try, on what stands then, and must do no harm twice."""

    key: int
    change: object


@dataclass(frozen=True, slots=True)
class Confirm:
    """Is what is known still what stands?"""


@dataclass(frozen=True, slots=True)
class Beat:
    """The time in `due` has come."""


class Unfit(Exception):
    """A change does not fit what stands; `why` goes back to who proposed it."""

    def __init__(self, why):
        super().__init__(str(why))
        self.why = why


# What it orders


@dataclass(frozen=True, slots=True)
class Send:
    planner: int
    message: Message


@dataclass(frozen=True, slots=True)
class Store:
    number: int
    vote: Vote


@dataclass(frozen=True, slots=True)
class Decided:
    """`order` stands, as of `at` (the beginning of the round or read that showed it)."""

    order: Order
    at: int


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of a proposed change: decided, `unfit` (the reason), or no majority in time (both nothing)."""

    key: int
    order: Order | None = None
    unfit: object = None


@dataclass(slots=True)
class Round:
    ballot: Ballot
    at: int
    changes: list
    promises: dict = field(default_factory=dict)
    order: Order | None = None
    accepted: set = field(default_factory=set)
    answers: list = field(default_factory=list)


@dataclass(slots=True)
class Reading:
    number: int
    at: int
    held: dict = field(default_factory=dict)


class Register:
    """`me` of `count` planners; `life`: a number no other start of any planner has; `vote`: what was stored (None: no
    store)."""

    def __init__(self, me, count, life, vote=None, name="fernyard"):
        self.me, self.count, self.life, self.name = me, count, life, name
        self.random = Random(life)
        self.acceptor = Acceptor(vote)
        self.round = self.reading = self.rejoin = None
        self.changes, self.patience = [], {}
        self.known, self.confirmed = None, None  # (ballot, order) decided; as of when it was seen to stand
        self.highest = vote.promised[0] if vote and vote.promised else 0
        self.pause, self.pause_until, self.hello_at, self.reads = PAUSE, 0, 0, 0
        self.lives, self.due = {}, 0
        if vote is not None and vote.ballot:
            self.highest = max(self.highest, vote.ballot[0])

    @property
    def durable(self):
        """The vote as stored."""
        return self.acceptor.vote

    @property
    def majority(self):
        return self.count // 2 + 1

    @property
    def cluster(self):
        return self.durable.cluster if self.durable else ""

    def step(self, now, told):
        self.now, self.orders = now, []
        HEAR[type(told)](self, told)
        self._go_on()
        return self.orders

    def _go_on(self):
        """What time alone brings: words of one without a store, rounds given up, changes waiting for one."""
        now = self.now
        if self.durable is None and now >= self.hello_at:
            self.hello_at = now + HELLO
            self._to_others(Hello(self.life, "", True))
        if self.round is not None and now - self.round.at > ROUND:
            self._fail()
        if self.rejoin is not None and now - self.rejoin.at > ROUND:
            self.rejoin = None
        for key, change in [c for c in self.changes if self.patience[c[0]] <= now]:
            self._answer(Answer(key))
        if self.durable is not None and self.round is None and self.changes and now >= self.pause_until:
            self._begin()
        times = [self.hello_at if self.durable is None else now + SECOND]
        if self.round is not None:
            times.append(self.round.at + ROUND + 1)
        elif self.changes:
            times.append(self.pause_until)
        times += [self.patience[key] for key, _ in self.changes]
        self.due = max(now + 1, min(times))

    def _to_others(self, message):
        self.orders += [Send(planner, message) for planner in range(self.count) if planner != self.me]

    def _to_all(self, message):
        self._to_others(message)
        self._heard(Heard(self.me, message))

    def _reply(self, planner, message):
        if planner == self.me:
            self._heard(Heard(self.me, message))
        else:
            self.orders.append(Send(planner, message))

    # Messages ----------------------------------------------------------------------------------------------

    def _heard(self, told):
        message, planner = told.message, told.planner
        kind = type(message)
        if kind is Hello:
            return self._hello(planner, message)
        if kind is Form:
            return self._form(message)
        if kind is Promise and self.rejoin is not None and message.ballot == self.rejoin.ballot:
            return self._rejoined(planner, message)
        if kind is Refusal:
            self.highest = max(self.highest, message.promised[0])
            if self.rejoin is not None and message.ballot == self.rejoin.ballot:
                self.rejoin = None
        if self.durable is None or message.cluster != self.durable.cluster:
            return None  # without a store, or of another cluster: no vote is given or counted
        if kind in (Prepare, Accept):
            accept = kind is Accept
            request = Request(planner, message.ballot, accept, message.order if accept else None)
            self._carry_out(self.acceptor.handle(request))
        elif kind is Promise:
            self._promised(planner, message)
        elif kind is Accepted:
            self._accepted(planner, message)
        elif kind is Refusal:
            if self.round is not None and message.ballot == self.round.ballot:
                self._fail()
        elif kind is Read:
            vote = self.durable
            order = None if message.have == vote.ballot else vote.order
            self._reply(planner, Held(vote.cluster, message.number, vote.ballot, order))
        elif kind is Held:
            self._held(planner, message)
        return None

    # The voter ---------------------------------------------------------------------------------------------

    def _carry_out(self, outcomes):
        """What the acceptor decided goes to the disk and to those who asked."""
        for outcome in outcomes:
            request = self.acceptor.storing[2] if isinstance(outcome, StoreVote) else outcome.request
            if request is not None:
                self.highest = max(self.highest, request.proposal_number[0])
            if isinstance(outcome, Granted):
                self._reply(outcome.request.sender, self._granted(outcome))
            elif isinstance(outcome, Refused):
                refusal = Refusal(self.durable.cluster, outcome.request.proposal_number, outcome.promised)
                self._reply(outcome.request.sender, refusal)
            else:
                self.orders.append(Store(outcome.number, outcome.vote))

    def _granted(self, outcome):
        request, before = outcome.request, outcome.before
        if request.accept:
            return Accepted(before.cluster, request.proposal_number)
        return Promise(before.cluster, request.proposal_number, before.ballot, before.order)

    def _store(self, vote):
        self._carry_out([self.acceptor.store(vote)])

    def _stored(self, told):
        founded = self.durable is None
        self._carry_out(self.acceptor.stored(told.number, told.well))
        vote = self.durable
        if (
            founded
            and vote is not None
            and self.me == 0
            and vote.ballot is None
            and vote.promised is None
            and vote.lives
        ):
            self._to_others(Form(vote.cluster, vote.lives))

    # The proposer ------------------------------------------------------------------------------------------

    def _propose(self, told):
        if len(self.changes) >= MOST_WAITING:
            return self.orders.append(Answer(told.key))
        self.changes.append((told.key, told.change))
        self.patience[told.key] = self.now + PATIENCE
        return None

    def _begin(self):
        self.highest += 1
        self.round = Round((self.highest, self.me, self.life), self.now, list(self.changes))
        self._to_all(Prepare(self.durable.cluster, self.round.ballot))

    def _promised(self, planner, message):
        round = self.round
        if round is None or message.ballot != round.ballot or round.order is not None:
            return
        round.promises[planner] = message.held, message.order
        if len(round.promises) < self.majority:
            return
        _, order = newest(round.promises.values())
        order, before = order or Order(), order
        now = order
        for key, change in round.changes:
            try:
                now, why = change(now), None
            except Unfit as unfit:
                why = unfit.why
            round.answers.append((key, why))
        # What stands is written again where nothing changes, under the same version: then it stands for certain.
        if before is None or now is not order:
            now = Order(order.version + 1, now.parts)
        round.order = now
        self._to_all(Accept(self.durable.cluster, round.ballot, now))

    def _accepted(self, planner, message):
        round = self.round
        if round is None or message.ballot != round.ballot or round.order is None:
            return
        round.accepted.add(planner)
        if len(round.accepted) < self.majority:
            return
        self.round, self.pause = None, PAUSE
        self._decided(round.ballot, round.order, round.at)
        for key, why in round.answers:
            self._answer(Answer(key, None if why is not None else round.order, why))

    def _answer(self, answer):
        if self.patience.pop(answer.key, None) is not None:
            self.changes = [change for change in self.changes if change[0] != answer.key]
            self.orders.append(answer)

    def _fail(self):
        """Another is at it, or no majority hears us: again after a pause of its own."""
        self.round = None
        self.pause_until = self.now + 1 + int(self.pause * self.random.random())
        self.pause = min(LONGEST_PAUSE, 2 * self.pause)

    def _decided(self, ballot, order, at):
        if self.known is None or ballot > self.known[0]:
            self.known = ballot, order
        elif ballot < self.known[0]:
            return
        if self.confirmed is None or at > self.confirmed:
            self.confirmed = at
        self.orders.append(Decided(self.known[1], self.confirmed))

    # Reading -----------------------------------------------------------------------------------------------

    def _confirm(self, _):
        """A majority that holds one ballot holds what stands, as of when it was asked."""
        if self.durable is None:
            return
        if self.reading is not None and len(self.reading.held) >= self.majority and not self.changes:
            # A majority answered, and not alike: some are down, or the last round ended half-way. It is written again.
            self._propose(Propose(-self.reads, lambda order: order))
        self.reads += 1
        self.reading = Reading(self.reads, self.now)
        self._to_all(Read(self.durable.cluster, self.reads, self.known and self.known[0]))

    def _held(self, planner, message):
        reading = self.reading
        if reading is None or message.number != reading.number:
            return
        reading.held[planner] = message.held, message.order
        alike = [(held, order) for held, order in reading.held.values() if held == message.held]
        if len(alike) >= self.majority and message.held is not None:
            self.reading = None
            order = next((o for _, o in alike if o is not None), None)
            if order is None and self.known is not None and self.known[0] == message.held:
                order = self.known[1]
            if order is not None:
                self._decided(message.held, order, reading.at)

    # Without a store ---------------------------------------------------------------------------------------

    def _hello(self, planner, message):
        if message.asks:
            self._reply(planner, Hello(self.life, self.cluster))
        self.lives[planner] = message.life, message.cluster
        if self.durable is not None:
            if (
                not message.cluster
                and self.me == 0
                and self.durable.lives
                and self.durable.lives[planner] == message.life
            ):
                # It has been up since the founding and was never told: it has voted for nothing.
                self.orders.append(Send(planner, Form(self.durable.cluster, self.durable.lives)))
            return
        if self.acceptor.storing is not None or self.rejoin is not None:
            return
        clusters = [cluster for _, cluster in self.lives.values() if cluster]
        if not clusters:
            if self.me == 0 and len(self.lives) == self.count - 1:
                lives = tuple(self.life if n == self.me else self.lives[n][0] for n in range(self.count))
                self._store(Vote(f"{self.name}-{self.life:x}", lives=lives))
            return
        cluster = max(clusters, key=clusters.count)
        if clusters.count(cluster) >= self.majority:
            # It may have voted in a life before and cannot know for what. The others' promises end every round that such
            # a vote could still be counted in; what was decided with it, one of them holds.
            self.highest += 1
            self.rejoin = Round((self.highest, self.me, self.life), self.now, [])
            self.orders += [
                Send(n, Prepare(cluster, self.rejoin.ballot))
                for n, (_, theirs) in self.lives.items()
                if theirs == cluster
            ]

    def _form(self, message):
        if (
            self.durable is None
            and self.acceptor.storing is None
            and len(message.lives) == self.count
            and (message.lives[self.me] == self.life)
        ):
            self._store(Vote(message.cluster, lives=message.lives))

    def _rejoined(self, planner, message):
        rejoin = self.rejoin
        rejoin.promises[planner] = message.held, message.order
        if len(rejoin.promises) >= self.majority and self.acceptor.storing is None and self.durable is None:
            held, order = newest(rejoin.promises.values())
            self.rejoin = None
            self._store(Vote(message.cluster, rejoin.ballot, held, order))


HEAR = {
    Heard: Register._heard,
    Stored: Register._stored,
    Propose: Register._propose,
    Confirm: Register._confirm,
    Beat: lambda self, told: None,
}
