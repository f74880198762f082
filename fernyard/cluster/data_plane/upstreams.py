"""Requests to workers, on the gatekeeper's own connections (`fernyard.workers`): what they are sent and how their answers
are read (PROTOCOL.md)."""

import asyncio

from multidict import CIMultiDict

from ...interface import End
from ...workers import WorkerPool
from .pacing import PIECE, SMALL

ID = "Attempt-Id"
WRONG_WORKER = 421  # it is not the one that `Want-Worker` names
NOT_RUN = frozenset((400, 429, 503))  # statuses that say with `Not-Run` that the request has not run
NO_BODY = frozenset((204, 304))
WORKERS_OWN = ("Deadline-Ms", "Key", "Tenant", "Want-Worker", "Keep-Alive", "Connection")
LATER = 0.015  # seconds that we wait beyond what a worker is told


class WorkerConnections(WorkerPool):
    """`req` of `send` is a `front.Taken`; a worker is told to run as the incarnation that is meant, and no other. `pace`: of large
    answers on their way in."""

    ID_HEADER = ID

    def __init__(self, limits, report, pace):
        super().__init__(limits, report)
        self.pacer = pace

    async def _body(self, answer):
        """A large one is read no faster than its part of a narrow link: what is not read holds its worker up."""
        if not self.pacer.rate or not SMALL < (answer.content_length or 0) <= self.limits.answer_body:
            return await super()._body(answer)
        loop, chunks = asyncio.get_running_loop(), []
        while not answer.content.at_eof():
            chunk = await answer.content.read(PIECE)
            chunks.append(chunk)
            if not answer.content.at_eof():
                await asyncio.sleep(self.pacer.take(loop.time(), len(chunk)))
        return b"".join(chunks)

    def _headers(self, req, worker, address, limit):
        headers = CIMultiDict(req.headers)
        for name in WORKERS_OWN:
            headers.popall(name, None)
        headers["Host"] = req.host
        headers["Deadline-Ms"] = str(max(1, int(limit / 10 - 1000 * LATER)))
        headers["Want-Worker"] = worker
        if req.tenant is not None:
            headers["Tenant"] = req.tenant
        return headers

    def _end(self, req, answer):
        """How a dispatch with a whole answer ended; what is not provably its own answer is none."""
        if not _is_of(req, answer) or not _tells_its_end(answer):
            answer.close()  # a second answer to an earlier request, say: what follows on it is nobody's either
            return End.RESET
        told, status = answer.headers, answer.status
        if 200 <= status < 300:
            if "Worker-Seal" in told and "Not-Run" not in told and "Content-Encoding" not in told:
                return End.PASSED
            answer.close()
            return End.RESET
        if status == WRONG_WORKER or status in NOT_RUN and "Not-Run" in told:
            return End.FULL
        return End.ERROR


def _is_of(req, answer):
    """It bears the id of this request, and no other."""
    return answer.headers.getall(ID, ()) == [req.id]


def _tells_its_end(answer):
    """Else one that was cut off looks whole."""
    return (
        answer.content_length is not None
        or answer.status in NO_BODY
        or answer.headers.get("Transfer-Encoding", "").lower() == "chunked"
    )
