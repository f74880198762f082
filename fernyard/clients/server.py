"""Serves clients on aiohttp's low-level server: each req is reported, and answered when it is told to."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

import structlog
from multidict import CIMultiDict

from .read import ID, Malformed, Reader, passed_on
from .serving import NO_REQUEST, RequestServer

log = structlog.get_logger(__name__)


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


class ClientServer(RequestServer):
    def __init__(self, config, report, counts, routes=None, unmatched=None):
        super().__init__(config.limits, report, counts)
        self.reader = Reader(config, routes, unmatched)
        self.ids = OrderedDict()  # of late, the open ones among them

    async def listen(self, host, port):
        self._open(host, port)

    def answer(self, number, status, body, headers, return_in):
        """Answers a req whole; a client that has gone is not answered."""
        waiting = self.waiting.pop(number, None)
        if waiting is not None and not waiting.done():
            waiting.set_result((status, body, headers, return_in))

    def route(self, table):
        """Reqs read from now on are found in `table`; those taken keep what they were taken for."""
        self.reader.routes = table

    def stop(self):
        """From now on each answer is the last on its connection."""
        self.stopping = True

    def close_idle(self):
        """Closes connections between reqs."""
        self.connections.drop_unused()

    async def close(self, patience):
        """Ends when all that is in hand was answered and written; connections that stay open without a req
        are closed after `patience` seconds."""
        if self.connections is None:
            return
        self.connections.stop_listening()
        self.close_idle()
        until = asyncio.get_running_loop().time() + patience
        while self.connections.open and (self.waiting or asyncio.get_running_loop().time() < until):
            await asyncio.sleep(0.01)
        await self.connections.shutdown(0)

    def _fault(self):
        log.exception("client_fault")

    async def _serve(self, request):
        path, headers = request.raw_path, request.headers
        if path == "/healthz" and request.method == "GET":
            return self._response(
                503 if self.stopping else 200, written=lambda: self.connections.ended(request.protocol)
            )
        try:
            *told, path = self.reader.read(request.method, path, headers)
            body = await self._body(request)
            self._note_id(headers[ID])
        except NO_REQUEST as why:
            return self._refused(why)
        self.number = number = self.number + 1
        waiting = self.waiting[number] = asyncio.get_running_loop().create_future()
        connection = request.protocol
        self.connections.begun(connection)
        self.report(Taken(number, request.method, path, passed_on(request.raw_headers), body, *told))
        try:
            response = self._answer_of(*await waiting, lambda: self.connections.ended(connection))
        except asyncio.CancelledError:
            self.report(Gone(number))
            raise
        finally:
            self.waiting.pop(number, None)
        if connection.behind:
            response.force_close()
        return response

    def _note_id(self, told):
        """Each req has an id of its own: one that was told before is another's."""
        if told in self.ids:
            raise Malformed(409, "id_taken")
        self.ids[told] = None
        if len(self.ids) > self.limits.ids:
            self.ids.popitem(last=False)

    def _answer_of(self, status, body, headers, return_in, written):
        told = CIMultiDict(passed_on(headers)) if headers else None
        if return_in:
            told = {"Retry-After": f"{return_in / 10_000:.4f}"}
        return self._response(status, body, told, written)
