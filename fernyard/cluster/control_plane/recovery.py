"""What a replica begins with: the vote and the configurations that its disk holds, or a first vote. Free of I/O."""

from collections.abc import Mapping

import attrs
import msgspec

from ..common.errors import StateError
from .bodies import AREA_PREFIX
from .legacy import LEGACY_STATE, LegacyDisk, founding_vote, read_legacy
from .messages import decode_body
from .replica_context import ReplicaSettings
from .state import FOUNDING_DISK, ConfigurationId, Member, Vote
from .voter import VOTE_AREA

_decode_vote = msgspec.msgpack.Decoder(Vote).decode


@attrs.define
class Recovered:
    """`vote`: None where this machine does not vote. `unreadable`: areas that were passed over."""

    vote: Vote | None
    bodies: dict[ConfigurationId, bytes]
    unreadable: list[str]


def recover(areas: Mapping[str, bytes], settings: ReplicaSettings, bootstrap: bool, disk: int) -> Recovered:
    """What to begin with. `areas`: what is on the disk; `bootstrap`: the whole system starts for the first time; `disk`: a
    random number, the identity of a disk that was empty.

    Raises StateError where the disk is another machine's or its vote cannot be read.
    """
    bodies, unreadable = _read_bodies(areas)
    if not settings.votes:
        return Recovered(None, bodies, unreadable)
    if VOTE_AREA in areas:
        return Recovered(_read_vote(areas[VOTE_AREA], settings.ip), bodies, unreadable)
    legacy = _read_legacy(areas, settings.ip)
    if legacy is not None:
        if legacy.body and legacy.vote.state is not None:
            bodies[legacy.vote.state.configuration] = legacy.body
        return Recovered(legacy.vote, bodies, unreadable)
    if bootstrap and settings.ip in settings.seeds:
        return Recovered(founding_vote(settings.seeds, settings.ip), bodies, unreadable)
    return Recovered(Vote(Member(settings.ip, max(disk, FOUNDING_DISK + 1))), bodies, unreadable)


def _read_vote(content: bytes, ip: str) -> Vote:
    try:
        vote = _decode_vote(content)
    except msgspec.MsgspecError as error:
        raise StateError(f"the vote cannot be read: {error}", VOTE_AREA) from error
    if vote.member.ip != ip:
        raise StateError(f"the disk is that of {vote.member.ip}", VOTE_AREA)
    return vote


def _read_legacy(areas: Mapping[str, bytes], ip: str) -> LegacyDisk | None:
    try:
        return read_legacy(areas, ip)
    except msgspec.MsgspecError as error:
        raise StateError(f"the state of an earlier version cannot be read: {error}", LEGACY_STATE) from error


def _read_bodies(areas: Mapping[str, bytes]) -> tuple[dict[ConfigurationId, bytes], list[str]]:
    """Configurations that fit their digests, and the areas of others, which are fetched again from another replica."""
    bodies: dict[ConfigurationId, bytes] = {}
    unreadable = []
    for area, content in areas.items():
        if not area.startswith(AREA_PREFIX):
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
