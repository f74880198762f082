"""One proposer of the control state: it asks a majority what they hold, applies the changes that wait to the newest of that,
and asks a majority to accept the result. Free of I/O. Nothing here depends on a clock for safety: times only say when to
ask again and when to give a round up.
"""

import attrs

from ...accord.acceptor import newest
from .legacy import merge_unballoted
from .messages import Accept, Prepare
from .state import ChangeRejectedError, ProposalNumber

ASK_AGAIN = 0.2  # seconds until voters that did not answer are asked again
ROUND = 1.2  # seconds after which a round is given up
PAUSE, LONGEST_PAUSE = 0.03, 0.5  # after a refused round, drawn by chance up to it, doubling
PATIENCE = 3.0  # seconds after which a change that found no majority is dropped
MOST_PENDING = 64


@attrs.define
class Pending:
    """A change that waits to be decided, until `until` at most. `key` names it to whoever submitted it."""

    key: object
    change: object
    until: float


@attrs.define
class Outcome:
    """What became of a change: decided, or rejected by the state that it met (`rejection`)."""

    key: object
    rejection: ChangeRejectedError | None = None


@attrs.define
class Decided:
    """`state` was decided under `ballot` in a round that began at `at`."""

    ballot: ProposalNumber
    state: object
    at: float
    outcomes: list[Outcome]


@attrs.define
class Round:
    """One try. `base`: the newest (ballot, state) that was known before; `known`: that or what a voter told, whose
    electorate is asked; `state`: what was proposed, None until a majority promised."""

    ballot: ProposalNumber
    at: float
    base: tuple
    known: tuple
    resend_at: float
    promises: dict = attrs.Factory(dict)
    state: object = None
    accepted: set = attrs.Factory(set)
    outcomes: list = attrs.Factory(list)


class Proposer:
    def __init__(self, incarnation, random):
        """`incarnation`: a number that no other run of any process has."""
        self.incarnation, self.random = incarnation, random
        self.highest, self.round, self.pending = 0, None, []
        self.pause, self.retry_at = PAUSE, 0.0
        self.decided_epoch = 0  # the last change of members that is known to be decided

    def submit(self, now, key, change, patience=PATIENCE):
        """Adds a change; one with a key that waits already changes nothing. False where too many wait."""
        if any(pending.key == key for pending in self.pending):
            return True
        if len(self.pending) >= MOST_PENDING:
            return False
        self.pending.append(Pending(key, change, now + patience))
        return True

    def withdraw(self, key):
        """That change is not needed any more, or another proposes the like."""
        self.pending = [pending for pending in self.pending if pending.key != key]

    def heard_of(self, ballot):
        """Another's ballot: ours must be higher."""
        if ballot is not None:
            self.highest = max(self.highest, ballot.round)

    def expire(self, now):
        """Gives up what is too old; to be called before anything that came is looked at, as the process may have stood
        still meanwhile."""
        self.pending = [pending for pending in self.pending if now < pending.until]
        if self.round is not None and now - self.round.at > ROUND:
            self._fail(now)

    def due(self, now, known):
        """(members, message) pairs to send now. `known`: the newest (ballot, state) known here, or None."""
        if self.round is not None:
            return self._resend(now)
        if not self.pending or now < self.retry_at or known is None:
            return []
        self.highest += 1
        self.round = Round(ProposalNumber(self.highest, self.incarnation), now, known, known, now + ASK_AGAIN)
        return [(known[1].electorate, Prepare(self.round.ballot))]

    def _resend(self, now):
        current = self.round
        if now < current.resend_at:
            return []
        current.resend_at = now + ASK_AGAIN
        if current.state is None:
            silent = [member for member in current.known[1].electorate if member not in current.promises]
            return [(silent, Prepare(current.ballot))]
        silent = [member for member in current.state.electorate if member not in current.accepted]
        return [(silent, Accept(current.ballot, current.state))]

    def promised(self, message):
        """A voter promised. Once a majority has, the messages that propose what follows."""
        current = self.round
        if current is None or message.ballot != current.ballot or current.state is not None:
            return []
        current.promises[message.member] = (message.accepted, message.state)
        before, current.known = current.known[1], self._newest(current)
        state = current.known[1]
        if not state.has_quorum(current.promises, self.decided_epoch):
            # Where the members are others than we knew, theirs is the majority that counts, and they are asked as well.
            new = [member for member in state.electorate if member not in before.electorate]
            return [(new, Prepare(current.ballot))] if new else []
        return self._propose(current, state)

    def _newest(self, current):
        held = [promise for promise in (*current.promises.values(), current.base) if promise[0] is not None]
        ballot, state = newest(held)
        if ballot.round == 0:
            # Nothing was ever decided by ballots: what the disks hold is from before the first round.
            return ballot, merge_unballoted([state for _, state in held])
        return ballot, state

    def _propose(self, current, state):
        for pending in self.pending:
            try:
                state = pending.change.apply(state)
                current.outcomes.append(Outcome(pending.key))
            except ChangeRejectedError as rejection:
                current.outcomes.append(Outcome(pending.key, rejection))
        current.state = state
        current.resend_at = current.at + 2 * ASK_AGAIN
        return [(state.electorate, Accept(current.ballot, state))]

    def accepted(self, message):
        """A voter accepted. `Decided` once a majority has, else None."""
        current = self.round
        if current is None or message.ballot != current.ballot or current.state is None:
            return None
        current.accepted.add(message.member)
        states = current.state, current.known[1]
        if not all(state.has_quorum(current.accepted, self.decided_epoch) for state in states):
            return None
        self.round, self.pause = None, PAUSE
        done = {outcome.key for outcome in current.outcomes}
        self.pending = [pending for pending in self.pending if pending.key not in done]
        return Decided(current.ballot, current.state, current.at, current.outcomes)

    def refused(self, now, message):
        self.heard_of(message.promised)
        if self.round is not None and message.ballot == self.round.ballot:
            self._fail(now)

    def _fail(self, now):
        """Another proposes as well, or no majority answers: again after a pause of our own."""
        self.round = None
        self.retry_at = now + self.pause * (0.5 + self.random.random())
        self.pause = min(LONGEST_PAUSE, 2 * self.pause)
