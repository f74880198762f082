"""What a replica begins with: the vote and the configurations that its disk holds, or a first vote. Free of I/O."""

import attrs
import msgspec

from ..common.errors import StateError
from .bodies import AREA
from .legacy import founding_vote, read_legacy
from .messages import decode_body
from .replica import VOTE
from .state import FOUNDING_DISK, Member, Vote

_decode_vote = msgspec.msgpack.Decoder(Vote).decode


@attrs.define
class Recovered:
    """`bodies`: {ConfigurationId: bytes}. `unreadable`: areas that were passed over."""

    vote: Vote | None
    bodies: dict
    unreadable: list


def recover(areas, settings, bootstrap, disk):
    """What to begin with. `areas`: {area: bytes} of the disk; `settings`: ReplicaSettings; `bootstrap`: the whole system
    starts for the first time; `disk`: a random number, the identity of a disk that was empty.

    Raises StateError where the disk is another machine's or its vote cannot be read."""
    bodies, unreadable = _bodies(areas)
    if not settings.votes:
        return Recovered(None, bodies, unreadable)
    if VOTE in areas:
        return Recovered(_vote(areas[VOTE], settings.ip), bodies, unreadable)
    legacy = _legacy(areas, settings.ip)
    if legacy is not None:
        vote, body = legacy
        if body:
            bodies[vote.state.configuration] = body
        return Recovered(vote, bodies, unreadable)
    if bootstrap and settings.ip in settings.seeds:
        return Recovered(founding_vote(settings.seeds, settings.ip), bodies, unreadable)
    return Recovered(Vote(Member(settings.ip, max(disk, FOUNDING_DISK + 1))), bodies, unreadable)


def _vote(content, ip):
    try:
        vote = _decode_vote(content)
    except msgspec.MsgspecError as why:
        raise StateError(f"the vote cannot be read: {why}", VOTE) from None
    if vote.member.ip != ip:
        raise StateError(f"the disk is that of {vote.member.ip}", VOTE)
    return vote


def _legacy(areas, ip):
    try:
        return read_legacy(areas, ip)
    except msgspec.MsgspecError as why:
        raise StateError(f"the state of an earlier version cannot be read: {why}", "state") from None


def _bodies(areas):
    """Configurations that fit their digests; others are fetched again from another replica."""
    bodies, unreadable = {}, []
    for area, content in areas.items():
        if not area.startswith(AREA):
            continue
        try:
            stored = decode_body(content)
        except msgspec.MsgspecError:
            unreadable.append(area)
            continue
        if stored.id.fits(stored.body):
            bodies[stored.id] = stored.body
        else:
            unreadable.append(area)
    return bodies, unreadable
