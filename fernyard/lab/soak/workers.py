"""Emulated workers that note what they are handed, and the platform's list of them."""

import asyncio
import hashlib
from collections import deque
from collections.abc import Callable
from random import Random

import attrs
from aiohttp import web

from ..links import CUT, OPEN, Lead
from ..loopback import HOST, LoopbackServer
from .processes import ZONES
from .records import Records, Work, WorkEnding

CAPACITY, QUEUE = 4, 8
WORK_TIME = {"read": 0.2, "write": 0.25, "large": 0.15}  # seconds on average
LARGE_BODY = 64 * 1024
SLOW_FACTOR = 5.0
BREAK_PROBABILITY = 0.3  # of the answers, while a worker breaks or loses them
# Of the answers of sound workers, those with a pause in their midst; its seconds, and the part of what is left that it takes at most.
PAUSE_PROBABILITY, PAUSES, PAUSE_FRACTION = 0.05, (0.5, 1.5), 0.5
SERVICES = ("main", "files")


def seal_of(worker: str, id: str) -> str:
    """What only that worker writes to that request."""
    return hashlib.sha256(f"{worker} {id}".encode()).hexdigest()[:16]


def body_of(worker: str, id: str, kind: str) -> bytes:
    """The body of its answer."""
    body = f"{worker} answers {id}\n".encode()
    return body * (LARGE_BODY // len(body)) if kind == "large" else body


@attrs.define
class Faults:
    """What a worker does wrong now."""

    slow: bool = False
    breaks: bool = False  # ends its answers midway
    loses: bool = False  # runs the request and closes without an answer
    refuses: bool = False  # answers 503 with `Not-Run`


class SoakWorker(LoopbackServer):
    """One start of a worker. Requests wait for a slot in order; one whose connection ends is dropped."""

    def __init__(self, id: str, service: str, zone: str, seed: str, records: Records, now: Callable[[], float]) -> None:
        super().__init__()
        self.id, self.service, self.zone, self.records, self.now = id, service, zone, records, now
        self.random, self.faults, self.draining = Random(seed), Faults(), False
        self.running, self.waiting = 0, deque[asyncio.Future[None]]()
        self.lead: Lead | None = None

    async def start(self) -> "SoakWorker":
        """Listens, behind a link of its own that can be cut."""
        self.loop = asyncio.get_running_loop()
        server = web.Server(self.handle, handler_cancellation=True)
        self.runner = web.ServerRunner(server, handle_signals=False, access_log=None)
        await self.runner.setup()
        await self.listen()
        self.lead = await Lead((HOST, self.port)).start()
        return self

    def entry(self) -> list[object]:
        """Its row in the platform's list."""
        assert self.lead is not None
        phase = "draining" if self.draining else "ready"
        return [self.id, self.service, f"{HOST}:{self.lead.port}", self.zone, "v1", CAPACITY, phase, None]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Notes the request and what becomes of it."""
        headers = request.headers
        work = Work(headers.get("Attempt-Id", ""), self.id, self.zone, self.now(), headers.get("Tenant", ""))
        work.deadline_at = work.arrived_at + int(headers.get("Deadline-Ms", "0")) / 1000
        if headers.get("Want-Worker", self.id) != self.id:
            return self._not_run(work, 421)
        self.records.work.append(work)
        try:
            return await self._answer(request, work)
        except asyncio.CancelledError:
            self._end(work, WorkEnding.CANCELLED_WAITING if work.began_at is None else WorkEnding.CANCELLED_RUNNING)
            raise
        except ConnectionError:
            self._end(work, WorkEnding.CANCELLED_RUNNING)
            raise

    async def _answer(self, request: web.BaseRequest, work: Work) -> web.StreamResponse:
        await request.read()
        if self.faults.refuses or len(self.waiting) >= QUEUE:
            return self._not_run(work, 503)
        await self._wait_for_slot()
        try:
            if self.now() >= work.deadline_at:
                return self._not_run(work, 503)
            return await self._run(request, work)
        finally:
            self._free_slot()

    async def _wait_for_slot(self) -> None:
        if self.running < CAPACITY:
            self.running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            else:
                self._free_slot()  # it was given a slot in the same moment
            raise

    def _free_slot(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def _run(self, request: web.BaseRequest, work: Work) -> web.StreamResponse:
        kind = request.path.split("/")[1]
        seconds = self.random.expovariate(1 / WORK_TIME.get(kind, 0.05)) * (SLOW_FACTOR if self.faults.slow else 1.0)
        work.began_at = self.now()
        work.until = min(work.began_at + seconds, work.deadline_at)
        await asyncio.sleep(max(0.0, work.until - work.began_at))
        if self.faults.loses and self.random.random() < BREAK_PROBABILITY:
            return self._break_off(request, work)
        headers = {"Attempt-Id": work.id}
        if work.until >= work.deadline_at:
            self._end(work, WorkEnding.ANSWERED)
            return web.Response(status=504, headers=headers)
        headers["Worker-Seal"] = seal_of(self.id, work.id)
        headers["X-Worker"] = self.id
        if self.draining:
            headers["Connection"] = "close"
        body = body_of(self.id, work.id, kind)
        if self.faults.breaks and self.random.random() < BREAK_PROBABILITY:
            return await self._break_midway(request, work, body, headers)
        pause = self._pause_within(work)
        if pause:
            return await self._answer_with_pause(request, work, body, headers, pause)
        self._end(work, WorkEnding.ANSWERED)
        return web.Response(status=200, body=body, headers=headers)

    def _pause_within(self, work: Work) -> float:
        """Seconds for which a sound worker is silent within this answer, well before the deadline; mostly 0."""
        if self.random.random() >= PAUSE_PROBABILITY:
            return 0.0
        assert work.until is not None
        left = PAUSE_FRACTION * (work.deadline_at - work.until)
        return min(self.random.uniform(*PAUSES), left)

    async def _answer_with_pause(
        self, request: web.BaseRequest, work: Work, body: bytes, headers: dict[str, str], pause: float
    ) -> web.StreamResponse:
        assert work.until is not None
        work.until += pause
        response = web.StreamResponse(status=200, headers={**headers, "Content-Length": str(len(body))})
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        await asyncio.sleep(pause)
        await response.write(body[len(body) // 2 :])
        await response.write_eof()
        self._end(work, WorkEnding.ANSWERED)
        return response

    def _break_off(self, request: web.BaseRequest, work: Work) -> web.Response:
        self._end(work, WorkEnding.BROKEN_OFF)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def _break_midway(
        self, request: web.BaseRequest, work: Work, body: bytes, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=200, headers={**headers, "Content-Length": str(len(body))})
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        self._break_off(request, work)
        return response

    def _not_run(self, work: Work, status: int) -> web.Response:
        self._end(work, WorkEnding.REJECTED)
        return web.Response(status=status, headers={"Attempt-Id": work.id, "Not-Run": "1"})

    def _end(self, work: Work, ending: WorkEnding) -> None:
        if work.ending is None:
            work.ending, work.ended_at = ending, self.now()

    async def crash(self) -> None:
        """Gone at once, with all that it had in hand."""
        await self.vanish()
        await self.close()

    async def close(self) -> None:
        """Ends it."""
        if self.lead is not None:
            await self.lead.close()
        await super().close()


class Fleet:
    """All workers there are, and who they are for the platform."""

    def __init__(self, records: Records, now: Callable[[], float], seed: int) -> None:
        self.records, self.now, self.seed = records, now, seed
        self.workers: list[SoakWorker] = []
        self.listed: list[SoakWorker] = []  # also those that crashed a moment ago
        self.started = 0

    async def start_one(self, number: int) -> SoakWorker:
        """A new worker in the place of that number."""
        self.started += 1
        id = f"i-{self.started:04x}"
        service, zone = SERVICES[number % 4 == 3], list(ZONES)[number % len(ZONES)]
        worker = SoakWorker(id, service, zone, f"{self.seed} {id}", self.records, self.now)
        await worker.start()
        self.listed.append(worker)
        return worker

    async def start(self, count: int) -> None:
        """The first ones."""
        self.workers = [await self.start_one(number) for number in range(count)]

    async def close(self) -> None:
        """Ends all."""
        for worker in {*self.workers, *self.listed}:
            await worker.close()


class Platform(LoopbackServer):
    """The platform's list, in pages, as the protocol page gives it. `mode`: "ok", "silent" or "429"."""

    PAGE, SILENCE = 10, 30.0
    COLUMNS = ("id", "svc", "addr", "zone", "ver", "capacity", "phase", "coldLeftS")

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self.fleet, self.mode = fleet, "ok"

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """GET /workers."""
        if self.mode == "429":
            return web.Response(status=429)
        if self.mode == "silent":
            await asyncio.sleep(self.SILENCE)
        begin = int(request.query.get("pageToken", "p-0")[2:])
        listed = self.fleet.listed
        page = listed[begin : begin + self.PAGE]
        following = f"p-{begin + self.PAGE}" if begin + self.PAGE < len(listed) else None
        for worker in page:
            if worker.draining:
                self.fleet.records.draining.setdefault(worker.id, self.fleet.now())
        rows = [worker.entry() for worker in page]
        return web.json_response({"instances": {"cols": self.COLUMNS, "rows": rows}, "nextCursor": following})


def cut(worker: SoakWorker) -> None:
    """The link to a worker carries nothing until `heal`."""
    if worker.lead is not None:
        worker.lead.set(CUT)


def slow_link(worker: SoakWorker, seconds: float) -> None:
    """The link to a worker delays what it carries."""
    if worker.lead is not None:
        worker.lead.set(OPEN, seconds)


def heal(worker: SoakWorker) -> None:
    """The link is as it was."""
    if worker.lead is not None:
        worker.lead.set(OPEN)
