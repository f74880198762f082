"""Timers of a core without I/O: calls that become due at a time. Times are seconds."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Timer = tuple[float, int, Callable[..., None], tuple[Any, ...]]  # when due; a number that orders those of one moment


class Timers:
    """Runs each call once its time has come, the earliest first."""

    def __init__(self) -> None:
        self._queue: list[Timer] = []
        self._number = 0

    def add(self, due_at: float, call: Callable[..., None], *arguments: Any) -> None:
        """`call(*arguments)` becomes due at that time."""
        self._number += 1
        heappush(self._queue, (due_at, self._number, call, arguments))

    def next_at(self) -> float | None:
        """When the next call is due, or None."""
        return self._queue[0][0] if self._queue else None

    def run_due(self, now: float) -> None:
        """Runs all calls that are due."""
        while self._queue and self._queue[0][0] <= now:
            _, _, call, arguments = heappop(self._queue)
            call(*arguments)
