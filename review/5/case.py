"""A cut between the operator and one control plane holds an order up. The order is acknowledged elsewhere, the contrary one too; then
the cut heals, and the late copy undoes the later order. TROUBLE=0: the link is not cut."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage2 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Message,
    Stage,
    Worker,
    call,
    headers_of_request,
    main,
    read_message,
    request_bytes,
    serve,
)

HERE = Path(__file__).resolve().parent
ZONE = "z1"
ONE_WAY = 0.055  # between regions
CLOSE_BEHIND = (
    2 * ONE_WAY + 0.04
)  # a close comes a round trip behind the bytes before it, and an acknowledgement may wait 40 ms
SILENCE = 1.0  # after which an operator goes on to another control plane
FIRST_EVACUATION, SECOND_AFTER, CUT = 6.0, 2.0, 5.5
EVACUATE, STRETCH = 5.0, 10.0  # `evacuateS`, `stretchS`
WATCH, INTERVAL, DEADLINE = 6.0, 0.05, 3.0


class Link:
    """From the operator to one control plane, 55 ms each way. A cut holds bytes and closes up; they arrive once it heals."""

    def __init__(self, stage: Stage, target: tuple[str, int]) -> None:
        self.stage, self.target = stage, target
        self.whole = asyncio.Event()
        self.whole.set()
        self.address = ("", 0)

    async def start(self) -> "Link":
        server = await serve(self._carry, self.stage.ip(5, 0))
        self.address = server.sockets[0].getsockname()[:2]
        return self

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far = await asyncio.open_connection(*self.target)
        await asyncio.gather(self._pump(reader, far, "operator"), self._pump(far_reader, writer, "control plane"))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, end: str) -> None:
        while data := await reader.read(65536):
            await self._travel()
            self.stage.record(f"link: {data.split(b' HTTP')[0][:40]!r} of the {end} arrives")
            writer.write(data)
            await writer.drain()
        await self._travel()
        await asyncio.sleep(CLOSE_BEHIND)
        self.stage.record(f"link: the close of the {end} arrives")
        writer.close()

    async def _travel(self) -> None:
        await asyncio.sleep(ONE_WAY)
        await self.whole.wait()


class Operator:
    """Keeps its connection to the first control plane; the others are asked on connections of their own."""

    def __init__(self, stage: Stage, link: Link) -> None:
        self.stage, self.link = stage, link
        self.kept: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def order(self, method: str, near: bool = False) -> float:
        """Until it is acknowledged; when it was. `near`: another control plane is asked first."""
        data = request_bytes(method, f"/-/evacuate/{ZONE}", {"Host": "control"})
        for turn in range(1 if near else 0, 12):
            control = self.stage.controls[turn % len(self.stage.controls)]
            answer = await self._first(data) if turn % 3 == 0 else await call(control.address("control"), data, SILENCE)
            result = answer.status if answer is not None else "no answer, connection closed"
            self.stage.record(f"operator {method} {ZONE} at {control.name}: {result}")
            if answer is not None and 200 <= answer.status < 300:
                return self.stage.record.now()
        raise CannotRun(f"{method} was not acknowledged")

    async def _first(self, data: bytes) -> Message | None:
        if self.kept is None:
            self.kept = await asyncio.open_connection(*self.link.address)
        reader, writer = self.kept
        writer.write(data)
        try:
            async with asyncio.timeout(SILENCE):
                return await read_message(reader)
        except TimeoutError:
            writer.close()
            self.kept = None
            return None


class Clients:
    """Requests to both gateways in turn, for as long as it takes."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.tasks = stage, set[asyncio.Task[object]]()

    async def play(self) -> None:
        number = 0
        while True:
            number += 1
            gateway = self.stage.gateways[number % len(self.stage.gateways)]
            data = request_bytes("GET", f"/read/{number}", headers_of_request(DEADLINE))
            task = asyncio.create_task(call(gateway.address("front"), data, DEADLINE))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(INTERVAL)


def arrivals(stage: Stage, since: float) -> int:
    """Requests that workers of the zone ran since then."""
    ids = {worker.id for worker in stage.workers if worker.zone == ZONE}
    return sum(run.worker in ids and run.began >= since for run in stage.runs)


async def play() -> int:
    async with Stage(HERE, gateways=3) as stage:
        await stage.add_workers(Worker, "shelf", 6)
        await stage.start()
        link = await Link(stage, stage.controls[0].address("control")).start()
        operator, clients = Operator(stage, link), asyncio.create_task(Clients(stage).play())
        await operator.order("POST")
        await asyncio.sleep(FIRST_EVACUATION)
        if TROUBLE:
            link.whole.clear()
            stage.record("the link is cut")
        cut_at = time.monotonic()
        await operator.order("DELETE")
        await asyncio.sleep(SECOND_AFTER)
        evacuated_at = await operator.order("POST", near=True)
        await asyncio.sleep(max(0.0, cut_at + CUT - time.monotonic()))
        link.whole.set()
        stage.record("the link is whole")
        judged_from = evacuated_at + EVACUATE + STRETCH
        await asyncio.sleep(judged_from + WATCH - stage.record.now())
        clients.cancel()
        count, total = arrivals(stage, judged_from), sum(run.began >= judged_from for run in stage.runs)
        stage.conclude(
            f"{count} of {total} requests ran in {ZONE} later than {EVACUATE + STRETCH:.0f} s after its evacuation was acknowledged"
        )
        return BROKEN if count else HELD


main(play)
