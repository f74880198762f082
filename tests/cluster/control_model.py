"""All that can happen in a small model of the control state: three members and one that waits, two orders with other bytes
under one number at two proposers (x, y), one replacement and its end, one wiped disk, one lost answer; `Explorer` is fields
which of these.

The acceptors, proposers and states are those of the control plane. A request may reach a voter at any time, again, or never,
also after its proposer has gone on; a voter's answer is heard at once or lost (one that comes later changes nothing but which
majority comes together, and the losses cover that). Clocks play no part: a round may be
given up and begun again at any time, `again` times."""

from functools import cache
from random import Random

import attrs

from fernyard.accord.acceptor import Acceptor, Granted, Refused, Request, StoreVote
from fernyard.cluster.control_plane.messages import Accept, Accepted, Promise, Refusal
from fernyard.cluster.control_plane.proposer import (
    NumberedState,
    Outcome,
    PendingChange,
    Proposer,
    Round,
)
from fernyard.cluster.control_plane.state import (
    NO_CONFIGURATION,
    ChangeRejectedError,
    ConfigurationId,
    FinishReplacement,
    Member,
    ProposalNumber,
    ReplaceMember,
    SetConfiguration,
    Vote,
    founding_state,
)

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
FOUNDED = founding_state(IPS)
START = ProposalNumber(0, 0)
SPARE = Member("10.0.0.4", 4)
CHANGES = {
    "x": (0, SetConfiguration(ConfigurationId(1, 11))),
    "y": (1, SetConfiguration(ConfigurationId(1, 22))),
    "replace": (0, ReplaceMember(1, 0, FOUNDED.voters[2], SPARE)),
    "finish": (None, FinishReplacement(2)),
}


@attrs.frozen(cache_hash=True, slots=False)
class PhaseRequest:
    """A proposer requests for a promise, or that `state` is accepted."""

    proposal_number: ProposalNumber
    state: object = None


@attrs.frozen(cache_hash=True, slots=False)
class Begun:
    """One proposer between two steps."""

    incarnation: int
    highest: int = 0
    known: NumberedState = NumberedState(START, FOUNDED)  # the newest that it knows to be decided
    decided_epoch: int = 1
    pending: tuple = ()
    proposal_number: ProposalNumber | None = None
    base: tuple = ()
    round_known: tuple = ()
    promises: tuple = ()
    state: object = None
    accepted: tuple = ()
    outcomes: tuple = ()

    def proposer(self):
        made = Proposer(self.incarnation, Random(0))
        made.highest_round, made.decided_epoch = self.highest, self.decided_epoch
        made.pending = [PendingChange(key, change, 1.0) for key, change in self.pending]
        if self.proposal_number is not None:
            made.round = Round(
                self.proposal_number,
                0.0,
                self.base,
                self.round_known,
                9.0,
                dict(self.promises),
                self.state,
                set(self.accepted),
                [
                    Outcome(key, CHANGES[key][1], None if taken else ChangeRejectedError())
                    for key, taken in self.outcomes
                ],
            )
        return made

    def after(self, made):
        pending = tuple((waiting.key, waiting.change) for waiting in made.pending)
        fields = {"highest": made.highest_round, "pending": pending}
        round = made.round
        if round is None:
            return attrs.evolve(
                self,
                **fields,
                proposal_number=None,
                base=(),
                round_known=(),
                promises=(),
                state=None,
                accepted=(),
                outcomes=(),
            )
        if round.proposed is not None:
            round.promises = {}  # they have been worked into the state
        return attrs.evolve(
            self,
            **fields,
            proposal_number=round.proposal_number,
            base=round.base,
            round_known=round.known,
            promises=tuple(sorted(round.promises.items(), key=lambda item: item[0])),
            state=round.proposed,
            accepted=tuple(sorted(round.accepted)),
            outcomes=tuple((outcome.key, outcome.rejection is None) for outcome in round.outcomes),
        )

    def learn(self, proposal_number, state):
        if proposal_number <= self.known[0]:
            return self
        highest = max(self.highest, proposal_number.round)
        return attrs.evolve(
            self, known=NumberedState(proposal_number, state), decided_epoch=state.epoch, highest=highest
        )


@cache
def begin(begun, name, vote):
    """A proposer takes up a change, or begins again; (proposer, PhaseRequest)."""
    made = begun.proposer()
    if name is not None:
        made.submit(0.0, name, CHANGES[name][1])
    made.round, made.retry_at = None, 0.0
    held = NumberedState(vote.accepted, vote.state)
    known = max([begun.known] + ([held] if held[0] is not None else []), key=lambda pair: pair[0])
    ((_, message),) = made.due(0.0, known)
    return begun.after(made), PhaseRequest(message.proposal_number)


