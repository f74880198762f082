"""The rules of one acceptor of a rewritable register by majority (CASPaxos, Rystsov 2018; the two phases are those of Paxos,
Lamport 1998). Free of I/O. The planners' current order and the control state of the whole system are both decided by it.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Generic, NamedTuple, Protocol, Self, TypeVar

MAX_WAITING = 64  # requests that wait for the disk


class Votable(Protocol):
    """What one acceptor has promised and accepted: an immutable value, compared by its content.

    `promised` and `accepted` are proposal numbers, or None. Proposal numbers are any ordered values that no two proposals
    share.
    """

    @property
    def promised(self) -> Any:
        """The highest proposal number that was promised."""

    @property
    def accepted(self) -> Any:
        """The proposal number of the value that was accepted last."""

    def promising(self, proposal_number: Any, /) -> Self:
        """The vote after a promise."""

    def accepting(self, proposal_number: Any, value: Any, /) -> Self:
        """The vote after `value` is accepted."""


VoteT = TypeVar("VoteT", bound=Votable)


@dataclass(frozen=True, slots=True)
class Request:
    """A proposer asks for a promise (`accept` is false), or that `value` is accepted. `sender`: whom to answer."""

    sender: Any
    proposal_number: Any
    accept: bool = False
    value: Any = None


@dataclass(frozen=True, slots=True)
class StoreVote(Generic[VoteT]):
    """To be stored durably; `Acceptor.stored` takes the number once it is, or once that has failed."""

    number: int
    vote: VoteT


@dataclass(frozen=True, slots=True)
class Granted(Generic[VoteT]):
    """To be answered now, because the vote is durable. `before`: the vote as it was when the request was judged."""

    request: Request
    before: VoteT


@dataclass(frozen=True, slots=True)
class Refused:
    """A higher proposal number was promised to another."""

    request: Request
    promised: Any


class Storing(NamedTuple):
    """The vote that is being stored. `request`: the one that it answers; None: it answers none."""

    number: int
    vote: Any
    request: Request | None


class Acceptor(Generic[VoteT]):
    """One voter. It judges one request at a time: a vote is durable before it is answered, and the next is judged on it."""

    def __init__(self, vote: VoteT | None, grants_again: bool = False) -> None:
        """`vote`: what is durable; None: nothing yet, no request is judged. `grants_again`: a request that the vote fulfils
        already is granted without storing it again, for proposers that ask again where an answer was lost."""
        self.vote, self.grants_again = vote, grants_again
        self.waiting: deque[Request] = deque()
        self.storing: Storing | None = None
        self.number = 0

    def handle(self, request: Request) -> list[StoreVote[VoteT] | Granted[VoteT] | Refused]:
        """Takes a request; returns what follows from it at once."""
        if self.vote is None or len(self.waiting) >= MAX_WAITING:
            return []
        self.waiting.append(request)
        return self._advance()

    def store(self, vote: VoteT, request: Request | None = None) -> StoreVote[VoteT]:
        """Stores a vote that no rule here made (a first one, one that joins again). One at a time."""
        self.number += 1
        self.storing = Storing(self.number, vote, request)
        return StoreVote(self.number, vote)

    def stored(self, number: int | None, succeeded: bool) -> list[StoreVote[VoteT] | Granted[VoteT] | Refused]:
        """The disk answered. A failed store leaves the vote as it was and answers nobody."""
        if self.storing is None or number != self.storing.number:
            return []
        _, vote, request = self.storing
        self.storing = None
        outcomes: list[StoreVote[VoteT] | Granted[VoteT] | Refused] = []
        if succeeded:
            # Only now: a vote that was answered and then forgotten could be given twice.
            before, self.vote = self.vote, vote
            if request is not None and before is not None:
                outcomes.append(Granted(request, before))
        return outcomes + self._advance()

    def values(self) -> list[Any]:
        """Values that may yet be accepted: what is being stored, and what waits for that."""
        values = [request.value for request in self.waiting if request.accept]
        if self.storing is not None and self.storing.request is not None:
            values.append(self.storing.request.value)
        return values

    def _advance(self) -> list[StoreVote[VoteT] | Granted[VoteT] | Refused]:
        outcomes: list[StoreVote[VoteT] | Granted[VoteT] | Refused] = []
        while self.waiting and self.storing is None and self.vote is not None:
            outcomes.append(self._judge(self.waiting.popleft(), self.vote))
        return outcomes

    def _judge(self, request: Request, vote: VoteT) -> StoreVote[VoteT] | Granted[VoteT] | Refused:
        if vote.promised is not None and request.proposal_number < vote.promised:
            return Refused(request, vote.promised)
        if request.accept:
            following = vote.accepting(request.proposal_number, request.value)
        else:
            following = vote.promising(request.proposal_number)
        if following == vote and self.grants_again:
            return Granted(request, vote)
        return self.store(following, request)


def newest(promises: Iterable[tuple[Any, Any]]) -> tuple[Any, Any]:
    """The (proposal number, value) with the highest number of what acceptors had accepted when they promised; (None, None)
    if none had accepted any."""
    accepted = [promise for promise in promises if promise[0] is not None]
    return max(accepted, key=lambda promise: promise[0], default=(None, None))
