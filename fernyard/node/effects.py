"""What the reducer asks for: reading and writing is done by others."""

from dataclasses import dataclass

from ..clients import Taken


@dataclass(slots=True)
class Answer:
    """The final answer of a req, whole. `return_in` in tenths of a millisecond."""

    number: int
    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    return_in: int = 0


@dataclass(slots=True)
class Send:
    """A dispatch; `limit` in tenths of a millisecond."""

    number: int
    dispatch: int
    worker: str
    address: str
    req: Taken
    limit: int


@dataclass(slots=True)
class GiveUp:
    number: int
    dispatch: int


@dataclass(slots=True)
class Call:
    """An add on the counter; `keep` in tenths of a millisecond."""

    name: int
    amount: float
    keep: int


@dataclass(slots=True)
class AskPlanner:
    """An ask of a forwarder to the planner at that address; `wants` are `plan.Want`s."""

    planner: str
    ask: int
    wants: tuple


@dataclass(slots=True)
class AskOrder:
    """An ask of the order's follower to a planner (`accord.Follow`)."""

    told: object


@dataclass(slots=True)
class KeepConfig:
    """The configuration of that digest is the agreed one: it is kept for the next start."""

    digest: str


@dataclass(slots=True)
class ReadConfig:
    """Read the configuration again; what it holds comes back as an event."""


@dataclass(slots=True)
class Move:
    """Discovery and the counter are at other addresses from now on."""

    discovery: str
    counter: tuple[str, int] | None


@dataclass(slots=True)
class Route:
    """Reqs are found in this `routes.RouteTable` from now on."""

    table: object


@dataclass(slots=True)
class LastAnswers:
    """Told to stop: each answer from now on is the last on its connection."""


@dataclass(slots=True)
class CloseIdle:
    """No new connection comes any more: those between reqs are closed."""


@dataclass(slots=True)
class Finish:
    """All that was taken is answered."""
