"""What control planes tell each other beside `common.messages`: the two phases of a decision, what is decided, and changes
that one asks another to carry. Each is one datagram; it may be lost, doubled or late without harm."""

from dataclasses import dataclass

import msgspec

from ..common.messages import Datagram, Message
from .state import NO_CONFIGURATION, AnyChange, ConfigurationId, ControlState, Member, ProposalNumber


class ReplicaHeartbeat(Message):
    """Tells another how this one stands. `ask` is a number that it answers; `answers` is the last ask that it heard from the
    one this goes to, in that one's incarnation `acknowledged_incarnation`. `accepted` and `decided` are ballots, None: none. `ready`: it holds
    `revision` and its configuration on its disk. `urgent`: the answer is to come at once."""

    node: str
    member: Member
    incarnation: int
    ask: int
    acknowledged_incarnation: int
    answers: int
    accepted: ProposalNumber | None
    decided: ProposalNumber | None
    revision: int
    ready: bool
    votes: bool
    leaving: bool
    carries: bool
    registry: tuple[int, int]
    urgent: bool = False


class Prepare(Message):
    ballot: ProposalNumber


class Promise(Message):
    """`accepted`, `state`: what the voter held when it promised."""

    member: Member
    ballot: ProposalNumber
    accepted: ProposalNumber | None
    state: ControlState | None


class Accept(Message):
    ballot: ProposalNumber
    state: ControlState


class Accepted(Message):
    member: Member
    ballot: ProposalNumber


class Refusal(Message):
    """The voter has promised `promised`, which is higher."""

    ballot: ProposalNumber
    promised: ProposalNumber


class Decision(Message):
    """`state` was decided under `ballot`."""

    ballot: ProposalNumber
    state: ControlState


class ForwardedChange(Message, tag="CarryChange"):
    """Asks the one that carries the changes of all to have this one decided. `answers` is the last ask that was heard from
    it, in its incarnation `acknowledged_incarnation`, so that it knows how old this is."""

    key: int
    incarnation: int
    change: AnyChange
    acknowledged_incarnation: int
    answers: int


class ForwardedChangeResult(Message, tag="CarryResult"):
    """The change was decided (`taken` is None), or other bytes are held under its number."""

    key: int
    incarnation: int
    taken: ConfigurationId | None = None


class StoredBody(msgspec.Struct, array_like=True):
    """A configuration on disk and between control planes: the operator's bytes and what they are."""

    id: ConfigurationId = NO_CONFIGURATION
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of this module came from that ip."""

    ip: str
    message: object


ConsensusMessage = (
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
decode = msgspec.msgpack.Decoder(Datagram | ConsensusMessage).decode
decode_body = msgspec.msgpack.Decoder(StoredBody).decode
