"""The vote of one replica: a vote is durable before it is answered, and is given only for a state whose configuration is on
our disk, so that a majority has what is decided. Free of I/O.

The rules of voting are those of `accord.acceptor`, which the planners use as well.
"""

from collections.abc import Iterable

import attrs
import msgspec

from ...accord.acceptor import Acceptor, Granted, Refused, Request, StoreVote
from .bodies import BodyCache
from .commands import EraseArea, StoreArea
from .legacy import LEGACY_AREAS
from .messages import Accept, Accepted, Prepare, Promise, Refusal
from .replica_context import ReplicaContext
from .state import NO_CONFIGURATION, ControlState, Vote

VOTE_AREA = "vote"  # of the disk
FIRST_VOTE_RETRY = 0.3  # seconds after the disk refused the first vote


@attrs.frozen
class DeferredAccept:
    """A request to accept a state whose configuration is not on our disk yet."""

    ip: str
    message: Accept


class Voter:
    """Answers `Prepare` and `Accept`."""

    def __init__(self, context: ReplicaContext, first_vote: Vote | None, bodies: BodyCache) -> None:
        """`first_vote`: from the disk or made for a first start; None: this machine does not vote."""
        self.context, self.bodies = context, bodies
        self.first_vote, self._first_vote_at = first_vote, context.now
        self.acceptor: Acceptor[Vote] = Acceptor(None, grants_again=True)
        self.deferred: DeferredAccept | None = None
        self._storing_number: int | None = None

    @property
    def vote(self) -> Vote | None:
        """Our vote as it is on disk, or None."""
        return self.acceptor.vote

    def prepare(self, ip: str, message: Prepare) -> None:
        """A proposer asks for a promise."""
        self._execute(self.acceptor.handle(Request(ip, message.proposal_number)))

    def accept(self, ip: str, message: Accept) -> None:
        """A proposer asks for a vote."""
        if self.bodies.is_stored(message.state.configuration):
            self._execute(self.acceptor.handle(Request(ip, message.proposal_number, True, message.state)))
        elif self.deferred is None or self.deferred.message.proposal_number <= message.proposal_number:
            self.deferred = DeferredAccept(ip, message)

    def take_ready_deferred(self) -> DeferredAccept | None:
        """The deferred request, once the configuration that it waits for is on disk."""
        deferred = self.deferred
        if deferred is None or not self.bodies.is_stored(deferred.message.state.configuration):
            return None
        self.deferred = None
        return deferred

    def store_first_vote(self) -> None:
        """Nothing is voted before it is on disk who we are."""
        vote, context = self.first_vote, self.context
        if vote is None or self.vote is not None or self.acceptor.storing is not None:
            return
        if context.now < self._first_vote_at:
            return
        # A configuration that was lost since is fetched as any other: nobody else might have it any more.
        id = vote.state.configuration if vote.state is not None else NO_CONFIGURATION
        if self.bodies.is_stored(id) or self.bodies.content(id) is None:
            self._execute([self.acceptor.store(vote)])

    def on_stored(self, succeeded: bool) -> None:
        """The disk stored the vote, or failed to."""
        is_first = self.vote is None
        self._execute(self.acceptor.stored(self._storing_number, succeeded))
        if is_first and succeeded:
            for area in LEGACY_AREAS:
                self.context.execute(EraseArea(area))
        elif is_first:
            self._first_vote_at = self.context.now + FIRST_VOTE_RETRY

    def referenced_states(self) -> list[ControlState]:
        """The states that our vote is for, or may soon be for."""
        states = [self.vote.state if self.vote is not None else None]
        states += [self.first_vote.state if self.first_vote is not None and self.vote is None else None]
        states += [self.deferred.message.state if self.deferred is not None else None]
        states += self.acceptor.values()
        return [state for state in states if state is not None]

    def _execute(self, outcomes: Iterable[StoreVote[Vote] | Granted[Vote] | Refused]) -> None:
        for outcome in outcomes:
            match outcome:
                case StoreVote():
                    self._storing_number = outcome.number
                    self.context.execute(StoreArea(VOTE_AREA, msgspec.msgpack.encode(outcome.vote)))
                case Granted():
                    self.context.send(outcome.request.sender, self._answer(outcome))
                case Refused():
                    refusal = Refusal(outcome.request.proposal_number, outcome.promised)
                    self.context.send(outcome.request.sender, refusal)

    def _answer(self, granted: Granted[Vote]) -> Accepted | Promise:
        request, before = granted.request, granted.before
        if request.accept:
            return Accepted(self.context.member, request.proposal_number)
        return Promise(self.context.member, request.proposal_number, before.accepted, before.state)
