"""Bodies of requests and answers in memory: all that are in hand together stay within the machine's memory."""

import asyncio
import gc
from collections.abc import AsyncIterator
from dataclasses import replace
from random import Random
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from fernyard.cluster.common.bodies import BodyReader, TooLongError
from fernyard.cluster.common.memory_budget import SMALL_BODY, Claim, MemoryBudget, NoRoomError
from fernyard.cluster.data_plane import listener as listener_module

from .gateway import HOST, OK, Gateway, Request, StandInWorker, answer, gateway, head, read_answer

LIMIT = 30.0  # seconds, after which a test gives up
MEMORY_MB = 1.0  # of which bodies of requests may take 350 kB, those of answers 150 kB, and small ones 70 kB each
LARGE, LARGE_ANSWER = 200_000, 100_000  # bytes: one has room, two have not
AT_ONCE = 4
SEEDS = range(200)


def chunked(body: bytes, size: int = 30_000) -> bytes:
    """A body in chunks."""
    pieces = [body[begin : begin + size] for begin in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in [*pieces, b""])


class BudgetTest(TestCase):
    """The arithmetic, under random claims."""

    def test_what_is_promised_never_exceeds_the_capacity(self) -> None:
        """Guards against Fault, review/7, and against a claim that is never granted or is granted before one that came earlier."""
        for seed in SEEDS:
            self._play(Random(seed))

    def _play(self, random: Random) -> None:
        budget = MemoryBudget(10 * SMALL_BODY, 2 * SMALL_BODY)
        granted: list[Claim] = []
        waiting: list[Claim] = []
        for _ in range(60):
            if random.random() < 0.6:
                size = random.choice((1, 100, SMALL_BODY, SMALL_BODY + 1, 3 * SMALL_BODY, 8 * SMALL_BODY))
                waiting.append(budget.claim(size, lambda: None))
            elif granted and random.random() < 0.3:
                claim = random.choice(granted)
                budget.shrink(claim, random.randrange(claim.size + 1))
            elif granted or waiting:
                claim = random.choice([*granted, *waiting])
                budget.release(claim)
                granted, waiting = ([c for c in claims if c is not claim] for claims in (granted, waiting))
            for claim in [claim for claim in waiting if claim.is_granted]:
                earlier = waiting[: waiting.index(claim)]
                self.assertFalse([c for c in earlier if not c.is_granted and c.is_small == claim.is_small])
            granted += [claim for claim in waiting if claim.is_granted]
            waiting = [claim for claim in waiting if not claim.is_granted]
            self.assertThat(budget.used, Equals(sum(claim.size for claim in granted)))
            self.assertThat(budget.used_large, Equals(sum(claim.size for claim in granted if not claim.is_small)))
            self.assertTrue(budget.used <= budget.capacity)
            self.assertTrue(budget.used_large <= budget.capacity - budget.reserve)
        while granted:
            budget.release(granted.pop())
            granted += [claim for claim in waiting if claim.is_granted]
            waiting = [claim for claim in waiting if not claim.is_granted]
        self.assertThat((waiting, budget.used, budget.used_large), Equals(([], 0, 0)))

    def test_what_can_never_have_room_or_waits_in_too_long_a_line_is_refused(self) -> None:
        """A clear end at once, where waiting is of no use."""
        budget = MemoryBudget(10 * SMALL_BODY, 2 * SMALL_BODY, most_waiting=1)
        self.assertRaises(NoRoomError, budget.claim, 8 * SMALL_BODY + 1, lambda: None)
        for _ in range(2):
            budget.claim(8 * SMALL_BODY, lambda: None)
        self.assertRaises(NoRoomError, budget.claim, 2 * SMALL_BODY, lambda: None)
        self.assertTrue(budget.claim(SMALL_BODY, lambda: None).is_granted)


async def in_pieces(body: bytes, size: int = 1000) -> AsyncIterator[bytes]:
    """The body as it may come."""
    for begin in range(0, len(body), size):
        await asyncio.sleep(0)
        yield body[begin : begin + size]


