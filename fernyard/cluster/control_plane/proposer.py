"""One proposer of the control state.

It asks a majority what they have accepted (phase 1), applies the pending changes to the newest of that, and asks a majority to
accept the result (phase 2). Free of I/O. Nothing here depends on a clock for safety: times, in seconds, only say when to ask
again and when to give a round up.
"""

from collections.abc import Collection
from random import Random
from typing import NamedTuple

import attrs
import msgspec

from ...accord.acceptor import newest
from .legacy import merge_unnumbered
from .messages import Accept, Accepted, Prepare, Promise, Refusal
from .state import AnyChange, ChangeRejectedError, ControlState, Member, ProposalNumber

RESEND_INTERVAL = 0.2  # until voters that did not answer are asked again
ROUND_TIMEOUT = 1.2  # after which a round is given up
MIN_BACKOFF, MAX_BACKOFF = 0.03, 0.5  # after a failed round, randomized, doubling
CHANGE_TIMEOUT = 3.0  # after which a change that found no majority is dropped
MAX_PENDING = 64


class ChangeKey(msgspec.Struct, frozen=True):
    """Base of keys that name a change to whoever submitted it. Keys of different classes are never equal."""


class NumberedState(NamedTuple):
    """A state and the proposal number under which it was accepted or decided."""

    proposal_number: ProposalNumber
    state: ControlState


class Multicast(NamedTuple):
    """A message to several members."""

    members: Collection[Member]
    message: Prepare | Accept


@attrs.define
class PendingChange:
    """A change that waits to be decided, until `deadline` at most."""

    key: ChangeKey
    change: AnyChange
    deadline: float


@attrs.define
class Outcome:
    """What became of a change: decided, or rejected by the state to which it was applied (`rejection`)."""

    key: ChangeKey
    change: AnyChange
    rejection: ChangeRejectedError | None = None


@attrs.define
class Decided:
    """A majority accepted `state` in a round that began at `began_at`."""

    proposal_number: ProposalNumber
    state: ControlState
    began_at: float
    outcomes: list[Outcome]


class AcceptedBefore(NamedTuple):
    """What a voter had accepted when it promised; None: nothing."""

    proposal_number: ProposalNumber | None
    state: ControlState | None


@attrs.define
class Round:
    """One attempt.

    `base`: the newest state that was known before; `known`: that or what a voter promised with, whose electorate is asked;
    `proposed`: what voters are asked to accept, None until a majority has promised.
    """

    proposal_number: ProposalNumber
    began_at: float
    base: NumberedState
    known: NumberedState
    resend_at: float
    promises: dict[Member, AcceptedBefore] = attrs.Factory(dict)
    proposed: ControlState | None = None
    accepted: set[Member] = attrs.Factory(set)
    outcomes: list[Outcome] = attrs.Factory(list)


