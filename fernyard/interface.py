"""What the decisions are told and what they order: types only.

Times are whole tenths of a millisecond. Ids are as the wire gives them.
"""

from dataclasses import dataclass
from enum import Enum

Id = int | str


class Repeat(Enum):
    """May a req of a frontend run again?"""

    REPLAYABLE = "replayable"
    UNIQUED = "uniqued"
    NON_REPLAYABLE = "non-replayable"


class Group(Enum):
    """Which workers drop a repeat of a uniqued req."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Phase(Enum):
    GONE = "gone"
    DRAINING = "draining"
    READY = "ready"


class News(Enum):
    """How a roster message relates to the list held."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class End(Enum):
    """How a dispatch, a probe or a count call ended."""

    PASSED = "passed"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


NEVER_RAN = frozenset((End.FULL, End.NO_CONNECTION, End.UNSENT))


@dataclass(frozen=True, slots=True)
class Frontend:
    target: int
    timeout: int
    repeat: Repeat
    group: Group
    window: int


@dataclass(frozen=True, slots=True)
class Plan:
    rate: float
    burst: float
    open: int
    ceiling_rate: float
    ceiling_depth: float
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    frontends: tuple[Frontend, ...]
    plans: tuple[Plan, ...]
    gatekeepers: int
    zone: int
    must_follow: bool
    max_dispatches: int
    may_count: bool
    count_timeout: int
    settles: bool
    longest_return: int
    cold_share: float
    fall_multiple: float
    warm_up: int
    most_units: float = 1.0  # that one req may take
    handshake: float = 0.0  # price of a new connection, in reqs' values
    whole: bool = True  # told totals are of all gatekeepers, and not of one's own leases


# Happenings and orders: made by the thousand and never changed; freezing them would double their cost.


@dataclass(slots=True)
class Launched:
    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Machine:
    worker: Id
    started: int
    cell: int
    zone: int
    phase: Phase


@dataclass(slots=True)
class Roster:
    news: News
    machines: tuple[Machine, ...] = ()


@dataclass(slots=True)
class Arrived:
    req: int
    frontend: int
    plan: int
    customer: int
    left: int
    units: float = 1.0
    doors: int = 1


@dataclass(slots=True)
class Ended:
    """A dispatch ended. `closed`: the client has its final answer."""

    req: int
    dispatch: int
    worker: Id
    closed: bool
    end: End
    took: int
    units: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class Streaming:
    """The answer has begun: the client owns this dispatch now."""

    req: int
    dispatch: int


@dataclass(slots=True)
class Left:
    """The client went away: no answer is owed."""

    req: int


@dataclass(slots=True)
class Counted:
    name: int
    end: End
    total: float
    took: int


@dataclass(slots=True)
class Woke:
    token: int


@dataclass(slots=True)
class Probed:
    worker: Id
    end: End
    took: int
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class Heard:
    peer: int
    text: bytes


# Orders


@dataclass(slots=True)
class Dispatch:
    req: int
    worker: Id
    limit: int


@dataclass(slots=True)
class Deny:
    req: int
    return_in: int = 0


@dataclass(slots=True)
class Abort:
    req: int


@dataclass(slots=True)
class Cancel:
    req: int
    dispatch: int


@dataclass(slots=True)
class Wake:
    """`req`: the one it concerns. Once that is answered and nothing of it is out, there is no hurry."""

    after: int
    token: int
    req: int | None = None


@dataclass(slots=True)
class Add:
    name: int
    amount: float
    keep: int


@dataclass(slots=True)
class Probe:
    worker: Id


@dataclass(slots=True)
class Tell:
    """`peer` None: every peer."""

    peer: int | None
    text: bytes


@dataclass(slots=True)
class Follow:
    on: bool


@dataclass(slots=True)
class Fetch:
    pass


@dataclass(slots=True)
class HangUp:
    worker: Id


@dataclass(slots=True)
class Note:
    text: str


Happening = Launched | Roster | Arrived | Ended | Streaming | Left | Counted | Woke | Probed | Heard
Order = Dispatch | Deny | Abort | Cancel | Wake | Add | Probe | Tell | Follow | Fetch | HangUp | Note
