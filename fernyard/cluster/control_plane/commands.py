"""Commands: what `Replica.step` returns for the process to execute, in order. Each is one immutable value."""

import msgspec

from .messages import ReplicaMessage
from .state import ConfigurationId


class StoreArea(msgspec.Struct, frozen=True):
    """Store `content` durably as the area of that name; `events.AreaStored` reports the result."""

    area: str
    content: bytes


class EraseArea(msgspec.Struct, frozen=True):
    """Remove an area from the disk. Nothing depends on the moment at which it is gone."""

    area: str


class SendMessage(msgspec.Struct, frozen=True):
    """Send a datagram to the replica at `ip`; it may be lost."""

    ip: str
    message: ReplicaMessage


class PushBody(msgspec.Struct, frozen=True):
    """Send the bytes of a configuration to the replica at `ip`."""

    ip: str
    id: ConfigurationId
    body: bytes


class FetchBody(msgspec.Struct, frozen=True):
    """Ask the replica at `ip` for the bytes of a configuration; `events.BodyReceived` brings them."""

    ip: str
    id: ConfigurationId


class CompleteCall(msgspec.Struct, frozen=True):
    """Answer the call of that ticket with an HTTP status.

    `conflicting`: with status 409, the configuration that is stored under the version that the caller wanted.
    """

    ticket: int
    status: int
    body: bytes = b""
    conflicting: ConfigurationId | None = None


class PublishState(msgspec.Struct, frozen=True):
    """A newer state is decided and the bytes of its configuration are at hand: gateways may be notified."""


class ReportEvacuation(msgspec.Struct, frozen=True):
    """Log what became of an evacuation, or of its end, that was proposed here.

    `revision`: of the state in which it was decided; `asked`: the ip of the replica that the operator asked; `rejected`: the
    state did not take it.
    """

    zone: str
    evacuated: bool
    revision: int
    asked: str
    rejected: bool


Command = StoreArea | EraseArea | SendMessage | PushBody | FetchBody | CompleteCall | PublishState | ReportEvacuation
