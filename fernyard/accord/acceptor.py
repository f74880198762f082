"""The rules of one acceptor of a rewritable register by majority (CASPaxos, Rystsov 2018; the two phases are those of Paxos,
Lamport 1998). Free of I/O. The planners' standing order and the control state of the whole system both stand on it.

A vote is any frozen object with `promised` and `accepted` (ballots, or None) and two methods that give the vote that
follows: `promising(ballot)` and `accepting(ballot, value)`. Ballots are any ordered values that no two proposals share.
"""

from collections import deque
from dataclasses import dataclass

MOST_WAITING = 64  # requests that wait for the disk


@dataclass(frozen=True, slots=True)
class Request:
    """A proposer asks for a promise (`accept` False), or that `value` is accepted. `sender`: whom to answer."""

    sender: object
    ballot: object
    accept: bool = False
    value: object = None


@dataclass(frozen=True, slots=True)
class StoreVote:
    """To be stored durably; `Acceptor.stored` is told the number once it is, or that it failed."""

    number: int
    vote: object


@dataclass(frozen=True, slots=True)
class Granted:
    """To be answered now, because the vote is durable. `before`: the vote as it was when the request was judged."""

    request: Request
    before: object


@dataclass(frozen=True, slots=True)
class Refused:
    """A higher ballot was promised to another."""

    request: Request
    promised: object


class Acceptor:
    """One voter. Votes one request at a time: a vote is durable before it is answered, and the next is judged on it."""

    def __init__(self, vote, grants_again=False):
        """`vote`: what is durable; None: nothing yet, no request is judged. `grants_again`: a request that the vote fulfils
        already is granted without storing it anew, for proposers that ask again where an answer was lost."""
        self.vote, self.grants_again, self.waiting = vote, grants_again, deque()
        self.storing, self.number = None, 0

    def handle(self, request):
        """Takes a request; returns what follows from it at once."""
        if self.vote is None or len(self.waiting) >= MOST_WAITING:
            return []
        self.waiting.append(request)
        return self._advance()

    def store(self, vote, request=None):
        """Stores a vote that no rule here made (a first one, one that joins again). One at a time."""
        self.number += 1
        self.storing = self.number, vote, request
        return StoreVote(self.number, vote)

    def stored(self, number, well):
        """The disk answered. A failed store leaves the vote as it was and answers nobody."""
        if self.storing is None or number != self.storing[0]:
            return []
        _, vote, request = self.storing
        self.storing = None
        outcomes = []
        if well:
            # Only now: a vote that was answered and then forgotten could be given twice.
            before, self.vote = self.vote, vote
            if request is not None:
                outcomes.append(Granted(request, before))
        return outcomes + self._advance()

    def values(self):
        """Values that may yet be voted for: what is being stored, and what waits for that."""
        waiting = [request.value for request in self.waiting if request.accept]
        return [*waiting, self.storing[2].value] if self.storing and self.storing[2] is not None else waiting

    def _advance(self):
        outcomes = []
        while self.waiting and self.storing is None:
            request = self.waiting.popleft()
            outcomes.append(self._judge(request))
        return outcomes

    def _judge(self, request):
        vote = self.vote
        if vote.promised is not None and request.ballot < vote.promised:
            return Refused(request, vote.promised)
        if request.accept:
            following = vote.accepting(request.ballot, request.value)
        else:
            following = vote.promising(request.ballot)
        if following == vote and self.grants_again:
            return Granted(request, vote)
        return self.store(following, request)


def newest(promises):
    """The (ballot, value) of the highest ballot among what acceptors promised with; (None, None) if none holds any."""
    held = [promise for promise in promises if promise[0] is not None]
    return max(held, key=lambda promise: promise[0], default=(None, None))
