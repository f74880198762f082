"""How late this machine wakes those who sleep: in this process, where the emulators run, and in one beside it."""

import asyncio
import sys
import time

INTERVAL, GRAIN = 0.02, 0.1  # seconds between two wakings; for which the worst is kept
# Written to by a process of its own: lines of "monotonic time, how late", one for each GRAIN.
BESIDE = f"""
import sys, time
worst, since = 0.0, time.monotonic()
while True:
    due = time.monotonic() + {INTERVAL}
    time.sleep({INTERVAL})
    now = time.monotonic()
    worst = max(worst, now - due)
    if now - since >= {GRAIN}:
        sys.stdout.write(f"{{now}} {{worst}}\\n")
        sys.stdout.flush()
        worst, since = 0.0, now
"""


class Probe:
    """Measures until `close`; `wake_delays` lists (when, how late) for each GRAIN, on the steady clock."""

    def __init__(self) -> None:
        self.wake_delays: list[tuple[float, float]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._beside: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Begins."""
        self._beside = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "-c", BESIDE, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._own()), loop.create_task(self._read_beside())]

    async def _own(self) -> None:
        worst, since = 0.0, time.monotonic()
        while True:
            due = time.monotonic() + INTERVAL
            await asyncio.sleep(INTERVAL)
            now = time.monotonic()
            worst = max(worst, now - due)
            if now - since >= GRAIN:
                self.wake_delays.append((now, worst))
                worst, since = 0.0, now

    async def _read_beside(self) -> None:
        assert self._beside is not None
        assert self._beside.stdout is not None
        while line := await self._beside.stdout.readline():
            at, late = line.split()
            self.wake_delays.append((float(at), float(late)))

    async def close(self) -> None:
        """Ends both."""
        for task in self._tasks:
            task.cancel()
        if self._beside is not None:
            self._beside.kill()
            await self._beside.wait()
