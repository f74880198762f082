"""Requests to workers, on the gatekeeper's own connections (`fernyard.workers`): what they are sent and how their answers
are read (PROTOCOL.md)."""

from multidict import CIMultiDict

from ...interface import End
from ...workers import WorkerPool

WORKERS_OWN = ("Deadline-Ms", "Key", "Tenant", "Want-Worker", "Keep-Alive", "Connection")
LATER = 0.015               # seconds that we wait beyond what a worker is told


class Lines(WorkerPool):
    """`req` of `send` is a `front.Taken`; a worker is told to run as the life that is meant, and no other."""

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
        told = answer.headers
        if told.get("Attempt-Id", req.id) != req.id:
            answer.close()          # a second answer to an earlier request: what follows on it is nobody's either
            return End.RESET
        if answer.status == 421 or "Not-Run" in told:
            return End.FULL
        if 200 <= answer.status < 300:
            whole = "Worker-Seal" in told and "Attempt-Id" in told and "Content-Encoding" not in told
            if not whole:
                answer.close()
            return End.PASSED if whole else End.RESET
        return End.ERROR
