"""A few clients send large bodies at once, each within `caps`; a process over `memMb` is killed, as the machines do."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage2 import (  # noqa: E402
    BROKEN,
    HELD,
    MEMORY_MB,
    TROUBLE,
    CannotRun,
    Process,
    Stage,
    Worker,
    call,
    headers_of_request,
    main,
    request_bytes,
)

HERE = Path(__file__).resolve().parent
BODY = bytes(60 << 20)  # `bodyBytes` is 64 MiB
AT_ONCE, BURSTS = 4, 3  # clients, and how often on each of the gateways
GATEWAYS = 2  # that get them: a tenth of the machines, two at least
DEADLINE, LOOK_INTERVAL, RESTART_AFTER = 4.0, 0.01, 0.3
PAUSE = 1.0  # after a burst
SMALL_INTERVAL, WORK = 0.1, 0.3  # other clients' holds at the same gateways, and how long a worker is at each
TIMES = 3  # that a process ends by itself, for a fault


class Machine:
    """What the platform does for one gateway: it kills a process that is over its memory, and starts it again."""

    def __init__(self, stage: Stage, gateway: Process) -> None:
        self.stage, self.gateway, self.ends, self.peak = stage, gateway, 0, 0.0

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            used = self.gateway.memory_mb()
            self.peak = max(self.peak, used)
            if used <= MEMORY_MB["data-plane"]:
                continue
            self.ends += 1
            self.stage.record(
                f"{self.gateway.name} uses {used:.0f} MB, memMb is {MEMORY_MB['data-plane']}: it is killed"
            )
            await self.gateway.kill()
            await asyncio.sleep(RESTART_AFTER)
            await self.gateway.start()


async def upload(stage: Stage, gateway: Process, number: int) -> None:
    headers = headers_of_request(DEADLINE)
    answer = await call(gateway.address("front"), request_bytes("POST", f"/hold/{number}", headers, BODY), DEADLINE)
    said = answer.first if answer is not None else "no answer"
    stage.record(f"client attempt {headers['Attempt-Id']}, {len(BODY)} bytes to {gateway.name}: {said}")


class HoldWorker(Worker):
    """Sound; takes a moment for each request."""

    work_s = WORK


class SmallHolds:
    """Another client's holds of a few bytes at one gateway."""

    def __init__(self, stage: Stage, gateway: Process) -> None:
        self.stage, self.gateway, self.unanswered = stage, gateway, set[str]()
        self.tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        while True:
            task = asyncio.create_task(self._send())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(SMALL_INTERVAL)

    async def _send(self) -> None:
        headers = headers_of_request(DEADLINE)
        answer = await call(
            self.gateway.address("front"), request_bytes("POST", "/hold/small", headers, b"one"), DEADLINE
        )
        if answer is None:
            self.unanswered.add(headers["Attempt-Id"])

    def lost(self) -> int:
        """Holds that a worker ran and that nobody answered."""
        return sum(run.id in self.unanswered for run in self.stage.runs)


async def bursts(stage: Stage, gateway: Process) -> None:
    """With the disruption all clients at once, else the same ones after each other."""
    for burst in range(BURSTS):
        if not await stage.until_ready(gateway, 15.0):
            raise CannotRun(f"{gateway.name} is not ready again")
        stage.record(f"{AT_ONCE} clients at {gateway.name}, which uses {gateway.memory_mb():.0f} MB")
        if TROUBLE:
            await asyncio.gather(*(upload(stage, gateway, 10 * burst + client) for client in range(AT_ONCE)))
        else:
            for client in range(AT_ONCE):
                await upload(stage, gateway, 10 * burst + client)
        await asyncio.sleep(PAUSE)


async def play() -> int:
    async with Stage(HERE, gateways=3) as stage:
        await stage.add_workers(HoldWorker, "shelf", 6)
        await stage.start()
        machines = [Machine(stage, gateway) for gateway in stage.gateways[:GATEWAYS]]
        others = [SmallHolds(stage, machine.gateway) for machine in machines]
        tasks = [asyncio.create_task(work) for work in (*(m.watch() for m in machines), *(o.play() for o in others))]
        for machine in machines:
            await bursts(stage, machine.gateway)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(task for other in others for task in other.tasks), return_exceptions=True)
        for machine, other in zip(machines, others, strict=True):
            stage.conclude(
                f"{machine.gateway.name}: at most {machine.peak:.0f} MB, killed {machine.ends} times; "
                f"{other.lost()} small holds ran and were not answered"
            )
        is_fault = all(machine.ends >= TIMES for machine in machines)
        stage.conclude(f"on {GATEWAYS} machines processes ended by themselves {TIMES} times: {is_fault}")
        return BROKEN if is_fault else HELD


main(play)
