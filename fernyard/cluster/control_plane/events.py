"""What a replica is told and what it orders. Times are seconds of the machine's steady clock; a `ticket` numbers one call of
an operator."""

import attrs

from .state import ConfigurationId


@attrs.define
class ConfigurationSubmitted:
    """A valid configuration came."""

    ticket: int
    id: ConfigurationId
    body: bytes


@attrs.define
class EvacuationSubmitted:
    ticket: int
    zone: str
    on: bool


@attrs.define
class ReadRequested:
    ticket: int


@attrs.define
class CallExpired:
    """The caller waits no longer: it is told that its order may or may not be in force."""

    ticket: int


@attrs.define
class AreaStored:
    """The disk kept an area, or refused."""

    area: str
    kept: bool


@attrs.define
class BodyReceived:
    """The bytes of a configuration came from another replica."""

    id: ConfigurationId
    body: bytes


@attrs.define
class LeaseChanged:
    """Whether this process holds the lease now. `above`: the highest term that anything heard of bears."""

    held: bool
    above: int


@attrs.define
class ShutdownRequested:
    """The process is about to stop."""


@attrs.define
class Tick:
    """Some time has passed."""


@attrs.define
class StoreArea:
    area: str
    content: bytes


@attrs.define
class EraseArea:
    area: str


@attrs.define
class SendMessage:
    """`message` to the replica at that ip."""

    ip: str
    message: object


@attrs.define
class PushBody:
    """The bytes of a configuration to the disk of the replica at that ip."""

    ip: str
    id: ConfigurationId
    body: bytes


@attrs.define
class FetchBody:
    """Ask the replica at that ip for the bytes of a configuration."""

    ip: str
    id: ConfigurationId


@attrs.define
class CompleteCall:
    """To the caller of that ticket. `taken`: what is held under the number that it wanted, with status 409."""

    ticket: int
    status: int
    body: bytes = b""
    taken: ConfigurationId | None = None


@attrs.define
class PublishState:
    """A newer state is decided here and its configuration is at hand."""
