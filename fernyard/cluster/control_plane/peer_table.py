"""What the other replicas report in their heartbeats, and what follows from it: whether a majority is in touch, as of when,
and what it has accepted. Free of I/O; times are seconds.

A heartbeat counts from the moment at which the heartbeat that it acknowledges was sent, by this replica's own steady clock. So
a replica whose process was suspended finds all its contacts as old as they are.
"""

from collections.abc import Mapping

import attrs

from .messages import ReplicaHeartbeat
from .state import ControlState, Member, ProposalNumber, Vote

FRESH = 1.0  # within which a heartbeat shows that a replica is there
KNOWN = 3.0  # for which a replica is named to others after its last heartbeat
FORGOTTEN = 30.0
SENT_TIMES_RETENTION = 5.0
LEASE_HOLDER_TIMEOUT = 0.7  # since the heartbeat of the lease holder


@attrs.define
class Peer:
    """Another replica.

    `received_at`: when its last heartbeat came. `confirmed_at`: when the heartbeat of ours that it acknowledges was sent;
    None: it has acknowledged none yet.
    """

    heartbeat: ReplicaHeartbeat
    received_at: float
    confirmed_at: float | None = None

    @property
    def member(self) -> Member:
        """Who it is."""
        return self.heartbeat.member


class PeerTable:
    """The other replicas, by ip."""

    def __init__(self, incarnation: int) -> None:
        """`incarnation`: ours."""
        self.incarnation = incarnation
        self.peers: dict[str, Peer] = {}
        self.sequence = 0
        self._sent_at: dict[int, float] = {}

    def next_sequence(self, now: float) -> int:
        """The sequence number of heartbeats sent now."""
        self.sequence += 1
        self._sent_at[self.sequence] = now
        for sequence in [sequence for sequence, at in self._sent_at.items() if now - at > SENT_TIMES_RETENTION]:
            del self._sent_at[sequence]
        return self.sequence

    def sent_within(self, now: float, seconds: float, incarnation: int, sequence: int) -> bool:
        """Was that heartbeat of ours sent so few seconds ago? A message that acknowledges it can't be older."""
        return (
            incarnation == self.incarnation and now - self._sent_at.get(sequence, now - SENT_TIMES_RETENTION) <= seconds
        )

    def record_heartbeat(self, now: float, heartbeat: ReplicaHeartbeat) -> bool:
        """False for one that was overtaken on its way by a later one of the same incarnation: sequences and accepted
        proposal numbers only grow."""
        ip = heartbeat.member.ip
        known = self.peers.get(ip)
        confirmed_at = None
        if heartbeat.acknowledged_incarnation == self.incarnation:
            confirmed_at = self._sent_at.get(heartbeat.acknowledged)
        if known is not None and known.heartbeat.incarnation == heartbeat.incarnation:
            if _order(heartbeat) < _order(known.heartbeat):
                return False
            if confirmed_at is None:
                confirmed_at = known.confirmed_at
        self.peers[ip] = Peer(heartbeat, now, confirmed_at)
        return True

    def forget_silent(self, now: float) -> None:
        """Drops peers without a heartbeat for `FORGOTTEN`."""
        for ip in [ip for ip, peer in self.peers.items() if now - peer.received_at > FORGOTTEN]:
            del self.peers[ip]

    def fresh(self, now: float) -> list[Peer]:
        """Peers that are there."""
        return [peer for peer in self.peers.values() if now - peer.received_at <= FRESH]

    def known(self, now: float) -> list[Peer]:
        """Peers that may be named to others."""
        return [peer for peer in self.peers.values() if now - peer.received_at <= KNOWN]

    def lease_holder(self, now: float) -> str | None:
        """The ip of a peer that holds the lease, as it reported of late."""
        holders = [peer for peer in self.peers.values() if peer.heartbeat.holds_lease]
        return next((peer.member.ip for peer in holders if now - peer.received_at <= LEASE_HOLDER_TIMEOUT), None)

    def silent_for(self, now: float, member: Member, since: float) -> float:
        """Seconds since the last heartbeat of that member, with that disk; counted from `since` where there was none."""
        peer = self.peers.get(member.ip)
        received_at = peer.received_at if peer is not None and peer.member == member else since
        return now - max(received_at, since)

    def confirmed_at(
        self, now: float, own_vote: Vote | None, proposal_number: ProposalNumber, state: ControlState
    ) -> float | None:
        """The latest moment as of which a majority had accepted nothing newer than `state`, which was decided under
        `proposal_number`; or None."""
        times: dict[Member, float] = {}
        if own_vote is not None and (own_vote.accepted is None or own_vote.accepted <= proposal_number):
            times[own_vote.member] = now
        for peer in self.peers.values():
            accepted = peer.heartbeat.accepted
            nothing_newer = accepted is None or accepted <= proposal_number
            if peer.confirmed_at is not None and peer.heartbeat.votes and nothing_newer:
                times[peer.member] = peer.confirmed_at
        return _time_of_quorum(times, state)

    def accepted_by(self, proposal_number: ProposalNumber, own_vote: Vote | None) -> set[Member]:
        """The members known to have accepted under exactly that number."""
        members = {peer.member for peer in self.peers.values() if peer.heartbeat.accepted == proposal_number}
        if own_vote is not None and own_vote.accepted == proposal_number:
            members.add(own_vote.member)
        return members


def _time_of_quorum(times: Mapping[Member, float], state: ControlState) -> float | None:
    """The latest time at or after which a majority confirmed; None: no majority did."""
    confirmed = set()
    for member, at in sorted(times.items(), key=lambda item: -item[1]):
        confirmed.add(member)
        if state.has_quorum(confirmed, state.epoch):
            return at
    return None


def _order(heartbeat: ReplicaHeartbeat) -> tuple[int, bool, ProposalNumber | None]:
    return heartbeat.sequence, heartbeat.accepted is not None, heartbeat.accepted
