"""How much memory the bodies of requests and answers may take at once. Free of I/O; sizes are bytes.

What is promised to all bodies in hand never exceeds the capacity. A claim that has no room waits, first come first served among
those of its kind; small claims have a reserve of their own, so that a few large ones do not starve them.
"""

from collections import deque
from collections.abc import Callable

import attrs

SMALL_BODY = 1 << 16


class NoRoomError(Exception):
    """A body finds no room in memory: it can't be read now."""


@attrs.define(eq=False)
class Claim:
    """Memory that one body may take. `on_granted` is called once it may; `is_granted`: it may."""

    size: int
    on_granted: Callable[[], None]
    is_granted: bool = False

    @property
    def is_small(self) -> bool:
        """Has it a part in the reserve?"""
        return self.size <= SMALL_BODY


class MemoryBudget:
    """The claims of one process on one capacity."""

    def __init__(self, capacity: int, reserve: int, most_waiting: int | None = None) -> None:
        """`reserve`: the part of `capacity` that only small claims get; `most_waiting`: large claims that wait at once, where
        there is a bound."""
        self.capacity, self.reserve, self.most_waiting = capacity, reserve, most_waiting
        self.used = self.used_large = 0
        self._large: deque[Claim] = deque()
        self._small: deque[Claim] = deque()

    def claim(self, size: int, on_granted: Callable[[], None]) -> Claim:
        """A claim that is granted at once or waits. Raises NoRoomError where it could never be granted or too many wait."""
        claim = Claim(size, on_granted)
        if claim.is_small:
            self._small.append(claim)
        elif size > self.capacity - self.reserve:
            raise NoRoomError(f"a body of {size} bytes is more than all that may be held at once")
        elif self.most_waiting is not None and len(self._large) >= self.most_waiting:
            raise NoRoomError(f"{len(self._large)} bodies wait for room already")
        else:
            self._large.append(claim)
        self._grant()
        return claim

    def shrink(self, claim: Claim, size: int) -> None:
        """A granted claim needs no more than `size`."""
        saved = claim.size - size
        if saved > 0 and claim.is_granted:
            self.used -= saved
            self.used_large -= 0 if claim.is_small else saved if size > SMALL_BODY else claim.size
            claim.size = size
            self._grant()

    def release(self, claim: Claim) -> None:
        """The body is gone, or it is not waited for any more."""
        if not claim.is_granted:
            waiting = self._small if claim.is_small else self._large
            if claim in waiting:
                waiting.remove(claim)
        else:
            claim.is_granted = False
            self.used -= claim.size
            self.used_large -= 0 if claim.is_small else claim.size
        self._grant()

    def _grant(self) -> None:
        for waiting in (self._small, self._large):
            while waiting and self._fits(waiting[0]):
                claim = waiting.popleft()
                claim.is_granted = True
                self.used += claim.size
                self.used_large += 0 if claim.is_small else claim.size
                claim.on_granted()

    def _fits(self, claim: Claim) -> bool:
        if self.used + claim.size > self.capacity:
            return False
        return claim.is_small or self.used_large + claim.size <= self.capacity - self.reserve
