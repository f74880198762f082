"""Requests to workers, on the gatekeeper's own connections (`fernyard.workers`): what they are sent and how their answers
are read (PROTOCOL.md)."""

import asyncio
from collections.abc import AsyncIterable, AsyncIterator, Callable

from aiohttp import ClientResponse, hdrs
from multidict import CIMultiDict

from ...interface import End
from ...settings.limits import Limits
from ...workers import Outcome, WorkerPool
from ..common.bodies import BodyPayload, BodyReader, TooLongError
from ..common.memory_budget import MemoryBudget, NoRoomError
from .listener import ClientRequest
from .pacing import CHUNK, SMALL_ANSWER, Pacer

ATTEMPT_ID = "Attempt-Id"
WRONG_WORKER = 421  # it is not the one that `Want-Worker` names
NOT_RUN_STATUSES = frozenset((400, 429, 503))  # that say with `Not-Run` that the request has not run
NO_BODY_STATUSES = frozenset((204, 304))
HEADERS_OF_OURS = ("Deadline-Ms", "Key", "Tenant", "Want-Worker", "Keep-Alive", "Connection")  # not passed on
FINISH_POLL = 0.02  # seconds between looks at the attempts under way
DEADLINE_MARGIN = 0.015  # seconds that we wait beyond what a worker is told


class WorkerConnections(WorkerPool):
    """`send` takes a `ClientRequest`; a worker runs it only as the incarnation that is meant."""

    ID_HEADER = ATTEMPT_ID  # type: ignore[assignment]  # the base, which is not annotated yet, has none

    def __init__(self, limits: Limits, report: Callable[[Outcome], None], pacer: Pacer, budget: MemoryBudget) -> None:
        """`pacer`: of large answers on their way in; `budget`: of the bodies of answers."""
        super().__init__(limits, report)
        self.pacer = pacer
        self.budget = budget

    def cancel(self, number: int, attempt: int, only_unsent: bool) -> None:
        """Gives an attempt up and resets its connection, so that nothing of it is written any more. `only_unsent`: not if a
        connection was had, as bytes may be out then."""
        out = self.out.get((number, attempt))
        if out is None:
            return
        progress = out[-1]
        if only_unsent and progress.sent:
            return
        self.give_up(number, attempt)
        progress.abort()

    async def finish(self, until: float) -> None:
        """Ends when no attempt is under way, or at `until` (the loop's time)."""
        loop = asyncio.get_running_loop()
        while self.out and loop.time() < until:
            await asyncio.sleep(FINISH_POLL)

    @staticmethod
    def _payload(req: ClientRequest) -> BodyPayload | None:
        return BodyPayload(req.body) if req.body else None

    async def _body(self, answer: ClientResponse) -> bytes | bytearray | None:
        """The whole body; None where it is longer than may be. It waits unread, which holds its worker up, until there is room for it,
        the attempt's end at the latest."""
        has_none = answer.method == hdrs.METH_HEAD or answer.status in NO_BODY_STATUSES
        length = 0 if has_none else answer.content_length
        try:
            return await BodyReader(self.budget, self.limits.answer_body).read(self._pieces(answer, length), length)
        except (TooLongError, NoRoomError):
            answer.close()
            return None

    def _pieces(self, answer: ClientResponse, length: int | None) -> AsyncIterable[bytes]:
        if self.pacer.rate and (length or 0) > SMALL_ANSWER:
            return self._paced_pieces(answer)
        return answer.content.iter_any()

    async def _paced_pieces(self, answer: ClientResponse) -> AsyncIterator[bytes]:
        """A large one is read no faster than its fraction of a narrow link: what is not read holds its worker up."""
        loop = asyncio.get_running_loop()
        while not answer.content.at_eof():
            chunk = await answer.content.read(CHUNK)
            yield chunk
            if not answer.content.at_eof():
                await asyncio.sleep(self.pacer.delay_after(loop.time(), len(chunk)))

    def _headers(self, req: ClientRequest, worker: str, address: str, limit: int) -> CIMultiDict[str]:
        """`limit`: tenths of a millisecond until the attempt is given up."""
        headers = CIMultiDict(req.headers)
        for name in HEADERS_OF_OURS:
            headers.popall(name, None)
        headers["Host"] = req.host
        headers["Deadline-Ms"] = str(max(1, int(limit / 10 - 1000 * DEADLINE_MARGIN)))
        headers["Want-Worker"] = worker
        if req.tenant is not None:
            headers["Tenant"] = req.tenant
        return headers

    def _end(self, req: ClientRequest, answer: ClientResponse) -> End:
        """How an attempt with a complete answer ended; what is not provably its own answer is none."""
        if not _is_answer_to(req, answer) or not _is_delimited(answer):
            answer.close()  # a second answer to an earlier request, say: what follows on it is nobody's either
            return End.RESET
        headers, status = answer.headers, answer.status
        if 200 <= status < 300:
            if "Worker-Seal" in headers and "Not-Run" not in headers and "Content-Encoding" not in headers:
                return End.PASSED
            answer.close()
            return End.RESET
        if status == WRONG_WORKER or (status in NOT_RUN_STATUSES and "Not-Run" in headers):
            return End.FULL
        return End.ERROR


def _is_answer_to(request: ClientRequest, answer: ClientResponse) -> bool:
    """It bears the id of this request, and no other."""
    return answer.headers.getall(ATTEMPT_ID, ()) == [request.id]


def _is_delimited(answer: ClientResponse) -> bool:
    """Does it say where it ends? Else one that was cut off looks complete."""
    return (
        answer.content_length is not None
        or answer.status in NO_BODY_STATUSES
        or answer.headers.get("Transfer-Encoding", "").lower() == "chunked"
    )