@cache
def vote_on(vote, request, early):
    """(what is answered before the vote is stored, what after, the vote then). `early`: a mutant answers before."""
    acceptor = Acceptor(vote, grants_again=True)
    outcomes = acceptor.handle(Request(0, request.proposal_number, request.state is not None, request.state))
    before = [answer(vote.member, outcome) for outcome in outcomes if not isinstance(outcome, StoreVote)]
    after = []
    for outcome in [outcome for outcome in outcomes if isinstance(outcome, StoreVote)]:
        after = [answer(vote.member, granted) for granted in acceptor.stored(outcome.number, True)]
    return (before + after, [], acceptor.vote) if early else (before, after, acceptor.vote)


def answer(member, outcome):
    """The kind of the message and its fields."""
    if isinstance(outcome, Refused):
        return Refusal, outcome.request.proposal_number, outcome.promised
    assert isinstance(outcome, Granted)
    if outcome.request.accept:
        return Accepted, member, outcome.request.proposal_number
    return Promise, member, outcome.request.proposal_number, outcome.before.accepted, outcome.before.state


@cache
def receive(begun, fields):
    """(proposer, PhaseRequest that it sends or None, (proposal_number, state, confirmed changes) that it decided or None)."""
    made, sent, decided, (kind, *fields) = begun.proposer(), None, None, fields
    if kind is Promise:
        requests = [message for _, message in made.promised(Promise(*fields)) if type(message) is Accept]
        sent = PhaseRequest(requests[0].proposal_number, requests[0].state) if requests else None
    elif kind is Accepted:
        decided = made.accepted(Accepted(*fields))
    else:
        made.refused(0.0, Refusal(*fields))
    after = begun.after(made)
    if decided is None:
        return after, sent, None
    confirmed = frozenset(outcome.key for outcome in decided.outcomes if outcome.rejection is None)
    return (
        after.learn(decided.proposal_number, decided.state),
        sent,
        (decided.proposal_number, decided.state, confirmed),
    )


@attrs.frozen(cache_hash=True, slots=False)
class World:
    """`sent`: (proposer, PhaseRequest) that may yet arrive; `voted`: (proposal_number, state, member) of all acceptances there ever were;
    `confirmed`: changes that a proposer fields to be decided; the rest counts what may still happen."""

    votes: tuple
    proposers: tuple
    sent: frozenset = frozenset()
    voted: frozenset = frozenset()
    confirmed: frozenset = frozenset()
    begun: frozenset = frozenset()
    wipes: int = 1
    losses: int = 1
    crashes: int = 1
    again: int = 1


