"""What the router is told and what it orders. Times are seconds of the machine's steady clock."""

import attrs


@attrs.define
class Asked:
    """A client's request came in whole. `left`: seconds that the client will wait."""

    number: int
    method: str
    host: str
    path: str
    key: str | None
    left: float


@attrs.define
class Gone:
    """The client of a request went away."""

    number: int


@attrs.define
class Tick:
    """A timer may be due."""


@attrs.define
class Counted:
    """The answer of a counter gatekeeper (`messages.Total`)."""

    total: object


@attrs.define
class ConfigurationChanged:
    """What is in force changed (`messages.ConfigurationUpdate`)."""

    update: object


@attrs.define
class RegistryChanged:
    """Workers or gateways changed (`messages.RegistryUpdate`)."""

    update: object


@attrs.define
class Send:
    """To a worker; `limit`: seconds until it is given up; `tenant`: name for the worker or None."""

    number: int
    dispatch: int
    worker: str
    address: str
    tenant: str | None
    limit: float


@attrs.define
class Answer:
    """An answer of our own. `retry`: seconds for Retry-After, 0 for none."""

    number: int
    status: int
    retry: float = 0.0


@attrs.define
class Relay:
    """The worker's answer as it came (`workers.Outcome`)."""

    number: int
    outcome: object


@attrs.define
class Add:
    """A `messages.Count` to the counter gatekeeper at that ip; None is this process."""

    ip: str | None
    count: object
