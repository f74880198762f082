"""One WebSocket to a planner, from its opening until it breaks; whoever wants another opens it."""

import asyncio
from collections import deque

import aiohttp

from .wire import LARGEST, PATH, BadMessage

MOST_UNSENT = 256  # messages that wait for the connection; the oldest go first


def session(connect):
    """The session that links share; `connect` in seconds."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect),
    )


class Link:
    """`hear(data)` is told each binary message (a `BadMessage` of it ends the link), `ended()` once that the link is over,
    however that came. `protocol`: the subprotocol that the other side has to speak."""

    def __init__(self, session, connect, address, protocol, hear, ended):
        self.session, self.connect, self.address, self.protocol = session, connect, address, protocol
        self.hear, self.ended, self.unsent, self.news = hear, ended, deque(maxlen=MOST_UNSENT), asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, data):
        self.unsent.append(data)
        self.news.set()

    def close(self):
        self.task.cancel()

    async def _run(self):
        try:
            async with asyncio.timeout(self.connect):
                socket = await self.session.ws_connect(
                    f"http://{self.address}{PATH}", protocols=(self.protocol,), max_msg_size=LARGEST, autoclose=True
                )
            async with socket:
                if socket.protocol != self.protocol:
                    return
                sender = asyncio.get_running_loop().create_task(self._send(socket))
                try:
                    async for message in socket:
                        if message.type is not aiohttp.WSMsgType.BINARY:
                            return
                        self.hear(message.data)
                finally:
                    sender.cancel()
        except (aiohttp.ClientError, TimeoutError, OSError, BadMessage):
            pass
        finally:
            self.ended()

    async def _send(self, socket):
        while True:
            await self.news.wait()
            self.news.clear()
            while self.unsent:
                await socket.send_bytes(self.unsent.popleft())
