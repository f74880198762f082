"""A worker that is silent within its answer, for whatever part of the deadline: its request ends with its answer, its deadline or the
worker's end, and with nothing else."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from fernyard.cluster.common.messages import Route
from fernyard.cluster.data_plane import router

from .clocks import ShiftedLoop
from .gateway import Gateway, Request, StandInWorker, answer, gateway
from .test_router import route

LIMIT = 30.0  # seconds, after which the test gives up
DEADLINE_MS = 20_000
SILENCE = 12.0  # seconds, of the loop's clock, well within the deadline
TICKS = 60  # turns of the loop in which what is due is done
PLACES = ("before the head", "within the head", "between head and body", "within the body", "before the last byte")


def first_part(whole: bytes, place: str) -> int:
    """How many bytes of an answer come before the silence."""
    head = whole.index(b"\r\n\r\n") + 4
    lengths = (0, head // 2, head, (head + len(whole)) // 2, len(whole) - 1)
    return dict(zip(PLACES, lengths, strict=True))[place]


class SilentWorker:
    """Writes the first part of each answer, and the rest once it `goes_on`."""

    def __init__(self, place: str) -> None:
        self.place, self.began, self.goes_on = place, asyncio.Event(), asyncio.Event()

    async def __call__(self, worker: StandInWorker, request: Request, writer: asyncio.StreamWriter) -> None:
        whole = answer(request.id)
        split = first_part(whole, self.place)
        writer.write(whole[:split])
        await writer.drain()
        self.began.set()
        await self.goes_on.wait()
        writer.write(whole[split:])
        await writer.drain()


@asynccontextmanager
async def silent(worker: SilentWorker) -> AsyncIterator[Gateway]:
    """A gateway before that worker, and a request on its way; hedged requests do not go out."""
    with mock.patch.multiple(router, MIN_HEDGE_DELAY=LIMIT):
        async with gateway(worker) as made:
            routes = [patient_route("read", "/r/"), patient_route("write", "/w/", "mutating")]
            made.configure(6, hosts={"h.example": routes}, keys={"k": 0})
            yield made


def patient_route(name: str, prefix: str, kind: str = "idempotent") -> Route:
    """A route that lets a try be held for as long as its client waits."""
    return route(name, prefix, kind, timeout=DEADLINE_MS / 1000)


async def ask_a_silent_worker(path: str, place: str, stopping: bool) -> tuple[int, bytes]:
    """Status and body for a client whose worker is silent there. `stopping`: the gateway gets SIGTERM meanwhile."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, ShiftedLoop)
    worker = SilentWorker(place)
    async with asyncio.timeout(LIMIT), silent(worker) as made:
        asked = asyncio.create_task(made.ask("a", path, left=DEADLINE_MS))
        await worker.began.wait()
        made.plane.draining = made.plane.listener.stopping = stopping
        for _ in range(TICKS):
            await asyncio.sleep(0)
        loop.shift += SILENCE
        for _ in range(TICKS):
            await asyncio.sleep(0)
        worker.goes_on.set()
        status, _, body = await asked
        return status, body


def play(work: Callable[[], object]) -> object:
    """Runs it on a loop with a clock of its own."""
    with asyncio.Runner(loop_factory=ShiftedLoop) as runner:
        return runner.run(work())  # type: ignore[arg-type]


class SilentAnswersTest(TestCase):
    """Each place of an answer, on both kinds of routes, with and without SIGTERM."""

    # LOST, review/6: a pause of half a second within an answer ended a request that had run, with 502.
    def test_an_answer_is_awaited_through_silence_until_the_deadline(self) -> None:
        for place in PLACES:
            for path in ("/w/x", "/r/x"):
                for stopping in (False, True):
                    got = play(
                        lambda path=path, place=place, stopping=stopping: ask_a_silent_worker(path, place, stopping)
                    )
                    self.assertThat(got, Equals((200, b"body of a")), (place, path, stopping))
