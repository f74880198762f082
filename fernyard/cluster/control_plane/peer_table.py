"""What the other replicas told of themselves, and what follows from it: whether a majority is met, as of when, and what it
holds. Free of I/O. An answer counts from the moment when it was asked for, by this replica's own steady clock, so that one
that stood still finds all its contacts as old as they are."""

import attrs

from .messages import ReplicaHeartbeat

FRESH = 1.0  # seconds within which a heartbeat tells of a replica that is there
KNOWN = 3.0  # seconds for which a replica is named to others after its last heartbeat
FORGOTTEN = 30.0
ASKS_KEPT = 5.0


@attrs.define
class Peer:
    """Another replica. `at`: when its heartbeat came; `asked_at`: when the ask that it answered was sent, None: none yet."""

    heartbeat: ReplicaHeartbeat
    at: float
    asked_at: float | None = None

    @property
    def member(self):
        return self.heartbeat.member


class PeerTable:
    def __init__(self, incarnation):
        self.incarnation, self.peers, self.asks, self.ask = incarnation, {}, {}, 0

    def next_ask(self, now):
        """A number that an answer to a message sent now will bear."""
        self.ask += 1
        self.asks[self.ask] = now
        for number in [number for number, at in self.asks.items() if now - at > ASKS_KEPT]:
            del self.asks[number]
        return self.ask

    def is_answer_within(self, now, seconds, incarnation, ask):
        """Was that ask of ours sent so few seconds ago? What answers it can't be older."""
        return incarnation == self.incarnation and now - self.asks.get(ask, now - ASKS_KEPT) <= seconds

    def heard(self, now, heartbeat):
        """False for one that was overtaken on its way by a later one of the same incarnation: asks and accepted ballots only grow."""
        ip, known = heartbeat.member.ip, self.peers.get(heartbeat.member.ip)
        same_incarnation = known is not None and known.heartbeat.incarnation == heartbeat.incarnation
        if same_incarnation and _order(heartbeat) < _order(known.heartbeat):
            return False
        asked_at = self.asks.get(heartbeat.answers) if heartbeat.acknowledged_incarnation == self.incarnation else None
        if asked_at is None and same_incarnation:
            asked_at = known.asked_at
        self.peers[ip] = Peer(heartbeat, now, asked_at)
        return True

    def forget(self, now):
        for ip in [ip for ip, peer in self.peers.items() if now - peer.at > FORGOTTEN]:
            del self.peers[ip]

    def fresh(self, now):
        return [peer for peer in self.peers.values() if now - peer.at <= FRESH]

    def known(self, now):
        return [peer for peer in self.peers.values() if now - peer.at <= KNOWN]

    def silence(self, now, member, since):
        """Seconds since that member, with that disk, was heard; counted from `since` where it never was."""
        peer = self.peers.get(member.ip)
        at = peer.at if peer is not None and peer.member == member else since
        return now - max(at, since)

    def confirmed_at(self, now, own, ballot, state):
        """The latest moment as of which a majority held nothing newer than `ballot`, under which `state` was decided, or
        None. `own`: our Vote, or None."""
        times = {}
        if own is not None and (own.accepted is None or own.accepted <= ballot):
            times[own.member] = now
        for peer in self.peers.values():
            accepted = peer.heartbeat.accepted
            if peer.asked_at is not None and peer.heartbeat.votes and (accepted is None or accepted <= ballot):
                times[peer.member] = peer.asked_at
        met = set()
        for member, at in sorted(times.items(), key=lambda item: -item[1]):
            met.add(member)
            if state.has_quorum(met, state.epoch):
                return at
        return None

    def accepted_by(self, ballot, own):
        """The members known to have accepted under exactly that ballot."""
        found = {peer.member for peer in self.peers.values() if peer.heartbeat.accepted == ballot}
        if own is not None and own.accepted == ballot:
            found.add(own.member)
        return found


def _order(heartbeat):
    return heartbeat.ask, heartbeat.accepted is not None, heartbeat.accepted
