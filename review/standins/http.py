"""The least of HTTP/1.1 that the stand-ins need: one server, and calls on connections of their own. Times are seconds."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

LONGEST_HEAD = 1 << 16
REASONS = {200: "OK", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


class BrokenOffError(Exception):
    """A connection ended before its message did."""


@dataclass
class Message:
    """A request or an answer. `start`: the three parts of its first line; header names are in lower case."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Raises BrokenOffError where the connection ends first."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as error:
        raise BrokenOffError(str(error)) from error
    return Message(lines[0].split(" ", 2), headers, body)


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """An answer with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


Handler = Callable[[Message], Awaitable[bytes | None]]


class Server:
    """Answers requests on kept connections, one at a time on each. A handler that returns None says nothing and ends the
    connection; it is cancelled where the caller closes."""

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int = 0) -> str:
        """The address at which it listens."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=LONGEST_HEAD, backlog=512)
        return f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                answering = asyncio.ensure_future(self.handle(request))
                ending = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((answering, ending), return_when=asyncio.FIRST_COMPLETED)
                if not answering.done():
                    answering.cancel()
                    return
                answer = answering.result()
                if answer is None:
                    ending.cancel()
                    return
                writer.write(answer)
                await writer.drain()
                if ending.done() or request.headers.get("connection", "").lower() == "close":
                    ending.cancel()
                    return
                ending.cancel()
                with suppress(asyncio.CancelledError):
                    await ending
        except (BrokenOffError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def close(self) -> None:
        """Ends it with its connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def call(
    address: str, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b"", limit: float = 1.0
) -> Message:
    """One request on a connection of its own. Raises OSError, BrokenOffError, and TimeoutError after `limit`."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    lines += [f"Content-Length: {len(body)}"] if body else []
    async with asyncio.timeout(limit):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode() + body)
            return await read_message(reader)
        finally:
            writer.close()
