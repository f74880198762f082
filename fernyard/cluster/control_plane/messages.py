"""What control planes tell each other beside `common.messages`: the two phases of a decision, what is decided, and changes
that one asks another to carry. Each is one datagram; it may be lost, doubled or late without harm."""

from dataclasses import dataclass

import msgspec

from ..common.messages import Datagram, Message
from .state import NO_CONFIGURATION, AnyChange, Ballot, ConfigurationId, ControlState, Member


class ReplicaHeartbeat(Message):
    """Tells another how this one stands. `ask` is a number that it answers; `answers` is the last ask that it heard from the
    one this goes to, in that one's life `answers_life`. `accepted` and `decided` are ballots, None: none. `ready`: it holds
    `revision` and its configuration on its disk. `urgent`: the answer is to come at once."""

    node: str
    member: Member
    life: int
    ask: int
    answers_life: int
    answers: int
    accepted: Ballot | None
    decided: Ballot | None
    revision: int
    ready: bool
    votes: bool
    leaving: bool
    carries: bool
    registry: tuple[int, int]
    urgent: bool = False


class Prepare(Message):
    ballot: Ballot


class Promise(Message):
    """`accepted`, `state`: what the voter held when it promised."""

    member: Member
    ballot: Ballot
    accepted: Ballot | None
    state: ControlState | None


class Accept(Message):
    ballot: Ballot
    state: ControlState


class Accepted(Message):
    member: Member
    ballot: Ballot


class Refusal(Message):
    """The voter has promised `promised`, which is higher."""

    ballot: Ballot
    promised: Ballot


class Decision(Message):
    """`state` was decided under `ballot`."""

    ballot: Ballot
    state: ControlState


class CarryChange(Message):
    """Asks the one that carries the changes of all to have this one decided. `answers` is the last ask that was heard from
    it, in its life `answers_life`, so that it knows how old this is."""

    key: int
    life: int
    change: AnyChange
    answers_life: int
    answers: int


class CarryResult(Message):
    """The change was decided (`taken` is None), or other bytes are held under its number."""

    key: int
    life: int
    taken: ConfigurationId | None = None


class StoredBody(msgspec.Struct, array_like=True):
    """A configuration on disk and between control planes: the operator's bytes and what they are."""

    id: ConfigurationId = NO_CONFIGURATION
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Received:
    """A message of this module came from that ip."""

    ip: str
    message: object


ConsensusMessage = (
    ReplicaHeartbeat | Prepare | Promise | Accept | Accepted | Refusal | Decision | CarryChange | CarryResult
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Datagram | ConsensusMessage).decode
decode_body = msgspec.msgpack.Decoder(StoredBody).decode