class Proposer:
    """Proposes pending changes, several in one round, one round at a time."""

    def __init__(self, incarnation: int, random: Random) -> None:
        """`incarnation`: a number that no other run of any process has."""
        self.incarnation, self.random = incarnation, random
        self.highest_round = 0
        self.round: Round | None = None
        self.pending: list[PendingChange] = []
        self.backoff, self.retry_at = MIN_BACKOFF, 0.0
        self.decided_epoch = 0  # the last change of members that is known to be decided

    def submit(self, now: float, key: ChangeKey, change: AnyChange, timeout: float = CHANGE_TIMEOUT) -> bool:
        """Adds a change, unless one with that key is pending already; false where too many are pending."""
        if any(pending.key == key for pending in self.pending):
            return True
        if len(self.pending) >= MAX_PENDING:
            return False
        self.pending.append(PendingChange(key, change, now + timeout))
        return True

    def withdraw(self, key: ChangeKey) -> None:
        """That change is not needed any more, or another proposer proposes the like."""
        self.pending = [pending for pending in self.pending if pending.key != key]

    def observe(self, proposal_number: ProposalNumber | None) -> None:
        """Another's proposal number was seen: ours must be higher."""
        if proposal_number is not None:
            self.highest_round = max(self.highest_round, proposal_number.round)

    def expire(self, now: float) -> None:
        """Gives up what is too old. To be called before anything that came is looked at, as the process may have been
        suspended meanwhile."""
        self.pending = [pending for pending in self.pending if now < pending.deadline]
        if self.round is not None and now - self.round.began_at > ROUND_TIMEOUT:
            self._fail(now)

    def is_idle(self) -> bool:
        """Is there nothing to propose?"""
        return self.round is None and not self.pending

    def due(self, now: float, known: NumberedState | None) -> list[Multicast]:
        """What to send now. `known`: the newest state known here, or None."""
        if self.round is not None:
            return self._resend(now, self.round)
        if not self.pending or now < self.retry_at or known is None:
            return []
        self.highest_round += 1
        number = ProposalNumber(self.highest_round, self.incarnation)
        self.round = Round(number, now, known, known, now + RESEND_INTERVAL)
        return [Multicast(known.state.electorate, Prepare(number))]

    @staticmethod
    def _resend(now: float, current: Round) -> list[Multicast]:
        if now < current.resend_at:
            return []
        current.resend_at = now + RESEND_INTERVAL
        if current.proposed is None:
            missing = [member for member in current.known.state.electorate if member not in current.promises]
            return [Multicast(missing, Prepare(current.proposal_number))]
        missing = [member for member in current.proposed.electorate if member not in current.accepted]
        return [Multicast(missing, Accept(current.proposal_number, current.proposed))]

    def promised(self, message: Promise) -> list[Multicast]:
        """A voter promised. Once a majority has, the result asks voters to accept what follows."""
        current = self.round
        if current is None or message.proposal_number != current.proposal_number or current.proposed is not None:
            return []
        current.promises[message.member] = AcceptedBefore(message.accepted, message.state)
        asked, current.known = current.known.state, self._newest(current)
        state = current.known.state
        if not state.has_quorum(current.promises, self.decided_epoch):
            # Where the members are others than we knew, theirs is the majority that counts, and they are asked as well.
            new_members = [member for member in state.electorate if member not in asked.electorate]
            return [Multicast(new_members, Prepare(current.proposal_number))] if new_members else []
        return self._propose(current, state)

    @staticmethod
    def _newest(current: Round) -> NumberedState:
        """The newest state of those that voters had accepted and that was known before."""
        accepted = [
            NumberedState(number, state)
            for number, state in current.promises.values()
            if number is not None and state is not None
        ]
        accepted.append(current.base)
        proposal_number, state = newest(accepted)
        if proposal_number.round == 0:
            # Nothing was ever decided under a proposal number: what the disks hold is from before the first round.
            return NumberedState(proposal_number, merge_unnumbered([state for _, state in accepted]))
        return NumberedState(proposal_number, state)

    def _propose(self, current: Round, state: ControlState) -> list[Multicast]:
        for pending in self.pending:
            try:
                state = pending.change.apply(state)
                current.outcomes.append(Outcome(pending.key, pending.change))
            except ChangeRejectedError as rejection:
                current.outcomes.append(Outcome(pending.key, pending.change, rejection))
        current.proposed = state
        current.resend_at = current.began_at + 2 * RESEND_INTERVAL
        return [Multicast(state.electorate, Accept(current.proposal_number, state))]

    def accepted(self, message: Accepted) -> Decided | None:
        """A voter accepted. `Decided` once a majority has."""
        current = self.round
        if current is None or message.proposal_number != current.proposal_number or current.proposed is None:
            return None
        current.accepted.add(message.member)
        states = current.proposed, current.known.state
        if not all(state.has_quorum(current.accepted, self.decided_epoch) for state in states):
            return None
        self.round, self.backoff = None, MIN_BACKOFF
        done = [outcome.key for outcome in current.outcomes]
        self.pending = [pending for pending in self.pending if pending.key not in done]
        return Decided(current.proposal_number, current.proposed, current.began_at, current.outcomes)

    def refused(self, now: float, message: Refusal) -> None:
        """A voter has promised a higher proposal number."""
        self.observe(message.promised)
        if self.round is not None and message.proposal_number == self.round.proposal_number:
            self._fail(now)

    def _fail(self, now: float) -> None:
        """Another proposes as well, or no majority answers: again after a backoff of our own."""
        self.round = None
        self.retry_at = now + self.backoff * (0.5 + self.random.random())
        self.backoff = min(MAX_BACKOFF, 2 * self.backoff)
