"""One request of a client, from its arrival to the end of its last attempt."""

from collections.abc import Generator
from enum import Enum
from typing import Any

import attrs

from ...workers import Outcome
from ..common.messages import Route, Service, Tenant
from .events import RequestArrived
from .routes import Routes


class Wait(Enum):
    """What the path of a request waits for."""

    START = "start"
    RUNNING = "running"
    COUNT = "count"
    OUTCOME = "outcome"
    NOTHING = "nothing"


Path = Generator[Wait, Any, None]


@attrs.define
class Attempt:
    """A request in flight to a worker since `began_at`."""

    worker: str
    began_at: float


@attrs.define(eq=False)
class Request:
    """`deadline`: when its client, or its route, gives it up, in seconds of the router's clock.

    `routes`: the configuration under which it was taken; `tried`: workers that it was forwarded to; `unreachable`: workers to
    which no connection was had; `in_flight`: attempts by number; `may_have_run`: some worker may have run it; `failure`: the
    answer of a worker that failed it; `counted`: its unit was added to its tenant's count; `closed`: its client has its final
    answer, or is gone, since `closed_at`.
    """

    arrival: RequestArrived
    deadline: float
    routes: Routes
    path: Path | None = None
    wait: Wait = Wait.START
    route: Route | None = None
    tenant: Tenant | None = None
    service: Service | None = None
    tried: list[str] = attrs.Factory(list)
    unreachable: list[str] = attrs.Factory(list)
    in_flight: dict[int, Attempt] = attrs.Factory(dict)
    attempts: int = 0
    may_have_run: bool = False
    failure: Outcome | None = None
    counted: bool = False
    closed: bool = False
    closed_at: float = 0.0

    @property
    def number(self) -> int:
        """Its number within this process."""
        return self.arrival.number
