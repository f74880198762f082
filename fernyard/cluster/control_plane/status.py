"""What `GET /-/status` tells operators about one control plane."""

import msgspec

from .replica import Replica
from .state import ControlState


class Status(msgspec.Struct):
    """The field names are those of the JSON that operators' tools read. Times are seconds.

    `contactAgeS`: since a majority was in touch; `heard`: since the last heartbeat of each other control plane; `learning`:
    members that do not vote; `leavingOthers`: members that are shutting down; `listHere`: this one reads the endpoint list.
    """

    node: str
    member: str
    votes: bool
    leaving: bool
    contactAgeS: float | None
    heard: dict[str, float]
    learning: list[str]
    leavingOthers: list[str]
    listHere: bool
    registry: list[int]
    workers: int
    gateways: list[str]
    version: str | msgspec.UnsetType = msgspec.UNSET
    digest: str | msgspec.UnsetType = msgspec.UNSET
    revision: int | msgspec.UnsetType = msgspec.UNSET
    epoch: int | msgspec.UnsetType = msgspec.UNSET
    term: int | msgspec.UnsetType = msgspec.UNSET
    ballot: list[int] | msgspec.UnsetType = msgspec.UNSET
    members: list[str] | msgspec.UnsetType = msgspec.UNSET
    formerMembers: list[str] | msgspec.UnsetType = msgspec.UNSET
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
        leaving=replica.draining,
        contactAgeS=round(age, 2) if age is not None else None,
        heard={peer.heartbeat.node: round(now - peer.received_at, 2) for peer in replica.peers.peers.values()},
        learning=[str(peer.member) for peer in fresh if state is not None and peer.member not in state.voters],
        leavingOthers=[str(peer.member) for peer in fresh if peer.heartbeat.draining],
        listHere=polls_list,
        registry=list(registry),
        workers=workers,
        gateways=gateways,
    )
    if replica.decided is not None:
        number = replica.decided.proposal_number
        status.ballot = [number.round, number.proposer]
        _add_state(status, replica.decided.state)
    return status


def _add_state(status: Status, state: ControlState) -> None:
    status.version = f"{state.configuration.version:08x}"
    status.digest = f"{state.configuration.digest:016x}"
    status.revision, status.epoch, status.term = state.revision, state.epoch, state.term
    status.members = [str(voter) for voter in state.voters]
    status.formerMembers = [str(voter) for voter in state.previous]
    status.evacuated = state.evacuated_zones
