"""Which change of the members is due. Free of I/O.

The number of those that vote stays what the losses to be borne need: a member that is gone for good, that came back with an
empty disk or that is leaving is replaced by one that holds all that is agreed and waits. Each change is decided like any
other, in two steps, one at a time.
"""

from .state import ReplaceMember

SILENT = 1.5  # seconds without a heartbeat after which a member is replaced, where one waits


def due_change(now, contacts, own, state, faults, since, leaving=False):
    """The change to propose now, or None.

    `own`: our Member; `state`: the newest decided, under whose term we act; `faults`: machines that may be lost at once;
    `since`: when we began to act; `leaving`: we are about to stop."""
    if state.previous:
        return None  # the one under way is finished first
    spare = _spare(now, contacts, state)
    if spare is None:
        return None
    leaver = _leaver(now, contacts, own, state, since, leaving)
    if leaver is None and len(state.voters) > 2 * faults:
        return None
    change = ReplaceMember(state.epoch, state.term, leaver, spare)
    # A majority of both groups has to be there, or the change would only be begun.
    return change if change.apply(state).has_quorum(_present(now, contacts, own)) else None


def _present(now, contacts, own):
    return {own, *(peer.member for peer in contacts.fresh(now) if peer.heartbeat.votes)}


def _spare(now, contacts, state):
    """One that does not vote and holds what is decided on its disk; the one on a voter's machine first."""
    ready = [
        peer.member
        for peer in contacts.fresh(now)
        if peer.heartbeat.votes
        and peer.heartbeat.ready
        and not peer.heartbeat.leaving
        and peer.heartbeat.revision == state.revision
        and peer.member not in state.voters
    ]
    ips = {voter.ip for voter in state.voters}
    return min(ready, key=lambda member: (member.ip not in ips, member), default=None)


def _leaver(now, contacts, own, state, since, leaving):
    """The voter that is to be replaced: its disk is gone, it says that it leaves, or it is silent."""
    present = {peer.member.ip: peer for peer in contacts.fresh(now)}
    others = [voter for voter in state.voters if voter != own]
    for voter in others:
        peer = present.get(voter.ip)
        if voter.ip == own.ip or peer is not None and peer.member != voter:
            return voter
    for voter in others:
        if voter.ip in present and present[voter.ip].heartbeat.leaving:
            return voter
    silent = [voter for voter in others if contacts.silence(now, voter, since) > SILENT]
    if silent:
        return max(silent, key=lambda voter: contacts.silence(now, voter, since))
    return own if leaving and own in state.voters else None
