"""What every emulated HTTP server of the lab has: a port of loopback that can be closed and opened again."""

import asyncio

from aiohttp import web

HOST = "127.0.0.1"


class LoopbackServer:
    """Serves `self.handle(request)` at `HOST:port` (0: any free port, kept from then on)."""

    def __init__(self, port=0):
        self.port, self.runner, self.site, self.loop = port, None, None, None

    async def start(self):
        self.loop = asyncio.get_running_loop()
        self.runner = web.ServerRunner(web.Server(self.handle), handle_signals=False, access_log=None)
        await self.runner.setup()
        await self.listen()
        return self

    async def listen(self):
        self.site = web.TCPSite(self.runner, HOST, self.port, reuse_address=True)
        await self.site.start()
        self.port = self.site._server.sockets[0].getsockname()[1]

    async def vanish(self):
        """As a machine that is gone: the port is closed and connections kept alive break too, else what was pooled
        would still be served."""
        await self.site.stop()
        for handler in list(self.runner.server.connections):
            if handler.transport is not None:
                handler.transport.abort()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def close(self):
        if self.runner is not None:
            await self.runner.cleanup()
