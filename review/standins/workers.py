"""Stand-ins for workers and for the platform's list of them, as the page PROTOCOL gives both."""

import asyncio
import hashlib
import json
from dataclasses import dataclass, field

from .http import Message, Server, encode
from .record import Record

CAPACITY, QUEUE = 6, 24
PAGE = 50


@dataclass
class Run:
    """A request that a worker began to work on."""

    id: str
    worker: str
    zone: str
    at: float
    tenant: str


@dataclass
class Worker:
    """One worker: it works on `CAPACITY` requests at once, queues a few more and turns others away."""

    id: str
    service: str
    zone: str
    record: Record
    runs: list[Run]
    work: float = 0.05
    address: str = ""
    phase: str = "ready"
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(CAPACITY))
    waiting: int = 0
    server: Server | None = None

    async def start(self, host: str) -> "Worker":
        """Listens."""
        self.server = Server(self.handle)
        self.address = await self.server.listen(host)
        return self

    async def handle(self, request: Message) -> bytes | None:
        """Runs a request that is meant for this worker."""
        id = request.headers.get("attempt-id", "")
        told = {"Attempt-Id": id}
        if not id:
            return encode(400, {"Not-Run": "1"}, b"")
        if request.headers.get("want-worker", self.id) != self.id:
            return encode(421, {**told, "Not-Run": "1"}, b"")
        if self.waiting >= QUEUE:
            return encode(503, {**told, "Not-Run": "1"}, b"")
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.runs.append(Run(id, self.id, self.zone, self.record.now(), request.headers.get("tenant", "")))
            self.record.note(f"run {id} at {self.id} in {self.zone}")
            await asyncio.sleep(self.work)
        finally:
            self.slots.release()
        seal = hashlib.sha256(f"{self.id} {id}".encode()).hexdigest()[:16]
        return encode(200, {**told, "Worker-Seal": seal}, f"{self.id} answers {id}\n".encode())


class Platform:
    """`GET /workers`, page by page."""

    COLUMNS = ("svc", "addr", "zone", "ver", "capacity", "phase", "coldLeftS", "id")

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = workers
        self.server = Server(self.handle)

    async def handle(self, request: Message) -> bytes:
        """One page."""
        query = request.start[1].partition("?")[2]
        token = dict(part.partition("=")[::2] for part in query.split("&")).get("pageToken", "p-0")
        begin = int(token[2:])
        rows = [
            [worker.service, worker.address, worker.zone, "v1", CAPACITY, worker.phase, 0, worker.id]
            for worker in self.workers[begin : begin + PAGE]
        ]
        following = f"p-{begin + PAGE}" if begin + PAGE < len(self.workers) else None
        body = {"instances": {"cols": self.COLUMNS, "rows": rows}, "nextCursor": following}
        return encode(200, {"Content-Type": "application/json"}, json.dumps(body).encode())
