"""A loop for tests whose clock they put forward, so that they need not sleep."""

import asyncio


class ShiftedLoop(asyncio.SelectorEventLoop):
    """A loop whose clock is ahead by `shift` seconds."""

    shift = 0.0

    def time(self) -> float:
        return super().time() + self.shift
