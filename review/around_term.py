"""What case 6 is made of: holds at one gateway before and after its SIGTERM, and whether the rule LOST was broken."""

import asyncio
import signal
from pathlib import Path

from stage2 import (
    BROKEN,
    GRACE,
    HELD,
    CannotRun,
    Message,
    Stage,
    Worker,
    call,
    headers_of_request,
    request_bytes,
)

DEADLINE, REQUESTS, INTERVAL = 4.0, 30, 0.1  # one request every tenth of a second
BEFORE_TERM = 1.5  # from the first request to SIGTERM
CALM = 5.5  # seconds without any trouble before the first request: more than `contactS`
LAST_RUNS = DEADLINE + 1.0


class Hold:
    """One request that may run once, and what it was answered."""

    def __init__(self, number: int) -> None:
        self.number, self.headers = number, headers_of_request(DEADLINE)
        self.sent_at = self.ended_at = 0.0
        self.answer: Message | None = None

    @property
    def id(self) -> str:
        return self.headers["Attempt-Id"]

    @property
    def is_sealed(self) -> bool:
        """Did the client get the whole answer of a worker?"""
        return self.answer is not None and self.answer.complete and "worker-seal" in self.answer.headers


async def send(stage: Stage, hold: Hold) -> None:
    """Sends it on a connection of its own and notes the answer."""
    data = request_bytes("POST", f"/hold/{hold.number}", hold.headers, b"one copy")
    hold.sent_at = stage.record.now()
    hold.answer = await call(stage.gateways[0].address("front"), data, DEADLINE)
    hold.ended_at = stage.record.now()
    answer = hold.answer
    said = f"{answer.first}, seal {answer.headers.get('worker-seal', 'none')}" if answer is not None else "no answer"
    stage.record(
        f"client attempt {hold.id} sent at {hold.sent_at:.3f}, after {hold.ended_at - hold.sent_at:.2f} s: {said}"
    )


def is_lost(stage: Stage, hold: Hold, term_at: float) -> bool:
    """LOST: cut or answered by the gateway itself after SIGTERM, though a worker was at work on it that did not break off, well
    before the deadline and the route's time-out (both 4 s) and before the second half of `graceS`."""
    was_passed_on = any(run.id == hold.id for run in stage.runs)
    ended_in_time = term_at <= hold.ended_at <= min(term_at + GRACE / 2, hold.sent_at + DEADLINE / 2)
    return was_passed_on and ended_in_time and not hold.is_sealed


async def holds_around_term(case: Path, worker: type[Worker]) -> int:
    """The exit code of the case."""
    async with Stage(case, gateways=2) as stage:
        await stage.add_workers(worker, "shelf", 6)
        await stage.start()
        await asyncio.sleep(CALM)
        holds = [Hold(number) for number in range(REQUESTS)]

        async def terminate() -> float:
            await asyncio.sleep(BEFORE_TERM)
            stage.gateways[0].signal(signal.SIGTERM)
            return stage.record.now()

        async def client(hold: Hold) -> None:
            await asyncio.sleep(hold.number * INTERVAL)
            await send(stage, hold)

        term_at, *_ = await asyncio.gather(terminate(), *(client(hold) for hold in holds))
        await asyncio.sleep(LAST_RUNS)
        if not stage.runs:
            raise CannotRun("no request reached a worker")
        lost = [hold for hold in holds if is_lost(stage, hold, term_at)]
        completed = sum(run.ending == "answered" for run in stage.runs)
        sealed = sum(hold.is_sealed for hold in holds)
        stage.conclude(
            f"{len(holds)} requests, {len(stage.runs)} runs, {completed} of them completed by their workers, "
            f"{sealed} answers of workers received; {len(lost)} requests lost around SIGTERM"
        )
        return BROKEN if lost else HELD
