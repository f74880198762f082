"""What `GET /-/status` tells operators about one control plane."""

import msgspec

from .replica import Replica
from .state import ControlState

JSON_NAMES = {
    "contact_age": "contactAgeS",
    "draining": "leaving",
    "last_seen": "heard",
    "other_draining": "leavingOthers",
    "polls_list": "listHere",
    "proposal_number": "ballot",
    "former_members": "formerMembers",
}  # that operators' tools read


class Status(msgspec.Struct, rename=JSON_NAMES):
    """Times are seconds.

    `contact_age`: since a majority was in touch; `last_seen`: since the last heartbeat of each other control plane; `learning`:
    members that do not vote; `other_draining`: members that are shutting down; `polls_list`: this one reads the endpoint list.
    """

    node: str
    member: str
    votes: bool
    draining: bool
    contact_age: float | None
    last_seen: dict[str, float]
    learning: list[str]
    other_draining: list[str]
    polls_list: bool
    registry: list[int]
    workers: int
    gateways: list[str]
    version: str | msgspec.UnsetType = msgspec.UNSET
    digest: str | msgspec.UnsetType = msgspec.UNSET
    revision: int | msgspec.UnsetType = msgspec.UNSET
    epoch: int | msgspec.UnsetType = msgspec.UNSET
    term: int | msgspec.UnsetType = msgspec.UNSET
    proposal_number: list[int] | msgspec.UnsetType = msgspec.UNSET
    members: list[str] | msgspec.UnsetType = msgspec.UNSET
    former_members: list[str] | msgspec.UnsetType = msgspec.UNSET
    evacuated: list[str] | msgspec.UnsetType = msgspec.UNSET


def status_of(
    now: float, replica: Replica, polls_list: bool, registry: tuple[int, int], workers: int, gateways: list[str]
) -> Status:
    """The status now. `registry`: its version; `workers`: how many there are; `gateways`: their nodes."""
    age, state = replica.contact_age(now), replica.state
    fresh = replica.peers.fresh(now)
    status = Status(
        node=replica.context.settings.node,
        member=str(replica.member),
        votes=replica.is_voter,
        draining=replica.draining,
        contact_age=round(age, 2) if age is not None else None,
        last_seen={peer.heartbeat.node: round(now - peer.received_at, 2) for peer in replica.peers.peers.values()},
        learning=[str(peer.member) for peer in fresh if state is not None and peer.member not in state.voters],
        other_draining=[str(peer.member) for peer in fresh if peer.heartbeat.draining],
        polls_list=polls_list,
        registry=list(registry),
        workers=workers,
        gateways=gateways,
    )
    if replica.decided is not None:
        number = replica.decided.proposal_number
        status.proposal_number = [number.round, number.proposer]
        _add_state(status, replica.decided.state)
    return status


def _add_state(status: Status, state: ControlState) -> None:
    status.version = f"{state.configuration.version:08x}"
    status.digest = f"{state.configuration.digest:016x}"
    status.revision, status.epoch, status.term = state.revision, state.epoch, state.term
    status.members = [str(voter) for voter in state.voters]
    status.former_members = [str(voter) for voter in state.previous]
    status.evacuated = state.evacuated_zones
