"""Events: what a `RequestRouter` is told, beside `workers.Outcome`. Times are seconds of the machine's steady clock.

A `number` names one request of a client within this process.
"""

import msgspec

from ...workers import Outcome
from ..common.messages import ConfigurationUpdate, RegistryUpdate, Total


class RequestArrived(msgspec.Struct, frozen=True):
    """A client's request was read completely. `patience`: seconds that the client will wait; `key`: its API key."""

    number: int
    method: str
    host: str
    path: str
    key: str | None
    patience: float


class ClientGone(msgspec.Struct, frozen=True):
    """The client of a request closed its connection."""

    number: int


class Tick(msgspec.Struct, frozen=True):
    """A timer may be due."""


class CountAnswered(msgspec.Struct, frozen=True):
    """A counter gateway answered an add."""

    total: Total


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """What is in force changed."""

    update: ConfigurationUpdate


class RegistryChanged(msgspec.Struct, frozen=True):
    """Workers or gateways changed."""

    update: RegistryUpdate


ClientEvent = RequestArrived | ClientGone
RouterEvent = ClientEvent | Tick | CountAnswered | ConfigurationChanged | RegistryChanged | Outcome
