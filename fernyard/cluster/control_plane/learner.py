"""What one replica knows to be decided, and as of when it knows it to be the newest. Free of I/O; times are seconds."""

from collections import deque
from typing import NamedTuple

import attrs

from .peer_table import PeerTable
from .proposer import NumberedState, Proposer
from .replica_context import ReplicaContext
from .state import ConfigurationId, ControlState, ProposalNumber, Vote

SERVED_WITHIN = 1.0  # since a majority was in touch, within which the decided state is served
CATCH_UP_ROUND = 1.0  # what was decided so long ago is what a replica must have to count as caught up
MAX_LEARNED = 1024  # revisions whose times are remembered


@attrs.define
class DecidedState:
    """A decided state. `as_of`: when it was known to be the newest."""

    proposal_number: ProposalNumber
    state: ControlState
    as_of: float


class LearnedRevision(NamedTuple):
    """A revision, and when it was first known here to be decided."""

    at: float
    revision: int


class Learner:
    """Learns decisions from proposers, from other replicas, and from what a majority has on its disks."""

    def __init__(self, context: ReplicaContext, peers: PeerTable, proposer: Proposer) -> None:
        self.context, self.peers, self.proposer = context, peers, proposer
        self.began_at = context.now
        self.decided: DecidedState | None = None
        self._learned: deque[LearnedRevision] = deque(maxlen=MAX_LEARNED)
        self.published: ProposalNumber | None = None  # of the state whose configuration is at hand

    @property
    def state(self) -> ControlState | None:
        """The newest state known to be decided, or None."""
        return self.decided.state if self.decided is not None else None

    def learn(self, proposal_number: ProposalNumber, state: ControlState, as_of: float | None) -> None:
        """`state` is decided. `as_of`: the moment from which a majority was asked, None where another replica says so."""
        known = self.decided
        if known is None or proposal_number > known.proposal_number:
            never = self.began_at - SERVED_WITHIN
            self.decided = DecidedState(proposal_number, state, as_of if as_of is not None else never)
            self._learned.append(LearnedRevision(self.context.now, state.revision))
            self.proposer.observe(proposal_number)
            self.proposer.decided_epoch = state.epoch
        elif proposal_number == known.proposal_number and as_of is not None:
            known.as_of = max(known.as_of, as_of)

    def caught_up_from(self) -> int:
        """The newest revision that was decided a round ago or earlier: a replica that has it counts as caught up. Where all that is
        remembered is younger, the oldest of that."""
        limit = self.context.now - CATCH_UP_ROUND
        while len(self._learned) > 1 and self._learned[1].at <= limit:
            self._learned.popleft()
        return self._learned[0].revision if self._learned else 0

    def learn_from_votes(self, vote: Vote | None) -> None:
        """What a majority is known to have accepted under one number is decided, whoever proposed it."""
        if vote is None or vote.accepted is None or vote.state is None:
            return
        if self.decided is not None and vote.accepted <= self.decided.proposal_number:
            return
        if vote.state.has_quorum(self.peers.accepted_by(vote.accepted, vote), self.proposer.decided_epoch):
            self.learn(vote.accepted, vote.state, None)

    def confirmed_at(self, vote: Vote | None) -> float | None:
        """As of when a majority had accepted nothing newer than what is decided here, or None."""
        if self.decided is None:
            return None
        at = self.peers.confirmed_at(self.context.now, vote, self.decided.proposal_number, self.decided.state)
        return max(self.decided.as_of, at) if at is not None else self.decided.as_of

    def newest_known(self, vote: Vote | None) -> NumberedState | None:
        """The newest state known here, decided or only accepted by us; None: none."""
        known = []
        if self.decided is not None:
            known.append(NumberedState(self.decided.proposal_number, self.decided.state))
        if vote is not None and vote.accepted is not None and vote.state is not None:
            known.append(NumberedState(vote.accepted, vote.state))
        return max(known, key=lambda state: state.proposal_number, default=None)

    def has_unfinished(self, vote: Vote | None) -> bool:
        """Has anybody accepted something newer than what is decided here?"""
        decided = self.decided.proposal_number if self.decided is not None else None
        if decided is None and (vote is None or vote.accepted is None):
            return False  # nothing is known here that could be finished
        accepted = [peer.heartbeat.accepted for peer in self.peers.fresh(self.context.now)]
        if vote is not None:
            accepted.append(vote.accepted)
        return any(number is not None and (decided is None or number > decided) for number in accepted)

    def was_decided(self, id: ConfigurationId) -> bool:
        """Was that configuration decided, be it the newest or not?"""
        state = self.state
        return state is not None and (id == state.configuration or id in state.recent)

    def is_published(self) -> bool:
        """Is the configuration of the newest decided state at hand?"""
        return self.decided is not None and self.published == self.decided.proposal_number
