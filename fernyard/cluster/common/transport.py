"""Datagrams and small HTTP servers between the system's own processes. Decides nothing."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from ...clients.connections import Written
from ...sockets import open_for
from . import messages
from .logs import ComponentLogger
from .messages import encode

log = ComponentLogger("internal")
Address = tuple[str, int]  # (ip, port)
HttpAnswer = tuple[int, bytes, Mapping[str, str] | None]  # (status, body, headers)
BACKLOG = 512  # connections that the kernel queues
BODY_LIMIT = 1 << 20  # bytes of a request


class Datagrams(asyncio.DatagramProtocol):
    """Messages to and from other processes, each in one datagram; what cannot be decoded is dropped."""

    def __init__(
        self, on_message: Callable[[Any, Address], None], decode: Callable[[bytes], Any] = messages.decode
    ) -> None:
        """`decode`: bytes to a message; raises msgspec.MsgspecError."""
        self.on_message, self.decode = on_message, decode
        self.transport: asyncio.DatagramTransport | None = None
        self.dropped = 0

    async def open(self, address: Address) -> None:
        """Binds to `address`; raises OSError."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio once the socket is open."""
        self.transport = transport  # type: ignore[assignment]  # always a DatagramTransport here

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Called by asyncio with each datagram."""
        try:
            message = self.decode(data)
        except msgspec.MsgspecError:
            self.dropped += 1
            return
        try:
            self.on_message(message, address)
        except Exception:
            log.exception("The handler of a message failed.", kind=type(message).__name__)

    def send(self, message: messages.Message, address: Address) -> None:
        """Sends a message; it may be lost."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(encode(message), address)

    def error_received(self, error: Exception) -> None:
        """Called by asyncio where a datagram could not be sent."""
        self.dropped += 1

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()


class CallerConnection(RequestHandler):
    """A connection that knows since when the request on it can have been under way: a caller sends the next one only once it has
    had the answer before it, and the first one once the handshake is over.

    `sent_after`: seconds of the loop's clock; the request that came last was sent later than that.
    """

    __slots__ = ("_is_serving", "_spoke_at", "sent_after")
    sent_after: float

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio once the connection is taken in."""
        super().connection_made(transport)
        self._is_serving = False
        self._spoke_at = self.sent_after = self._loop.time() - open_for(transport)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with bytes of the caller. Those that came before the last answer was out are as old as what was
        answered."""
        if not self._is_serving and not self._messages:
            self.sent_after = self._spoke_at
        super().data_received(data)

    def begin_request(self) -> None:
        """A request is being served."""
        self._is_serving = True

    def end_request(self) -> None:
        """Its answer was written."""
        self._is_serving, self._spoke_at = False, self._loop.time()


def sent_after(request: BaseRequest) -> float:
    """Seconds of the loop's clock: the caller sent the request later than that. Of requests that `serve` takes."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return connection.sent_after


class CallServer(Server):
    """Makes connections that are `CallerConnection`s."""

    def __call__(self) -> RequestHandler:
        """Called by asyncio for each connection."""
        return CallerConnection(self, loop=asyncio.get_running_loop(), **self._kwargs)


async def serve(
    handle: Callable[[BaseRequest], Awaitable[HttpAnswer]],
    address: Address,
    body_limit: int = BODY_LIMIT,
    cancels_abandoned: bool = False,
) -> asyncio.Server:
    """An HTTP server at `address`; an exception of `handle` is logged and answered 500, and a body that is too long 413.

    `cancels_abandoned`: `handle` is cancelled when its caller closes the connection.
    """

    async def answer(request: BaseRequest) -> Response:
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.begin_request()
        try:
            status, body, headers = await handle(request)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except HTTPRequestEntityTooLarge as error:
            status, body, headers = error.status, b"", None
        except Exception:
            log.exception("The handler of a call failed.", path=request.path)
            status, body, headers = 500, b"", None
        return Written(connection.end_request, status=status, body=body, headers=headers)

    loop = asyncio.get_running_loop()

    def make_request(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> BaseRequest:
        return BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=body_limit)

    server = CallServer(answer, request_factory=make_request, access_log=None, handler_cancellation=cancels_abandoned)
    return await loop.create_server(server, *address, backlog=BACKLOG, reuse_address=True)
