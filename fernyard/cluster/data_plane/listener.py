"""The clients' side, on the gatekeeper's own connections (`fernyard.clients`). Decides nothing."""

import asyncio
from dataclasses import replace

import attrs
from aiohttp.web_response import StreamResponse
from multidict import CIMultiDict

from ...clients.read import Malformed, check_framing, passed_on
from ...clients.serving import NO_REQUEST, RequestServer
from ..common.logs import ComponentLogger
from .events import Asked, Gone
from .pacing import PIECE, SMALL

log = ComponentLogger("front")
ID, LEFT = "Attempt-Id", "Deadline-Ms"
ONCE = (ID, LEFT, "Key", "Host", "Content-Length", "Transfer-Encoding")  # headers that stand there once at most


@attrs.define
class Taken:
    """A request as it came; `tenant` is set when it goes to a worker."""

    id: str
    method: str
    host: str
    path: str
    headers: list
    body: bytes
    tenant: str | None = None


class ClientListener(RequestServer):
    """Reads requests and writes answers; `report` hears `Asked` and `Gone`."""

    def __init__(self, limits, report, counts, pace):
        """`pace`: of large answers on their way out."""
        super().__init__(limits, report, counts)
        self.pacer, self.taken = pace, {}

    def listen(self, address):
        self._open(*address)

    def _fault(self):
        log.exception("A request broke its handler.")

    async def _serve(self, request):
        headers, connection = request.headers, request.protocol
        id, told = headers.get(ID), headers.get(LEFT, "30000")
        host, path = headers.get("Host", ""), request.raw_path
        try:
            self._check(id, told, path)
            check_framing(headers, ONCE)
            body = await self._body(request)
        except NO_REQUEST as why:
            return self._refused(why)
        self.number = number = self.number + 1
        waiting = self.waiting[number] = asyncio.get_running_loop().create_future()
        self.taken[number] = Taken(id, request.method, host, path, passed_on(request.raw_headers), body)
        self.connections.begun(connection)
        try:
            self.report(Asked(number, request.method, host, path, headers.get("Key"), int(told) / 1000))
            status, body, told = await waiting
        except asyncio.CancelledError:
            self.report(Gone(number))
            raise
        finally:
            self.waiting.pop(number, None)
            self.taken.pop(number, None)
        if self.pacer.rate and len(body) > SMALL:
            return await self._in_pieces(request, status, body, told)
        response = self._response(status, body, told, lambda: self.connections.ended(connection))
        if connection.behind:
            response.force_close()
        return response

    @staticmethod
    def _check(id, told, path):
        if not id or not (told.isascii() and told.isdigit()):
            raise Malformed(400, "figures")
        if not path.startswith("/") or not path.isascii() or "#" in path:
            raise Malformed(400, "path")  # it would not go on unchanged

    async def _in_pieces(self, request, status, body, headers):
        """A large answer, so that small ones come between its pieces on a narrow link."""
        loop, response = asyncio.get_running_loop(), StreamResponse(status=status, headers=headers)
        response.content_length = len(body)
        if self.stopping or request.protocol.behind:
            response.force_close()
        await response.prepare(request)
        for begin in range(0, len(body), PIECE):
            if begin:  # and no pause after the last: the client may send its next request at once
                await asyncio.sleep(self.pacer.take(loop.time(), PIECE))
            await response.write(body[begin : begin + PIECE])
        await response.write_eof()
        self.connections.ended(request.protocol)
        if request.protocol.behind:
            request.protocol.drop()  # what came before the answer's end was not read
        return response

    def caps(self, plan):
        """What clients may send and how long they may take, as the configuration in force says."""
        limits = replace(
            self.limits, body=plan.body_bytes, whole_req=plan.header_timeout, client_idle=plan.idle_timeout
        )
        if limits != self.limits:
            self.limits = self.connections.limits = limits

    def answer(self, number, status, body=b"", headers=None):
        waiting = self.waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result((status, body, headers))

    def relay(self, number, outcome):
        self.answer(number, outcome.status, outcome.body, CIMultiDict(passed_on(outcome.headers)))

    async def close(self, until):
        """No more connections; ends when all that was taken is written, or at `until` (the loop's time)."""
        loop = asyncio.get_running_loop()
        self.connections.stop_listening()
        self.connections.drop_unused()
        while self.connections.open and loop.time() < until:
            await asyncio.sleep(0.02)
            self.connections.drop_unused()
        await self.connections.shutdown(0)
