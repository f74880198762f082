"""Events: what a `Replica` is told. Each is one immutable value that `Replica.step` takes.

Times are seconds of the machine's steady clock. A `ticket` numbers one call of an operator at this process.
"""

import msgspec

from .messages import ReplicaMessage
from .state import ConfigurationId


class ConfigurationSubmitted(msgspec.Struct, frozen=True):
    """An operator sent a valid configuration; `body` holds its bytes as they came."""

    ticket: int
    id: ConfigurationId
    body: bytes


class EvacuationSubmitted(msgspec.Struct, frozen=True):
    """An operator evacuates a zone (`evacuated` is true) or takes it back. `age`: the seconds that may have passed at most since
    the order was sent."""

    ticket: int
    zone: str
    evacuated: bool
    age: float = 0.0


class ReadRequested(msgspec.Struct, frozen=True):
    """An operator asks for the newest configuration."""

    ticket: int


class CallExpired(msgspec.Struct, frozen=True):
    """The caller waits no longer or has left; a change that was begun may or may not come into force."""

    ticket: int


class AreaStored(msgspec.Struct, frozen=True):
    """The disk has stored an area durably, or failed to (`succeeded` is false)."""

    area: str
    succeeded: bool


class BodyReceived(msgspec.Struct, frozen=True):
    """Another replica sent the bytes of a configuration."""

    id: ConfigurationId
    body: bytes


class LeaseChanged(msgspec.Struct, frozen=True):
    """Whether this process holds the lease now. `highest_term`: the highest term that any received message bears."""

    held: bool
    highest_term: int


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The process is about to stop and hands over its vote."""


class Tick(msgspec.Struct, frozen=True):
    """Some time has passed."""


class MessageReceived(msgspec.Struct, frozen=True):
    """A datagram came from the replica at `ip`."""

    ip: str
    message: ReplicaMessage


Event = (
    ConfigurationSubmitted
    | EvacuationSubmitted
    | ReadRequested
    | CallExpired
    | AreaStored
    | BodyReceived
    | LeaseChanged
    | ShutdownRequested
    | Tick
    | MessageReceived
)
