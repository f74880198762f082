"""Which numbered messages of one sender were received already (an anti-replay window), and which of its incarnations is the
current one. Free of I/O; times are seconds."""


class ReplayWindow:
    """Accepts each number once. Numbers may come late and out of order; those below the window are refused."""

    SIZE = 1024

    def __init__(self) -> None:
        self.highest = 0
        self.accepted = 0  # bit n: `highest - n` was accepted

    def accept(self, number: int) -> bool:
        """Is it the first time that this number comes?"""
        if number > self.highest:
            ahead = number - self.highest
            self.accepted = (self.accepted << min(ahead, self.SIZE) | 1) & ((1 << self.SIZE) - 1)
            self.highest = number
            return True
        bit = 1 << (self.highest - number) if self.highest - number < self.SIZE else 0
        if not bit or self.accepted & bit:
            return False
        self.accepted |= bit
        return True


class Incarnations:
    """The incarnations of one peer, the newest last, so that late messages of a former one are told apart.

    Incarnations are random numbers, so one that was not seen before is taken for the newest. If it was in truth an older one,
    whose first message here came late, the true one becomes current again once the other was silent for `MAX_DELAY`.
    """

    REMEMBERED = 8
    MAX_DELAY = 2.0  # by which a message may be late

    def __init__(self) -> None:
        self.incarnations: list[int] = []
        self.received_at = 0.0

    @property
    def current(self) -> int | None:
        """The newest incarnation, or None where none is known."""
        return self.incarnations[-1] if self.incarnations else None

    def accept(self, now: float, incarnation: int) -> bool:
        """A message of that incarnation came: is it of the current one?"""
        if incarnation != self.current:
            if incarnation in self.incarnations and now - self.received_at < self.MAX_DELAY:
                return False
            others = [other for other in self.incarnations if other != incarnation]
            self.incarnations = [*others[1 - self.REMEMBERED :], incarnation]
        self.received_at = now
        return True
