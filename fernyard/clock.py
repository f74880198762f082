"""The machines' shared clock, in tenths of a millisecond; it never steps back."""

import time


class Clock:
    """Where the machine's clock is set back, ours goes at half its pace until the two meet again."""

    def __init__(self, unix=time.time, steady=time.monotonic):
        self.unix, self.steady = unix, steady
        self.now, self.at = unix(), steady()

    def __call__(self):
        unix, at = self.unix(), self.steady()
        self.now, self.at = max(unix, self.now + (at - self.at) / 2), at
        return int(self.now * 10_000)
