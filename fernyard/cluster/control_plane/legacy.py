"""State on disk from before the control state was decided by ballots: configurations and evacuations were compared by
version then, and the members were fixed at the first start. It becomes the state under a ballot of round 0, below every
ballot that is proposed; where the disks differ, the first round merges them as they were compared then."""

from hashlib import sha256

import msgspec

from .state import NO_CONFIGURATION, ConfigurationId, Member, ProposalNumber, Vote, ZoneOrder, founding_state

LEGACY_CONFIGURATION, LEGACY_STATE = "config", "state"  # the areas of the disk
LEGACY_AREAS = (LEGACY_CONFIGURATION, LEGACY_STATE, "board")  # erased once the vote is on disk


class LegacyReplica(msgspec.Struct, array_like=True):
    node: str
    ip: str


class LegacyState(msgspec.Struct, array_like=True):
    """`evacuations`: zone -> (count of orders, node, on). `synced`: this disk counted."""

    members: list[LegacyReplica]
    evacuations: dict[str, tuple[int, str, bool]]
    synced: bool


class LegacyConfiguration(msgspec.Struct, array_like=True):
    stamp: tuple[int, int]
    body: bytes


_decode_state = msgspec.msgpack.Decoder(LegacyState).decode
_decode_configuration = msgspec.msgpack.Decoder(LegacyConfiguration).decode


def read_legacy(areas, ip):
    """(Vote, body or b"") from the areas of a disk, or None where it holds no such state or did not count.

    `areas`: {area: bytes}; `ip`: ours. Raises msgspec.MsgspecError where an area cannot be read."""
    if LEGACY_STATE not in areas:
        return None
    held = _decode_state(areas[LEGACY_STATE])
    ips = [replica.ip for replica in held.members]
    if not held.synced or ip not in ips:
        return None
    configuration, body = NO_CONFIGURATION, b""
    if LEGACY_CONFIGURATION in areas:
        stored = _decode_configuration(areas[LEGACY_CONFIGURATION])
        configuration, body = ConfigurationId.of(stored.stamp[0], stored.body), stored.body
    founded = founding_state(ips)
    evacuations = tuple(sorted(ZoneOrder(zone, entry[0], entry[2]) for zone, entry in held.evacuations.items()))
    revision = configuration.version + sum(order.count for order in evacuations)
    state = msgspec.structs.replace(founded, revision=revision, configuration=configuration, evacuations=evacuations)
    member = next(voter for voter in founded.voters if voter.ip == ip)
    # Disks that differ must not look as if they had accepted the same.
    content = int.from_bytes(sha256(msgspec.msgpack.encode(state)).digest()[:6], "big")
    return Vote(member, None, ProposalNumber(0, content), state), body


def merge_unballoted(states):
    """The newest configuration and the last order about each zone, of states under ballots of round 0."""
    orders = {}
    for state in states:
        for order in state.evacuations:
            if order.zone not in orders or order > orders[order.zone]:
                orders[order.zone] = order
    return msgspec.structs.replace(
        states[0],
        revision=max(state.revision for state in states) + 1,
        configuration=max(state.configuration for state in states),
        evacuations=tuple(sorted(orders.values())),
    )


def founding_vote(ips, ip):
    """The vote that each seed begins with at the first start of the whole system."""
    state = founding_state(ips)
    member: Member = next(voter for voter in state.voters if voter.ip == ip)
    return Vote(member, None, ProposalNumber(0, 0), state)
