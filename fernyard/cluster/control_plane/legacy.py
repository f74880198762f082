"""Disks of the build before the control state was decided under proposal numbers.

That build compared configurations and evacuations by version, and its members were fixed at the first start. What it stored
becomes a state under a proposal number of round 0, below every number that is proposed; where the disks differ, the first round
merges them as they were compared then.
"""

from collections.abc import Collection, Mapping, Sequence
from hashlib import sha256
from typing import NamedTuple

import msgspec

from .state import (
    NO_CONFIGURATION,
    ConfigurationId,
    ControlState,
    Member,
    ProposalNumber,
    Vote,
    ZoneEvacuation,
    founding_state,
)

LEGACY_CONFIGURATION, LEGACY_STATE = "config", "state"  # the areas of the disk
LEGACY_AREAS = (LEGACY_CONFIGURATION, LEGACY_STATE, "board")  # erased once the vote is on disk


class LegacyReplica(msgspec.Struct, array_like=True):
    """A member as it was stored."""

    node: str
    ip: str


class LegacyState(msgspec.Struct, array_like=True):
    """`evacuations`: zone -> (count of changes, node, evacuated). `synced`: this disk counted."""

    members: list[LegacyReplica]
    evacuations: dict[str, tuple[int, str, bool]]
    synced: bool


class LegacyConfiguration(msgspec.Struct, array_like=True):
    """A configuration as it was stored; `stamp` begins with its version."""

    stamp: tuple[int, int]
    body: bytes


class LegacyDisk(NamedTuple):
    """The vote that a legacy disk amounts to, and the bytes of its configuration (empty: none)."""

    vote: Vote
    body: bytes


_decode_state = msgspec.msgpack.Decoder(LegacyState).decode
_decode_configuration = msgspec.msgpack.Decoder(LegacyConfiguration).decode


def read_legacy(areas: Mapping[str, bytes], ip: str) -> LegacyDisk | None:
    """What the areas of a disk hold, or None where it holds no such state or did not count. `ip`: ours.

    Raises msgspec.MsgspecError where an area cannot be read.
    """
    if LEGACY_STATE not in areas:
        return None
    stored = _decode_state(areas[LEGACY_STATE])
    ips = [replica.ip for replica in stored.members]
    if not stored.synced or ip not in ips:
        return None
    configuration, body = NO_CONFIGURATION, b""
    if LEGACY_CONFIGURATION in areas:
        stored_configuration = _decode_configuration(areas[LEGACY_CONFIGURATION])
        body = stored_configuration.body
        configuration = ConfigurationId.of(stored_configuration.stamp[0], body)
    state = _legacy_control_state(ips, stored, configuration)
    member = next(voter for voter in state.voters if voter.ip == ip)
    # Disks that differ must not look as if they had accepted the same.
    content = int.from_bytes(sha256(msgspec.msgpack.encode(state)).digest()[:6], "big")
    return LegacyDisk(Vote(member, None, ProposalNumber(0, content), state), body)


def _legacy_control_state(ips: Sequence[str], stored: LegacyState, configuration: ConfigurationId) -> ControlState:
    evacuations = tuple(
        sorted(ZoneEvacuation(zone, count, evacuated) for zone, (count, _, evacuated) in stored.evacuations.items())
    )
    revision = configuration.version + sum(evacuation.count for evacuation in evacuations)
    return msgspec.structs.replace(
        founding_state(ips), revision=revision, configuration=configuration, evacuations=evacuations
    )


def merge_unnumbered(states: Sequence[ControlState]) -> ControlState:
    """The newest configuration and the last change of each zone, of states under proposal numbers of round 0."""
    evacuations: dict[str, ZoneEvacuation] = {}
    for state in states:
        for evacuation in state.evacuations:
            if evacuation.zone not in evacuations or evacuation > evacuations[evacuation.zone]:
                evacuations[evacuation.zone] = evacuation
    return msgspec.structs.replace(
        states[0],
        revision=max(state.revision for state in states) + 1,
        configuration=max(state.configuration for state in states),
        evacuations=tuple(sorted(evacuations.values())),
    )


def founding_vote(ips: Collection[str], ip: str) -> Vote:
    """The vote that each seed begins with at the first start of the whole system. `ip`: ours, one of `ips`."""
    state = founding_state(ips)
    member: Member = next(voter for voter in state.voters if voter.ip == ip)
    return Vote(member, None, ProposalNumber(0, 0), state)