class ReaderTest(TestCase):
    """Bodies read with and without a length."""

    def test_many_at_once_are_read_whole_and_give_their_room_back(self) -> None:
        """Guards against bodies that wait for each other, and against room that is lost with one that is dropped."""
        asyncio.run(self._read_many())

    async def _read_many(self) -> None:
        budget = MemoryBudget(6 * SMALL_BODY, SMALL_BODY)
        reader = BodyReader(budget, most=4 * SMALL_BODY)
        random = Random(7)
        sizes = [random.choice((0, 10, SMALL_BODY, SMALL_BODY + 1, 4 * SMALL_BODY)) for _ in range(60)]

        async def read(size: int, tells: bool) -> bool:
            content = random.randbytes(size)
            return bytes(await reader.read(in_pieces(content), size if tells else None)) == content

        async with asyncio.timeout(LIMIT):
            got = await asyncio.gather(*(read(size, random.random() < 0.5) for size in sizes))
        self.assertThat(got, Equals([True] * len(sizes)))
        for length in (None, 4 * SMALL_BODY + 1):
            try:
                await reader.read(in_pieces(bytes(5 * SMALL_BODY)), length)
                self.fail("it is too long")
            except TooLongError:
                pass
        gc.collect()
        self.assertThat((budget.used, budget.used_large), Equals((0, 0)))


class HoldingWorker:
    """Notes how many bytes of bodies the gateway has in hand whenever a request comes; answers once it `goes_on`, with so many
    bytes."""

    def __init__(self, answer_size: int = 1, is_chunked: bool = False) -> None:
        self.answer_size, self.is_chunked = answer_size, is_chunked
        self.made: Gateway | None = None
        self.in_hand: list[int] = []
        self.arrived, self.goes_on = asyncio.Event(), asyncio.Event()

    async def __call__(self, worker: StandInWorker, request: Request, writer: asyncio.StreamWriter) -> None:
        assert self.made is not None
        self.in_hand.append(sum(len(held.body) for held in self.made.plane.listener.requests.values()))
        self.arrived.set()
        await self.goes_on.wait()
        body = bytes(self.answer_size)
        if self.is_chunked:
            writer.write(head(OK, request.id, "Worker-Seal: s", "Transfer-Encoding: chunked") + b"\r\n" + chunked(body))
        else:
            writer.write(answer(request.id, body))
        await writer.drain()


async def upload(made: Gateway, id: str, is_chunked: bool, left: int = 20_000) -> int:
    """The status for a client that sends a large body."""
    reader, writer = await asyncio.open_connection(HOST, made.port)
    body = bytes(LARGE)
    if is_chunked:
        coded = {"Transfer-Encoding": "chunked", "Content-Length": None}
        writer.write(made.head(id, "/w/x", left=left, **coded) + chunked(body))
    else:
        writer.write(made.head(id, "/w/x", body=body, left=left))
    try:
        status, _, _ = await read_answer(reader)
        return int(status)
    finally:
        writer.close()


