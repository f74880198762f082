"""What operators of the simulation call, and what they were answered. Times are seconds."""

import attrs

from fernyard.cluster.control_plane.state import ConfigurationId


@attrs.frozen
class Put:
    """An operator sends a configuration."""

    id: ConfigurationId


@attrs.frozen
class Evacuate:
    """An operator evacuates a zone, or takes it back."""

    zone: str
    evacuated: bool


@attrs.frozen
class Get:
    """An operator reads the configuration in force."""


@attrs.define
class Answer:
    """What an operator was answered: `status` is None while nothing was."""

    call: Put | Evacuate | Get
    node: str
    called_at: float
    status: int | None = None
    body: bytes = b""
    conflicting: ConfigurationId | None = None
    answered_at: float = 0.0
