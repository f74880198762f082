"""Which change of the members is due. Free of I/O; times are seconds.

The number of voters stays what the losses to be survived need: a member that is gone for good, that came back with an empty
disk or that is shutting down is replaced by a replica that waits. Each change is decided like any other, in two steps, one at a
time.

A replica that is still catching up may join where the others are a majority without it: what it lacks is sent to it as to any
other voter, and redundancy is not put off by changes that never pause. Where the majority would rest on it, it first has to
have what was decided a round ago (Ongaro, "Consensus: Bridging Theory and Practice", 4.2.1), not the newest at one moment.
"""

import attrs

from .peer_table import Peer, PeerTable
from .state import ControlState, Member, ReplaceMember

MEMBER_TIMEOUT = 1.5  # without a heartbeat, after which a member is replaced, where a replica waits


@attrs.frozen
class MembershipView:
    """What the decision rests on.

    `own`: our Member; `state`: the newest decided, under whose term we act; `faults`: machines that may be lost at once;
    `since`: when we began to act; `caught_up_from`: the revision from which on a replica counts as caught up; `draining`: we are
    shutting down.
    """

    now: float
    peers: PeerTable
    own: Member
    state: ControlState
    faults: int
    since: float
    caught_up_from: int
    draining: bool = False

    def fresh_voting_peers(self) -> list[Peer]:
        """Peers that are there and have a vote on disk."""
        return [peer for peer in self.peers.fresh(self.now) if peer.heartbeat.votes]

    def is_caught_up(self, peer: Peer) -> bool:
        """Does it have the configurations of all that was decided until a round ago?"""
        return peer.heartbeat.ready and peer.heartbeat.revision >= self.caught_up_from

    def silent_for(self, member: Member) -> float:
        """Seconds since that member was in touch."""
        return self.peers.silent_for(self.now, member, self.since)


def due_change(view: MembershipView) -> ReplaceMember | None:
    """The change to propose now, or None."""
    state = view.state
    if state.previous:
        return None  # the one under way is finished first
    spare = _spare(view)
    if spare is None:
        return None
    removed = _member_to_replace(view)
    if removed is None and len(state.voters) > 2 * view.faults:
        return None
    change = ReplaceMember(state.epoch, state.term, removed, spare.member)
    # A majority of both groups has to be there, or the change would only be begun.
    present = {view.own, *(peer.member for peer in view.fresh_voting_peers())}
    if not view.is_caught_up(spare):
        present.discard(spare.member)
    return change if change.apply(state).has_quorum(present) else None


def _spare(view: MembershipView) -> Peer | None:
    """A replica that does not vote yet: one that has caught up before others, then one on a voter's machine."""
    spares = [
        peer
        for peer in view.fresh_voting_peers()
        if not peer.heartbeat.draining and peer.member not in view.state.voters
    ]
    voter_ips = {voter.ip for voter in view.state.voters}

    def preference(peer: Peer) -> tuple[bool, bool, Member]:
        return not view.is_caught_up(peer), peer.member.ip not in voter_ips, peer.member

    return min(spares, key=preference, default=None)


def _member_to_replace(view: MembershipView) -> Member | None:
    """The voter that is to be replaced: its disk is gone, it is shutting down, or it timed out."""
    own = view.own
    present = {peer.member.ip: peer for peer in view.peers.fresh(view.now)}
    others = [voter for voter in view.state.voters if voter != own]
    for voter in others:
        peer = present.get(voter.ip)
        if voter.ip == own.ip or (peer is not None and peer.member != voter):
            return voter
    for voter in others:
        if voter.ip in present and present[voter.ip].heartbeat.draining:
            return voter
    timed_out = [voter for voter in others if view.silent_for(voter) > MEMBER_TIMEOUT]
    if timed_out:
        return max(timed_out, key=view.silent_for)
    return own if view.draining and own in view.state.voters else None
