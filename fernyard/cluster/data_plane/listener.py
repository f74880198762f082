"""The clients' side, on the gatekeeper's own connections (`fernyard.clients`). Decides nothing."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import replace
from typing import Any

import attrs
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from multidict import CIMultiDict

from ...clients.read import Malformed, check_framing, passed_on
from ...clients.serving import NO_REQUEST, RequestServer, ask_for_body
from ...log import Counts
from ...settings.limits import Limits
from ...sockets import ended_by_peer
from ...workers import Outcome
from ..common.bodies import SLICE, BodyReader, TooLongError
from ..common.logs import ComponentLogger
from ..common.memory_budget import SMALL_BODY, MemoryBudget, NoRoomError
from ..common.messages import Plan
from ..common.transport import Address
from .events import ClientEvent, ClientGone, RequestArrived
from .pacing import CHUNK, SMALL_ANSWER, Pacer

log = ComponentLogger("front")
ATTEMPT_ID, DEADLINE_MS = "Attempt-Id", "Deadline-Ms"
DEFAULT_DEADLINE_MS = "30000"
RETRY_AFTER = "0.5"  # seconds, for a request whose body has no room
SINGLE_HEADERS = (ATTEMPT_ID, DEADLINE_MS, "Key", "Host", "Content-Length", "Transfer-Encoding")  # once at most
CLOSE_POLL = 0.02  # seconds between looks at the connections that are still open
# Seconds for which a body waits for room in memory, and those and the part of its deadline at most; it is read and dropped for so
# many seconds where it finds none, as an answer before its end would be lost with the connection.
MAX_ROOM_WAIT, ROOM_WAIT_FRACTION, DROP_TIME = 2.0, 0.5, 1.0


@attrs.define
class ClientRequest:
    """A request as it was read; `tenant` is set when it is forwarded."""

    id: str
    method: str
    host: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes | bytearray
    tenant: str | None = None


@attrs.frozen
class ClientAnswer:
    """What a client is answered."""

    status: int
    body: bytes | bytearray = b""
    headers: Mapping[str, str] | None = None


class ClientListener(RequestServer):
    """Reads requests and writes answers."""

    connections: Any  # `fernyard.clients.connections.Connections`, which is not annotated yet

    def __init__(
        self,
        limits: Limits,
        report: Callable[[ClientEvent], None],
        counts: Counts,
        pacer: Pacer,
        budget: MemoryBudget,
    ) -> None:
        """`report` takes `RequestArrived` and `ClientGone`; `pacer`: of large answers on their way out; `budget`: of the bodies of
        requests."""
        super().__init__(limits, report, counts)
        self.pacer, self.budget = pacer, budget
        self.without_room = 0  # requests refused since their bodies found no room in memory
        self.requests: dict[int, ClientRequest] = {}

    def listen(self, address: Address) -> None:
        """Takes connections at `address`; raises OSError."""
        self._open(*address)

    def _fault(self) -> None:
        log.exception("The handler of a request failed.")

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        try:
            client_request = await self._read(request)
        except NO_REQUEST as error:
            refusal: StreamResponse = self._refused(error)
            return refusal
        except NoRoomError as error:
            return await self._refuse_unread(request, error)
        connection: Any = request.protocol
        if connection.transport is None or ended_by_peer(connection.transport):
            connection.drop()
            await asyncio.get_running_loop().create_future()  # its end cancels this handler
        answer = await self._answer_of(request, client_request)
        if len(answer.body) > (SMALL_ANSWER if self.pacer.rate else SMALL_BODY):
            return await self._write_in_slices(request, answer)
        response: StreamResponse = self._response(
            answer.status, answer.body, answer.headers, lambda: self.connections.ended(connection)
        )
        if connection.behind:
            response.force_close()
        return response

    async def _read(self, request: BaseRequest) -> ClientRequest:
        """The complete request; raises one of NO_REQUEST."""
        headers = request.headers
        id, deadline, path = headers.get(ATTEMPT_ID), headers.get(DEADLINE_MS, DEFAULT_DEADLINE_MS), request.raw_path
        if not id or not (deadline.isascii() and deadline.isdigit()):
            raise Malformed(400, "figures")
        if not path.startswith("/") or not path.isascii() or "#" in path:
            raise Malformed(400, "path")  # it would not go on unchanged
        check_framing(headers, SINGLE_HEADERS)
        body = await self._read_body(request, int(deadline) / 1000)
        return ClientRequest(id, request.method, headers.get("Host", ""), path, passed_on(request.raw_headers), body)

    async def _read_body(self, request: BaseRequest, patience: float) -> bytes | bytearray:
        """The whole body, once there is room for it; `patience`: seconds that the client waits. Raises one of NO_REQUEST, or
        NoRoomError."""
        if not request.body_exists:
            return b""
        await ask_for_body(request)
        reader = BodyReader(self.budget, self.limits.body, min(MAX_ROOM_WAIT, ROOM_WAIT_FRACTION * patience))
        try:
            return await reader.read(request.content.iter_any(), request.content_length)
        except TooLongError:
            raise Malformed(413, "body") from None

    async def _refuse_unread(self, request: BaseRequest, error: NoRoomError) -> StreamResponse:
        """Its body has no room: it was not passed on and never will be."""
        self.without_room += 1
        log.info("A request was refused: its body has no room in memory.", why=str(error))
        with suppress(TimeoutError):
            async with asyncio.timeout(DROP_TIME):
                async for _ in request.content.iter_any():
                    pass
        response: StreamResponse = self._response(503, headers={"Retry-After": RETRY_AFTER})
        response.force_close()
        return response

    async def _answer_of(self, request: BaseRequest, client_request: ClientRequest) -> ClientAnswer:
        """Reports the request and waits for its answer."""
        self.number = number = self.number + 1
        waiting: asyncio.Future[ClientAnswer] = asyncio.get_running_loop().create_future()
        self.waiting[number] = waiting
        self.requests[number] = client_request
        self.connections.begun(request.protocol)
        try:
            patience = int(request.headers.get(DEADLINE_MS, DEFAULT_DEADLINE_MS)) / 1000
            key = request.headers.get("Key")
            self.report(
                RequestArrived(number, client_request.method, client_request.host, client_request.path, key, patience)
            )
            return await waiting
        except asyncio.CancelledError:
            self.report(ClientGone(number))
            raise
        finally:
            self.waiting.pop(number, None)
            self.requests.pop(number, None)

    async def _write_in_slices(self, request: BaseRequest, answer: ClientAnswer) -> StreamResponse:
        """Writes a large answer without a second copy that waits to be written, and so that small ones come between its slices on a
        narrow link."""
        loop = asyncio.get_running_loop()
        connection: Any = request.protocol
        response = StreamResponse(status=answer.status, headers=answer.headers)
        response.content_length = len(answer.body)
        if self.stopping or connection.behind:
            response.force_close()
        await response.prepare(request)
        size, view = CHUNK if self.pacer.rate else SLICE, memoryview(answer.body)
        for begin in range(0, len(view), size):
            if begin and self.pacer.rate:  # and no delay after the last: the client may send its next request at once
                await asyncio.sleep(self.pacer.delay_after(loop.time(), size))
            await response.write(view[begin : begin + size])
        await response.write_eof()
        self.connections.ended(connection)
        if connection.behind:
            connection.drop()  # what came before the answer's end was not read
        return response

    def apply_caps(self, plan: Plan) -> None:
        """What clients may send and how long they may take, as the configuration in force says."""
        limits = replace(
            self.limits, body=plan.body_bytes, whole_req=plan.header_timeout, client_idle=plan.idle_timeout
        )
        if limits != self.limits:
            self.limits = self.connections.limits = limits

    def answer(
        self, number: int, status: int, body: bytes | bytearray = b"", headers: Mapping[str, str] | None = None
    ) -> None:
        """Answers the request of that number, if its client is still there."""
        waiting = self.waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(ClientAnswer(status, body, headers))

    def relay(self, number: int, outcome: Outcome) -> None:
        """Answers a request with what its worker answered."""
        self.answer(number, outcome.status, outcome.body, CIMultiDict(passed_on(outcome.headers)))

    async def close(self, until: float) -> None:
        """No more connections; ends when all requests are answered, or at `until` (the loop's time)."""
        loop = asyncio.get_running_loop()
        self.connections.stop_listening()
        self.connections.drop_unused()
        while self.connections.open and loop.time() < until:
            await asyncio.sleep(CLOSE_POLL)
            self.connections.drop_unused()
        await self.connections.shutdown(0)
