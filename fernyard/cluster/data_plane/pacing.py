"""Large answers share a narrow link with small ones: all large ones together get a fraction of it, so that a small one, a count
or a heartbeat finds the link nearly free. Free of I/O."""

LINK_FRACTION = 0.7  # for large answers together
SMALL_ANSWER = 16 * 1024  # bytes up to which an answer is not paced
CHUNK = 4 * 1024  # bytes written at once of a large answer


class Pacer:
    """One direction of one link."""

    def __init__(self, rate: float) -> None:
        """`rate`: bytes a second; 0: the link is not narrow, nothing is paced."""
        self.rate, self._free_at = LINK_FRACTION * rate, 0.0

    def delay_after(self, now: float, size: int) -> float:
        """Seconds to wait after `size` bytes of a large answer."""
        if not self.rate:
            return 0.0
        self._free_at = max(self._free_at, now) + size / self.rate
        return self._free_at - now
