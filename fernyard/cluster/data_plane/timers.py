"""Timers of a core without I/O: calls that become due at a time. Times are seconds."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple


class Timer(NamedTuple):
    """`number` orders timers of one moment."""

    due_at: float
    number: int
    call: Callable[..., None]
    arguments: tuple[Any, ...]


class Timers:
    """Runs each call once its time has come, the earliest first."""

    def __init__(self) -> None:
        self._queue: list[Timer] = []
        self._number = 0

    def add(self, due_at: float, call: Callable[..., None], *arguments: Any) -> None:
        """`call(*arguments)` becomes due at that time."""
        self._number += 1
        heappush(self._queue, Timer(due_at, self._number, call, arguments))

    def next_at(self) -> float | None:
        """When the next call is due, or None."""
        return self._queue[0].due_at if self._queue else None

    def run_due(self, now: float) -> None:
        """Runs all calls that are due."""
        while self._queue and self._queue[0].due_at <= now:
            timer = heappop(self._queue)
            timer.call(*timer.arguments)
