"""A stand-in for the network between two processes: a port of loopback that leads to another, which can be cut, cut one way,
slowed, or closed. Bytes held back by a cut come when it heals, as TCP would send them again."""

import asyncio

from .loopback import HOST

OPEN, CUT, CUT_THERE, CUT_BACK, CLOSED = "open", "cut", "cut there", "cut back", "closed"


class Lead:
    """From `port` of ours to `target` (host, port). `mode` as above ("there": from who connects), `delay` in seconds."""

    def __init__(self, target):
        self.target, self.mode, self.delay, self.port = target, OPEN, 0.0, 0
        self.server, self.changed, self.tasks = None, asyncio.Event(), set()

    async def start(self):
        self.server = await asyncio.start_server(self._carry, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def set(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        self.changed.set()
        self.changed = asyncio.Event()
        if mode == CLOSED:
            # As a machine that resets what was open, and refuses what comes.
            for task in list(self.tasks):
                task.cancel()

    async def _carry(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        far = None
        try:
            await self._passes(CUT_THERE)
            far_reader, far = await asyncio.open_connection(*self.target)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(reader, far, CUT_THERE))
                both.create_task(self._pump(far_reader, writer, CUT_BACK))
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            pass
        finally:
            self.tasks.discard(task)
            for end in (writer, far):
                if end is not None:
                    end.transport.abort()

    async def _passes(self, way):
        while self.mode in (CUT, way):
            await self.changed.wait()
        if self.mode == CLOSED:
            raise ConnectionResetError("closed")

    async def _pump(self, reader, writer, way):
        while data := await reader.read(65536):
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._passes(way)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("ended")

    async def close(self):
        self.server.close()
        self.set(CLOSED)
        await asyncio.sleep(0)
