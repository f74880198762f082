"""What clients, workers and the operator noted in a run. Times are seconds of one steady clock, from the start of the load."""

from enum import Enum

import attrs


class Ending(Enum):
    """How a client's try ended."""

    ANSWERED = "answered"
    CLOSED = "closed"  # its connection ended without a complete answer
    SILENT = "silent"  # nothing came until its deadline
    LEFT = "left"
    UNCONNECTED = "unconnected"


class WorkEnding(Enum):
    """How a request ended at a worker."""

    ANSWERED = "answered"
    REJECTED = "rejected"  # with `Not-Run`
    BROKEN_OFF = "broken off"  # by the worker
    CANCELLED_WAITING = "cancelled waiting"  # its connection ended before it ran
    CANCELLED_RUNNING = "cancelled running"


@attrs.define
class Try:
    """One try of a client, with an `Attempt-Id` of its own (`id`). `written_at`: its last byte was sent; `left_at`: its client
    left; `reused`: on a connection that had carried another; `retry_after`: seconds that it was asked to wait; `wrong`: what is wrong with its answer, empty if nothing."""

    id: str
    kind: str
    tenant: str
    gateway: str
    sent_at: float
    deadline_at: float
    reused: bool
    repeat: bool
    written_at: float | None = None
    left_at: float | None = None
    ended_at: float | None = None
    ending: Ending | None = None
    status: int = 0
    retry_after: float = 0.0
    wrong: str = ""


@attrs.define
class Work:
    """One arrival of a request at a worker. `until`: when its run would end, None before it began."""

    id: str
    worker: str
    zone: str
    arrived_at: float
    tenant: str = ""
    deadline_at: float = 0.0
    began_at: float | None = None
    until: float | None = None
    ended_at: float | None = None
    ending: WorkEnding | None = None


@attrs.define
class Call:
    """One call of the operator. `status`: 0 where none came; `version`, `body`: of a configuration that was sent or read."""

    kind: str
    how: str
    process: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    version: int = 0
    body: bytes = b""


@attrs.define
class Disturbance:
    """What was done to a process, or to a worker or link: from `begin` until `end`. `planned`: SIGTERM or SIGHUP."""

    name: str
    kind: str
    begin: float
    end: float
    planned: bool


@attrs.define
class Exit:
    """A process ended. `terminated_at`: when SIGTERM was sent, None without; `expected`: SIGTERM or SIGKILL was sent;
    `started_at`: when the process was made."""

    name: str
    at: float
    status: int
    terminated_at: float | None
    expected: bool
    started_at: float = 0.0


@attrs.define
class Usage:
    """Descriptors and memory of a process, before the load and after it."""

    name: str
    descriptors: tuple[int, int]
    memory_mb: tuple[float, float]


@attrs.define
class Records:
    """All of one run. `draining`: when the list first showed a worker as draining; `wake_delays`: (when, how late) the probes were
    woken, the worst of each tenth of a second; `cold`: workers that had just started."""

    tries: list[Try] = attrs.Factory(list)
    work: list[Work] = attrs.Factory(list)
    calls: list[Call] = attrs.Factory(list)
    disturbances: list[Disturbance] = attrs.Factory(list)
    exits: list[Exit] = attrs.Factory(list)
    usage: list[Usage] = attrs.Factory(list)
    draining: dict[str, float] = attrs.Factory(dict)
    wake_delays: list[tuple[float, float]] = attrs.Factory(list)
    ended_at: float = 0.0
