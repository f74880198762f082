"""Commands: what `Replica.step` returns for the process to execute, in order. Each is one immutable value."""

import msgspec

from .messages import ReplicaMessage
from .state import ConfigurationId


class Command(msgspec.Struct, frozen=True):
    """Base of all commands."""


class StoreArea(Command, frozen=True):
    """Store `content` durably as the area of that name; `events.AreaStored` reports the result."""

    area: str
    content: bytes


class EraseArea(Command, frozen=True):
    """Remove an area from the disk. Nothing depends on the moment at which it is gone."""

    area: str


class SendMessage(Command, frozen=True):
    """Send a datagram to the replica at `ip`; it may be lost."""

    ip: str
    message: ReplicaMessage


class PushBody(Command, frozen=True):
    """Send the bytes of a configuration to the replica at `ip`."""

    ip: str
    id: ConfigurationId
    body: bytes


class FetchBody(Command, frozen=True):
    """Ask the replica at `ip` for the bytes of a configuration; `events.BodyReceived` brings them."""

    ip: str
    id: ConfigurationId


class CompleteCall(Command, frozen=True):
    """Answer the call of that ticket with an HTTP status.

    `conflicting`: with status 409, the configuration that is stored under the version that the caller wanted.
    """

    ticket: int
    status: int
    body: bytes = b""
    conflicting: ConfigurationId | None = None


class PublishState(Command, frozen=True):
    """A newer state is decided and the bytes of its configuration are at hand: gateways may be notified."""
