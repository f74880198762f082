"""Machines of the core lose their disks, one at a time and further apart than `syncS`, while the operator sends one configuration
after the other. TROUBLE=0: no disk is lost."""

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage2 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Process,
    Stage,
    Worker,
    call,
    main,
    request_bytes,
)

HERE = Path(__file__).resolve().parent
FIRST_ORDERS = 1.0  # seconds of orders before the first loss
LOSSES = 6  # at most, each of another machine than the last
DARK, SYNC, MARGIN = 1.0, 4.0, 0.2  # seconds for which a machine is down; `syncS`; from there to the next loss
ACK_PATIENCE = 15.0  # for the next acknowledgement, after which the losses end: well over `ackS`
READ_PATIENCE = 30.0  # for a read after all machines are back: more than `recoveryS` and `contactS` together
CALL_PATIENCE = 1.0


class Operator:
    """Sends valid configurations, each the next version as soon as the last one was acknowledged."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.stopping, self.acknowledged, self.newest = stage, False, 0, 0
        self.last_at: Process | None = None
        self.changed = asyncio.Event()

    async def play(self) -> None:
        while not self.stopping:
            self.stage.version += 1
            await self._send(self.stage.version)

    async def _send(self, version: int) -> None:
        """To the control plane that acknowledged last, then to the others in turn, until it is acknowledged."""
        body = json.dumps(self.stage.configuration(version)).encode()
        data = request_bytes("PUT", "/-/config", {"Host": "control", "Content-Type": "application/json"}, body)
        controls = self.stage.controls
        turn, pause = controls.index(self.last_at) if self.last_at is not None else 0, 0.1
        while not self.stopping:
            control = controls[turn % len(controls)]
            answer = await call(control.address("control"), data, CALL_PATIENCE)
            status = answer.status if answer is not None else "no answer"
            self.stage.record(f"operator PUT version {version} at {control.name}: {status}")
            if status == 200:
                self.acknowledged, self.newest, self.last_at = self.acknowledged + 1, version, control
                self.changed.set()
                return
            turn += 1
            await asyncio.sleep(pause)
            pause = min(1.0, 1.5 * pause)

    async def next_acknowledging(self) -> Process | None:
        """The control plane that acknowledges the next configuration; None where none does."""
        self.changed.clear()
        try:
            async with asyncio.timeout(ACK_PATIENCE):
                await self.changed.wait()
        except TimeoutError:
            return None
        return self.last_at


async def lose_disk(stage: Stage, control: Process) -> None:
    """Power off, and back after `DARK` with an empty disk."""
    await control.kill()
    shutil.rmtree(control.folder / "data")
    stage.record(f"{control.name} has lost its disk")
    await asyncio.sleep(DARK)
    await control.start()


async def lose_disks(stage: Stage, operator: Operator) -> int:
    """The machine that has just acknowledged, or, where that one was lost last, the one that has not been lost for longest. How
    many were lost."""
    order = list(stage.controls)  # the one lost last stands last
    for number in range(LOSSES):
        lost = await operator.next_acknowledging()
        if lost is None:
            return number
        if number and lost is order[-1]:
            lost = order[0]
        order.remove(lost)
        order.append(lost)
        await lose_disk(stage, lost)
        await asyncio.sleep(SYNC + MARGIN)
    return LOSSES


async def read_newest(stage: Stage, wanted: int) -> int | None:
    """The newest version that a read gives; asked for again and again until it is the one that is wanted."""
    until, newest, turn = time.monotonic() + READ_PATIENCE, None, 0
    while time.monotonic() < until and (newest is None or newest < wanted):
        control = stage.controls[turn % len(stage.controls)]
        answer = await call(control.address("control"), request_bytes("GET", "/-/config", {"Host": "control"}), 1.0)
        if answer is not None and answer.status == 200:
            newest = max(newest or 0, int(json.loads(answer.body)["ver"], 16))
        stage.record(
            f"operator GET at {control.name}: {answer.status if answer is not None else 'no answer'}, {newest}"
        )
        turn += 1
        await asyncio.sleep(0.3)
    return newest


async def play() -> int:
    async with Stage(HERE, gateways=2) as stage:
        await stage.add_workers(Worker, "shelf", 3)
        await stage.start()
        operator = Operator(stage)
        series = asyncio.create_task(operator.play())
        await asyncio.sleep(FIRST_ORDERS)
        if TROUBLE:
            losses = await lose_disks(stage, operator)
        else:
            losses = 0
            await asyncio.sleep(LOSSES * (DARK + SYNC + MARGIN))
        operator.stopping = True
        await series
        newest = await read_newest(stage, operator.newest)
        for control in stage.controls:
            answer = await call(control.address("control"), request_bytes("GET", "/-/status", {"Host": "x"}), 1.0)
            stage.record(f"{control.name} says: {answer.body.decode() if answer is not None else 'nothing'}")
        stage.conclude(
            f"{losses} disks lost; {operator.acknowledged} configurations acknowledged, the newest version {operator.newest}; "
            f"read within {READ_PATIENCE:.0f} s after: {newest}"
        )
        for control in stage.controls:
            control.signal(signal.SIGKILL)
        return HELD if newest is not None and newest >= operator.newest else BROKEN


main(play)
