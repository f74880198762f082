"""Which numbered messages of one sender were seen already (an anti-replay window). Free of I/O."""


class ReplayWindow:
    """Takes each number once. Numbers may come late and out of order; those that fell out of the window are refused."""

    SIZE = 1024

    def __init__(self):
        self.highest, self.seen = 0, 0  # bit n of `seen`: highest - n was taken

    def take(self, number):
        """Is it the first time that this number comes?"""
        if number > self.highest:
            ahead = number - self.highest
            self.seen = (self.seen << min(ahead, self.SIZE) | 1) & ((1 << self.SIZE) - 1)
            self.highest = number
            return True
        bit = 1 << (self.highest - number) if self.highest - number < self.SIZE else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True


class Incarnations:
    """The incarnations of one peer, the newest last: what comes late from a former one is told apart. Incarnations are random, so one
    that was not heard of before is taken for the newest; if it was in truth an older one, whose first message here came
    late, the true one holds again once the other was silent for `LATEST`."""

    KEPT, LATEST = 8, 2.0  # incarnations; seconds by which a message may be late

    def __init__(self):
        self.incarnations, self.heard_at = [], 0.0

    @property
    def current(self):
        return self.incarnations[-1] if self.incarnations else None

    def hear(self, now, incarnation):
        """Is it the incarnation that holds now?"""
        if incarnation != self.current:
            if incarnation in self.incarnations and now - self.heard_at < self.LATEST:
                return False
            others = [other for other in self.incarnations if other != incarnation]
            self.incarnations = [*others[1 - self.KEPT :], incarnation]
        self.heard_at = now
        return True
