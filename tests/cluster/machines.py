"""A machine of the simulation: its process, its disk, and what waits for either."""

from collections.abc import Callable
from enum import Enum
from typing import Any

import attrs

from fernyard.cluster.control_plane import commands
from fernyard.cluster.control_plane.state import ControlState


class Disk(Enum):
    """How a disk works: as it should, not at all until it recovers, or refusing every write."""

    WORKING = "working"
    STALLED = "stalled"
    FULL = "full"


@attrs.frozen
class Deferred:
    """A call of the simulation that waits for a machine or a disk."""

    call: Callable[..., None]
    arguments: tuple[Any, ...]

    def run(self) -> None:
        """Makes the call."""
        self.call(*self.arguments)


@attrs.define(eq=False)
class Machine:
    """A machine with its disk.

    `areas` is what would survive a loss of power, as every save is synced; of `writing` a first part may survive as well, and
    what is in `erased` may come back, as a folder isn't synced after it. `suspended`: what waits while the process is suspended;
    None: it runs. `published`: when which state was published.
    """

    name: str
    ip: str
    areas: dict[str, bytes] = attrs.Factory(dict)
    replica: Any = None  # Replica | None, which tests look into
    lease: Any = None  # LeaseManager | None
    incarnation: int = 0
    suspended: list[Deferred] | None = None
    disk: Disk = Disk.WORKING
    stalled: list[Deferred] = attrs.Factory(list)
    writing: list[commands.StoreArea] = attrs.Factory(list)
    erased: dict[str, bytes] = attrs.Factory(dict)
    published: list[tuple[float, ControlState]] = attrs.Factory(list)

    def is_running(self) -> bool:
        """Is its process up and not suspended?"""
        return self.replica is not None and self.suspended is None