class GatewayTest(TestCase):
    """A gateway with little memory."""

    def test_large_bodies_at_once_take_turns_and_small_ones_go_past_them(self) -> None:
        """Guards against Fault, review/7: a few bodies within the caps at once took a gateway over its memory."""
        for is_chunked in (False, True):
            statuses, in_hand, small = asyncio.run(self._upload_at_once(is_chunked))
            self.assertThat(statuses, Equals([200] * AT_ONCE), is_chunked)
            self.assertThat(small, Equals(200), is_chunked)
            self.assertTrue(max(in_hand) < 2 * LARGE, (is_chunked, in_hand))

    async def _upload_at_once(self, is_chunked: bool) -> tuple[list[int], list[int], int]:
        worker = HoldingWorker()
        async with asyncio.timeout(LIMIT), gateway(worker, memory_mb=MEMORY_MB) as made:
            worker.made, listener = made, made.plane.listener
            listener.limits = replace(listener.limits, body=LARGE)
            uploads = [asyncio.create_task(upload(made, f"large-{n}", is_chunked)) for n in range(AT_ONCE)]
            await worker.arrived.wait()
            small = asyncio.create_task(made.ask("small", "/w/x", body=b"one"))
            while len(worker.in_hand) < 2:  # the small one is there before a large one has ended
                await asyncio.sleep(0)
            worker.goes_on.set()
            status, _, _ = await small
            return await asyncio.gather(*uploads), worker.in_hand, status

    def test_a_body_without_room_is_refused_before_it_was_passed_on(self) -> None:
        """503 is a promise: guards against one that is answered so and runs."""
        statuses, in_hand = asyncio.run(self._upload_in_vain())
        self.assertThat(sorted(statuses), Equals([200, 503]))
        self.assertThat(len(in_hand), Equals(1))

    async def _upload_in_vain(self) -> tuple[list[int], list[int]]:
        worker = HoldingWorker()
        with mock.patch.object(listener_module, "MAX_ROOM_WAIT", 0.0):
            async with asyncio.timeout(LIMIT), gateway(worker, memory_mb=MEMORY_MB) as made:
                worker.made = made
                first = asyncio.create_task(upload(made, "first", False))
                await worker.arrived.wait()
                second = await upload(made, "second", False)
                worker.goes_on.set()
                return [await first, second], worker.in_hand

    def test_large_answers_at_once_come_whole_and_give_their_room_back(self) -> None:
        """Guards against the same on the way back, where nothing is refused: the worker has run."""
        for is_chunked in (False, True):
            answers, promised = asyncio.run(self._download_at_once(is_chunked))
            self.assertThat(answers, Equals([(200, LARGE_ANSWER)] * AT_ONCE), is_chunked)
            self.assertThat(promised, Equals((0, 0)), is_chunked)

    async def _download_at_once(self, is_chunked: bool) -> tuple[list[tuple[int, int]], tuple[int, int]]:
        worker = HoldingWorker(LARGE_ANSWER, is_chunked)
        limits = {"answer_body": LARGE_ANSWER}
        async with asyncio.timeout(LIMIT), gateway(worker, memory_mb=MEMORY_MB, **limits) as made:
            worker.made = made
            worker.goes_on.set()
            asked = await asyncio.gather(*(self._download(made, n) for n in range(AT_ONCE)))
            while made.plane.workers.out or made.plane.listener.requests:
                await asyncio.sleep(0)
            gc.collect()
            budget = made.plane.workers.budget
            return asked, (budget.used, budget.used_large)

    @staticmethod
    async def _download(made: Gateway, number: int) -> tuple[int, int]:
        reader, writer = await asyncio.open_connection(HOST, made.port)
        writer.write(made.head(f"id-{number}", "/w/x", left=20_000))
        status, _, body = await read_answer(reader)
        writer.close()
        return int(status), len(body)

    def test_room_comes_back_at_once_when_clients_leave(self) -> None:
        """Guards against room that stays taken until the garbage collector runs, so that large bodies are refused meanwhile."""
        gc.collect()
        gc.disable()
        try:
            for stage in ("its body", "its answer"):
                self.assertThat(asyncio.run(self._leave_in(stage)), Equals((0, 0)), stage)
        finally:
            gc.enable()

    async def _leave_in(self, stage: str) -> tuple[int, int]:
        """What is promised once a client has left with half of its body sent, or half of its answer here."""

        async def half(worker: StandInWorker, request: Request, writer: asyncio.StreamWriter) -> bool:
            whole = answer(request.id, bytes(LARGE_ANSWER))
            writer.write(whole[: len(whole) // 2])
            await writer.drain()
            await writer.reader.read()  # type: ignore[attr-defined]  # the gateway's end
            return False

        async with asyncio.timeout(LIMIT), gateway(half, memory_mb=MEMORY_MB) as made:
            budget = made.plane.listener.budget if stage == "its body" else made.plane.workers.budget
            for number in range(AT_ONCE):
                _, writer = await asyncio.open_connection(HOST, made.port)
                body = bytes(LARGE if stage == "its body" else 0)
                whole = made.head(f"id-{number}", "/r/x", body=body, left=20_000)
                writer.write(whole[: len(whole) // 2] if body else whole)
                while not budget.used:
                    await asyncio.sleep(0)
                await asyncio.sleep(0)
                writer.transport.abort()
                while made.plane.listener.connections.open:
                    await asyncio.sleep(0)
                while made.plane.workers.out:
                    await asyncio.sleep(0)
            for _ in range(10):
                await asyncio.sleep(0)
            return budget.used, budget.used_large
