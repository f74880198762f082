"""Datagrams and small HTTP servers between the system's own processes. Decides nothing."""

import asyncio

import msgspec
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from .logs import ComponentLogger
from .messages import decode, encode

log = ComponentLogger("internal")


class Datagrams(asyncio.DatagramProtocol):
    """Messages to and from other processes, each in one datagram; what cannot be read is dropped."""

    def __init__(self, heard, decode=decode):
        """`heard(message, address)`; `decode`: bytes to a message, or msgspec.MsgspecError."""
        self.heard, self.decode, self.transport, self.dropped = heard, decode, None, 0

    async def open(self, address):
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        try:
            message = self.decode(data)
        except msgspec.MsgspecError:
            self.dropped += 1
            return
        try:
            self.heard(message, address)
        except Exception:
            log.exception("A message broke its handler.", kind=type(message).__name__)

    def send(self, message, address):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(encode(message), address)

    def error_received(self, why):
        self.dropped += 1

    def close(self):
        if self.transport is not None:
            self.transport.close()


async def serve(handle, address, body_limit=1 << 20):
    """An HTTP server at `address`; `handle(request)` gives (status, body, headers)."""

    async def answer(request):
        try:
            status, body, headers = await handle(request)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            log.exception("A call broke its handler.", path=request.path)
            status, body, headers = 500, b"", None
        return Response(status=status, body=body, headers=headers)

    loop = asyncio.get_running_loop()

    def made(message, payload, protocol, writer, task):
        return BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=body_limit)

    server = Server(answer, request_factory=made, access_log=None, handler_cancellation=False)
    return await loop.create_server(server, *address, backlog=512, reuse_address=True)
