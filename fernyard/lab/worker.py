"""An emulated worker on loopback: an aiohttp server that does what `WorkerModel` decides.

It keeps the protocol page's terms: 404 to a req with no X-Correlation-Id, 200 with a body when served, 503
with `X-Unprocessed: 1` when turned away before it ran, a 500 or a reset when it may have run. `dispatches`
records every req it began, with its arrival time, so that a runner can check drains against the cutoff.
"""

import asyncio
from collections import deque

from aiohttp import web

from .loopback import LoopbackServer
from .model import Fault, Shape, WorkerModel


class EmulatedWorker(LoopbackServer):
    """One worker at `HOST:port` (0: any free port). `start()` and `close()` are coroutines;
    `set_fault(fault)` and `restart()` change it while it serves. Times are of the running loop's clock."""

    def __init__(self, name, seed, shape=Shape(), port=0):
        super().__init__(port)
        self.name, self.shape = name, shape
        self.model = WorkerModel(name, seed, shape)
        self.dispatches = []  # (loop time, correlation id, whether it may have run, method)
        self.waiting = deque()

    async def start(self):
        self.model.started = asyncio.get_running_loop().time()
        return await super().start()

    async def set_fault(self, fault):
        """Takes `fault` (a Fault or its value) from now on; REFUSE stops listening until another fault
        comes."""
        fault = Fault(fault)
        before = self.model.fault
        self.model.step(self.loop.time(), "fault", fault.value)
        if fault is Fault.REFUSE and before is not Fault.REFUSE:
            await self.vanish()
        elif before is Fault.REFUSE and fault is not Fault.REFUSE:
            await self.listen()
        if before is Fault.PAUSE and fault is not Fault.PAUSE:
            self._admit()

    async def restart(self):
        """Comes back cold at the same address, with nothing in line: what waited is reset."""
        while self.waiting:
            self.waiting.popleft().cancel()
        if self.model.fault is Fault.REFUSE:
            await self.listen()
        self.model.step(self.loop.time(), "restart")

    def _admit(self):
        while self.waiting:
            future = self.waiting[0]
            verdict = self.model.step(self.loop.time(), "admit", future.cid)
            if verdict.answer != "serve":
                return
            self.waiting.popleft()
            if not future.done():
                future.set_result(verdict)

    async def handle(self, request):
        cid = request.headers.get("X-Correlation-Id")
        await request.read()
        if not cid:
            return web.Response(status=404, text="no id")
        verdict = self.model.step(self.loop.time(), "arrive", cid)
        self.dispatches.append((self.loop.time(), cid, verdict.answer != "unprocessed", request.method))
        if verdict.answer == "hold":
            future = self.loop.create_future()
            future.cid = cid
            self.waiting.append(future)
            try:
                verdict = await future
            except asyncio.CancelledError:
                # The gatekeeper gave up, or the worker restarted: the place in line goes to the next.
                if future in self.waiting:
                    self.waiting.remove(future)
                    self.model.waiting -= 1
                if request.transport is not None:
                    request.transport.abort()
                raise
        if verdict.answer == "unprocessed":
            return web.Response(status=503, headers={"X-Unprocessed": "1"})
        if verdict.answer == "spoil":
            return web.Response(status=500, text="spoilt")
        if verdict.answer in ("reset", "garble"):
            if request.transport is not None:
                if verdict.answer == "garble":
                    request.transport.write(b"HTTP/1.1 2OO NOT\r\nContent-Length: x\r\n\r\n")
                request.transport.abort()
            raise asyncio.CancelledError()
        try:
            await asyncio.sleep(verdict.delay)
        finally:
            self.model.step(self.loop.time(), "done")
            self._admit()
        return web.Response(status=200, body=f"served {cid} by {self.name}".encode())

    async def close(self):
        while self.waiting:
            self.waiting.popleft().cancel()
        await super().close()
