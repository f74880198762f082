"""Messages between control planes, beside those of `common.messages`.

They carry the two phases of a decision (prepare and promise, accept and accepted), what was decided, heartbeats, and changes
that one replica forwards to the lease holder. Each is one datagram, which may be lost, doubled or late without harm.

The tag of each message is part of the wire format and is given explicitly: classes may be renamed, tags may not.
"""

import msgspec

from ..common.messages import Datagram, Message
from .state import NO_CONFIGURATION, AnyChange, ConfigurationId, ControlState, Member, ProposalNumber


class ReplicaHeartbeat(Message, tag="ReplicaHeartbeat"):
    """The state of the sending replica.

    `sequence` numbers the heartbeats of one incarnation. `acknowledged` is the last sequence received from the replica that
    this goes to, in that one's `acknowledged_incarnation`. `accepted` and `decided` are proposal numbers; None: none yet.
    `ready`: the sender has `revision` and its configuration on disk. `votes`: its vote is on disk. `draining`: it is shutting
    down. `holds_lease`: it proposes the changes of all. `urgent`: the receiver answers at once.
    """

    node: str
    member: Member
    incarnation: int
    sequence: int
    acknowledged_incarnation: int
    acknowledged: int
    accepted: ProposalNumber | None
    decided: ProposalNumber | None
    revision: int
    ready: bool
    votes: bool
    draining: bool
    holds_lease: bool
    registry: tuple[int, int]
    urgent: bool = False


class Prepare(Message, tag="Prepare"):
    """Phase 1: asks for a promise to accept nothing below `proposal_number`."""

    proposal_number: ProposalNumber


class Promise(Message, tag="Promise"):
    """Answer to `Prepare`. `accepted`, `state`: what the voter had accepted when it promised; None: nothing."""

    member: Member
    proposal_number: ProposalNumber
    accepted: ProposalNumber | None
    state: ControlState | None


class Accept(Message, tag="Accept"):
    """Phase 2: asks to accept `state` under `proposal_number`."""

    proposal_number: ProposalNumber
    state: ControlState


class Accepted(Message, tag="Accepted"):
    """Answer to `Accept`: the member's vote is on disk."""

    member: Member
    proposal_number: ProposalNumber


class Refusal(Message, tag="Refusal"):
    """Answer to either phase: the voter has promised `promised`, which is higher."""

    proposal_number: ProposalNumber
    promised: ProposalNumber


class Decision(Message, tag="Decision"):
    """A majority accepted `state` under `proposal_number`."""

    proposal_number: ProposalNumber
    state: ControlState


class ForwardedChange(Message, tag="CarryChange"):
    """Asks the lease holder to propose a change.

    `key` names the change to its sender, whose `incarnation` this is. `acknowledged` is the last heartbeat sequence received
    from the lease holder, in its `acknowledged_incarnation`: from it the holder knows how old this message may be.
    """

    key: int
    incarnation: int
    change: AnyChange
    acknowledged_incarnation: int
    acknowledged: int


class ForwardedChangeResult(Message, tag="CarryResult"):
    """A forwarded change was decided, or `conflicting` is stored under its version."""

    key: int
    incarnation: int
    conflicting: ConfigurationId | None = None


class StoredBody(msgspec.Struct, array_like=True):
    """The bytes of a configuration as the operator sent them, on disk and between control planes."""

    id: ConfigurationId = NO_CONFIGURATION
    body: bytes = b""


ReplicaMessage = (
    ReplicaHeartbeat
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Refusal
    | Decision
    | ForwardedChange
    | ForwardedChangeResult
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Datagram | ReplicaMessage).decode
decode_body = msgspec.msgpack.Decoder(StoredBody).decode
