"""Serves clients on aiohttp's low-level server: each req is reported, and answered when it is told to."""

import asyncio
import logging
from dataclasses import dataclass

# `aiohttp.web` would bring in all that applications use: a fifteenth of the start.
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server
from multidict import CIMultiDict

from .read import Malformed, Reader, passed_on

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Taken:
    """A req came in whole; `path`, `headers` and `body` go on as they came."""

    number: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    frontend: int
    plan: int
    customer: int
    left: int
    units: float
    doors: int


@dataclass(slots=True)
class Gone:
    """The client of a req went away: nobody waits for its answer."""

    number: int


class ClientServer:
    def __init__(self, config, report, counts):
        self.limits, self.report, self.counts = config.limits, report, counts
        self.reader = Reader(config)
        self.number, self.waiting, self.stopping = 0, {}, False
        self.busy, self.used = set(), {}          # connections with a req in hand; order of their last use
        self.listener = self.server = None

    async def listen(self, host, port):
        loop = asyncio.get_running_loop()
        self.server = Server(
            self._handle, handler_cancellation=True, access_log=None, auto_decompress=False,
            keepalive_timeout=self.limits.client_idle, request_factory=self._request)
        self.listener = await loop.create_server(self.server, host, port, backlog=self.limits.backlog)

    def answer(self, number, status, body, headers, return_in):
        """Answers a req whole; a client that has gone is not answered."""
        waiting = self.waiting.pop(number, None)
        if waiting is not None and not waiting.done():
            waiting.set_result((status, body, headers, return_in))

    def stop(self):
        """From now on each answer is the last on its connection."""
        self.stopping = True

    def close_idle(self, most=0):
        """Closes connections between reqs, the longest unused first, until `most` are open."""
        connections = self.server.connections
        idle = sorted((c for c in connections if c not in self.busy), key=lambda c: self.used.get(c, 0))
        for connection in idle[:len(connections) - most]:
            connection.force_close()
        self._forget_closed()

    def _forget_closed(self):
        connections = set(self.server.connections)
        self.used = {c: at for c, at in self.used.items() if c in connections}

    async def close(self, patience):
        """Ends when all that is in hand was answered and written; connections that stay open without a req
        are closed after `patience` seconds."""
        if self.listener is None:
            return
        self.listener.close()
        self.close_idle()
        until = asyncio.get_running_loop().time() + patience
        while self.server.connections and (self.busy or asyncio.get_running_loop().time() < until):
            await asyncio.sleep(0.01)
        await self.server.shutdown(0)

    def _request(self, message, payload, protocol, writer, task):
        if message.method == "UNKNOWN":    # what the library makes of bytes that are no message
            self.counts.add("malformed", "message")
        return BaseRequest(message, payload, protocol, writer, task, asyncio.get_running_loop(),
                           client_max_size=self.limits.body)

    async def _handle(self, request):
        try:
            return await self._serve(request)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            self.counts.add("faults")
            log.exception("client_fault")
            return self._response(500)

    async def _serve(self, request):
        path, headers = request.raw_path, request.headers
        if path == "/healthz" and request.method == "GET":
            return self._response(503 if self.stopping else 200)
        try:
            told = self.reader.read(request.method, path, headers)
            if headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0
            body = await request.read() if request.body_exists else b""
        except Malformed as why:
            self.counts.add("malformed", str(why))
            return self._response(why.status)
        except (HTTPRequestEntityTooLarge, RequestPayloadError) as why:
            self.counts.add("malformed", "body")
            return self._response(getattr(why, "status", 400))
        self.number = number = self.number + 1
        waiting = self.waiting[number] = asyncio.get_running_loop().create_future()
        self.report(Taken(number, request.method, path, passed_on(request.raw_headers), body, *told))
        connection = request.protocol
        self.busy.add(connection)
        if connection not in self.used and len(self.server.connections) > self.limits.clients:
            self.close_idle(self.limits.clients)
        try:
            return self._response(*await waiting)
        except asyncio.CancelledError:
            self.report(Gone(number))
            raise
        finally:
            self.waiting.pop(number, None)
            self.busy.discard(connection)
            self.used[connection] = number
            if len(self.used) > 2 * self.limits.clients:
                self._forget_closed()

    def _response(self, status, body=b"", headers=(), return_in=0):
        told = CIMultiDict(passed_on(headers)) if headers else None
        if return_in:
            told = {"Retry-After": f"{return_in / 10_000:.4f}"}
        response = Response(status=status, body=body, headers=told)
        if self.stopping:
            response.force_close()
        return response