class Explorer:
    """Visits every state of the model. The options are the mutants: `early` answers before the vote is stored, `reuses`
    gives a wiped disk its former identity, `hasty` finishes a replacement that is only accepted."""

    def __init__(self, names="x y replace finish", early=False, reuses=False, hasty=False, most=3_000_000, **counts):
        self.names = names.split()
        self.early, self.reuses, self.hasty, self.most = early, reuses, hasty, most
        self.states, self.counts = 0, counts

    def run(self):
        """What goes wrong first, or None once all was seen."""
        for cached in begin, vote_on, receive, chosen:
            cached.cache_clear()
        votes = [Vote(member, None, START, FOUNDED) for member in FOUNDED.voters]
        first = World((*votes, Vote(SPARE)), (Begun(1), Begun(2)), **self.counts)
        seen, waiting = {first}, [first]
        while waiting:
            for after in self.follow(waiting.pop()):
                if after not in seen:
                    wrong = self.wrong(after)
                    if wrong:
                        self.states = len(seen)
                        return wrong
                    if len(seen) >= self.most:
                        raise RuntimeError("more states than allowed")
                    seen.add(after)
                    waiting.append(after)
        self.states = len(seen)
        return None

    def follow(self, world):
        yield from self._begin(world)
        for sender, request in world.sent:
            for machine in self._requested_machines(world, sender, request):
                yield from self._arrive(world, sender, request, machine)
        for proposal_number, state in chosen(world.voted):
            for number, proposer in enumerate(world.proposers):
                if (
                    proposer.proposal_number is None
                    and proposal_number > proposer.known[0]
                    and len(world.begun) < len(self.names)
                ):
                    yield evolve(world, number, proposer.learn(proposal_number, state))
        if world.wipes:
            for machine in range(3):
                yield self._wipe(world, machine)

    def _requested_machines(self, world, sender, request):
        """The one that waits is asked where it votes."""
        known = world.proposers[sender].round_known
        state = request.state if request.state is not None else known[1] if known else FOUNDED
        return range(4) if SPARE in state.electorate else range(3)

    def _begin(self, world):
        for name, (owner, change) in CHANGES.items():
            if name in world.begun or name not in self.names:
                continue
            for number in (0, 1) if owner is None else (owner,):
                proposer = world.proposers[number]
                if proposer.proposal_number is None and self._may_begin(world, name, proposer, world.votes[number]):
                    yield self._sent(world, number, *begin(proposer, name, world.votes[number]), name)
        for number, proposer in enumerate(world.proposers):
            if world.again and proposer.pending:
                after = evolve(world, again=world.again - 1)
                yield self._sent(after, number, *begin(proposer, None, world.votes[number]))

    def _may_begin(self, world, name, proposer, vote):
        state = proposer.known[1]
        if self.hasty and vote.state is not None and vote.state.epoch > state.epoch:
            state = vote.state
        return bool(state.previous) if name == "finish" else name != "replace" or state.epoch == 1

    def _sent(self, world, number, proposer, request, name=None):
        if self.hasty and name == "finish":
            proposer = attrs.evolve(proposer, decided_epoch=2)
        begun = world.begun | {name} if name else world.begun
        return evolve(world, number, proposer, sent=self._with_request(world, number, request), begun=begun)

    @staticmethod
    def _with_request(world, number, request):
        """Asks for a promise that are followed by others are forgotten."""
        return frozenset(old for old in world.sent if old[0] != number or old[1].state is not None) | {
            (number, request)
        }

    def _arrive(self, world, sender, request, machine):
        vote = world.votes[machine]
        before, after, made = vote_on(vote, request, self.early)
        kinds = {fields[0] for fields in before + after}
        if Refusal in kinds:
            return  # its proposer goes on as if it were lost
        stored = evolve(world, votes=(*world.votes[:machine], made, *world.votes[machine + 1 :]))
        if Accepted in kinds:
            stored = evolve(stored, voted=world.voted | {(request.proposal_number, request.state, vote.member)})
        yield self._received(stored, sender, before + after)
        if world.losses and made != vote:
            yield evolve(stored, losses=world.losses - 1)
        if world.crashes and self.early and made != vote:
            # Power is lost before the vote is on the disk.
            yield self._received(evolve(stored, votes=world.votes, crashes=world.crashes - 1), sender, before)

    def _received(self, world, sender, answers):
        for fields in answers:
            proposer, request, decided = receive(world.proposers[sender], fields)
            world = evolve(world, sender, proposer)
            if request is not None:
                world = evolve(world, sent=self._with_request(world, sender, request))
            if decided is not None:
                proposal_number, state, confirmed = decided
                voted = {(proposal_number, state, member) for member in state.electorate}
                world = evolve(world, voted=world.voted | voted, confirmed=world.confirmed | confirmed)
        return world

    def _wipe(self, world, machine):
        """The disk is empty; a proposer on that machine begins anew and knows nothing."""
        member = world.votes[machine].member
        made = Vote(member if self.reuses else Member(member.ip, 9))
        after = evolve(world, votes=(*world.votes[:machine], made, *world.votes[machine + 1 :]), wipes=0)
        if machine < len(world.proposers):
            fresh = Begun(world.proposers[machine].incarnation + 10, known=NumberedState(START, FOUNDED))
            after = evolve(after, machine, fresh)
        return after

    @staticmethod
    def wrong(world):
        """States that were decided follow each other, and one number was confirmed for one content."""
        states = sorted(chosen(world.voted), key=lambda pair: pair[0])
        for (_, one), (_, other) in zip(states, states[1:]):
            if other.revision < one.revision or other.epoch < one.epoch:
                return f"{other} after {one}"
            if one.configuration not in (NO_CONFIGURATION, other.configuration):
                return f"{other.configuration} after {one.configuration}"
            if other.revision == one.revision and other != one:
                return f"two states of revision {one.revision}"
        if {"x", "y"} <= world.confirmed:
            return "two contents were confirmed under one number"
        return None


@cache
def chosen(voted):
    """(proposal_number, state) of all that a majority of each group that has to agree has accepted."""
    members = {}
    for proposal_number, state, member in voted:
        members.setdefault((proposal_number, state), set()).add(member)
    return tuple(pair for pair, those in members.items() if pair[1].has_quorum(those))


def evolve(world, number=None, proposer=None, **fields):
    if proposer is not None:
        fields["proposers"] = (*world.proposers[:number], proposer, *world.proposers[number + 1 :])
    return attrs.evolve(world, **fields)
