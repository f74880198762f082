"""What a replica is told and what it orders. Times are seconds of the machine's steady clock; a `ticket` numbers one call of
an operator."""

import attrs

from .state import ConfigurationId


@attrs.define
class PutConfiguration:
    """A valid configuration came."""

    ticket: int
    id: ConfigurationId
    body: bytes


@attrs.define
class OrderEvacuation:
    ticket: int
    zone: str
    on: bool


@attrs.define
class ReadConfiguration:
    ticket: int


@attrs.define
class Expired:
    """The caller waits no longer: it is told that its order may or may not be in force."""

    ticket: int


@attrs.define
class Stored:
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
class Leave:
    """The process is about to stop."""


@attrs.define
class Tick:
    """Some time has passed."""


@attrs.define
class Save:
    area: str
    content: bytes


@attrs.define
class Erase:
    area: str


@attrs.define
class Send:
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
class Reply:
    """To the caller of that ticket. `taken`: what is held under the number that it wanted, with status 409."""

    ticket: int
    status: int
    body: bytes = b""
    taken: ConfigurationId | None = None


@attrs.define
class Publish:
    """A newer state is decided here and its configuration is at hand."""
