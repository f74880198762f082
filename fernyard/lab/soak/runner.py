"""Plays one run: starts the processes and what stands around them, plays the schedule, and has the records judged."""

import asyncio
import json
import shutil
import tempfile
import time
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import attrs

from ..load import at_offset
from .checks import judge_run
from .clients import Answer, BrokenOffError, Client, http_call
from .description import SoakDescription, check_size, memory_mb
from .judge import Verdict
from .operator import Operator
from .probe import Probe
from .processes import ClusterProcess, Processes
from .records import Records, Usage
from .schedule import PATIENCE, Schedule
from .troubles import Troubles
from .workers import Fleet, Platform

START_LIMIT, START_POLL = 60.0, 0.1
SETTLE_AFTER_START = 1.0
READ_LIMIT = 5.0  # in which each control plane has to tell the configuration at the end
PROBE_CALL_LIMIT = 1.0


class SoakFailedError(RuntimeError):
    """The run could not be played: its processes did not come up."""


@attrs.define
class Result:
    """A run that was played. `folder`: where its logs and records are, None where they were removed."""

    description: SoakDescription
    schedule: Schedule
    verdict: Verdict
    records: Records
    skipped: int
    process_mb: float
    folder: Path | None


class SoakRun:
    """One run; made within a running loop, then `play`."""

    def __init__(self, description: SoakDescription, schedule: Schedule, folder: Path, mutant: str = "") -> None:
        self.description, self.schedule, self.folder = description, schedule, folder
        self.loop, self.records, self.probe = asyncio.get_running_loop(), Records(), Probe()
        self.started_at = time.monotonic()
        self.processes = Processes(folder, description, self.records, self.now, mutant)
        self.fleet = Fleet(self.records, self.now, schedule.seed)
        self.platform = Platform(self.fleet)
        self.operator = Operator(self.processes, self.records, self.now, schedule.seed)
        self.troubles = Troubles(self.processes, self.fleet, self.platform, self._is_ready, self._holds_lease)
        self.operator.stop_holder = self.troubles.stop_holder
        self.clients = [Client(n, self.processes, self.records, self.now) for n in range(description.clients)]
        self.before: dict[str, tuple[int, float]] = {}

    def now(self) -> float:
        """Seconds from the start of the load."""
        return time.monotonic() - self.started_at

    async def play(self) -> Records:
        """Starts all, plays, ends all, whatever happens."""
        try:
            await self._start()
            await self._play_schedule()
            await self._end()
        finally:
            await self.probe.close()
            await self.processes.close()
            await self.platform.close()
            await self.fleet.close()
        begin = self.started_at
        self.records.wake_delays = sorted((at - begin, late) for at, late in self.probe.wake_delays if at >= begin)
        return self.records

    # Start -----------------------------------------------------------------------------------------------------------

    async def _start(self) -> None:
        await self.fleet.start(self.description.workers)
        await self.platform.start()
        self.processes.platform = self.platform.address
        await self.processes.controls[0].start()
        await asyncio.sleep(SETTLE_AFTER_START)
        check_size(self.description, memory_mb(), max(1.0, self.processes.controls[0].usage()[1]))
        for process in self.processes.all:
            await process.start()
        await self._until(lambda: self._is_acknowledged(), "the first configuration is not acknowledged")
        for process in self.processes.all:
            await self._until(lambda process=process: self._is_ready(process), f"{process.name} does not serve")
        self.before = {process.name: process.usage() for process in self.processes.all}
        await self.probe.start()
        self._restart_clock()

    async def _is_acknowledged(self) -> bool:
        return (await self.operator.put_next("valid")).status == 200

    async def _until(self, true: Any, complaint: str) -> None:
        end = self.now() + START_LIMIT
        while not await true():
            if self.now() > end:
                raise SoakFailedError(f"{complaint}; its log is in {self.folder}")
            await asyncio.sleep(START_POLL)

    def _restart_clock(self) -> None:
        """From here on times count; what was sent before was sent at 0."""
        self.started_at = time.monotonic()
        for call in self.records.calls:
            call.sent_at = call.ended_at = 0.0
        self.records.exits.clear()

    async def _is_ready(self, process: ClusterProcess) -> bool:
        """A gateway tells so itself; a control plane serves once it answers a read."""
        if process.role == "control-plane":
            return (await self._status(process.ip, self.processes.ports.control, "/-/config")) == 200
        return (await self._status(process.ip, self.processes.ports.ready, "/-/readyz")) == 200

    async def _holds_lease(self, control: ClusterProcess) -> bool:
        try:
            answer = await asyncio.wait_for(
                _get(control.ip, self.processes.ports.control, "/-/status"), PROBE_CALL_LIMIT
            )
        except (OSError, TimeoutError, BrokenOffError):
            return False
        return answer.status == 200 and bool(json.loads(answer.body).get("listHere", False))

    async def _status(self, ip: str, port: int, path: str) -> int:
        try:
            return (await asyncio.wait_for(_get(ip, port, path), PROBE_CALL_LIMIT)).status
        except (OSError, TimeoutError, BrokenOffError):
            return 0

    # Load ------------------------------------------------------------------------------------------------------------

    async def _play_schedule(self) -> None:
        begin, description = self.loop.time(), self.description
        plays: list[asyncio.Task[None]] = []

        async def at(offset: float, work: Awaitable[Any]) -> None:
            await at_offset(begin, offset)
            await work

        works = [(trouble.at, self.troubles.carry_out(trouble)) for trouble in self.schedule.troubles]
        works += [(order.at, self.operator.carry_out(order)) for order in self.schedule.orders]
        plays += [self.loop.create_task(at(offset, work)) for offset, work in works]
        for arrival in self.schedule.arrivals:
            await at_offset(begin, arrival.at)
            plays.append(self.loop.create_task(self.clients[arrival.client].play(arrival)))
        await at_offset(begin, description.seconds)
        await asyncio.wait_for(asyncio.gather(*plays), PATIENCE + 10 * START_LIMIT)

    # End -------------------------------------------------------------------------------------------------------------

    async def _end(self) -> None:
        for client in self.clients:
            client.close()
        await asyncio.sleep(self.description.idle)
        for process in self.processes.all:
            if process.runs:
                self.records.usage.append(self._usage(process))
        await asyncio.gather(*(self._read_at_the_end(control) for control in self.processes.controls))
        self.records.ended_at = self.now()
        grace = self.description.bounds.graceS
        await asyncio.gather(*(process.stop(grace) for process in self.processes.gateways))
        await asyncio.gather(*(process.stop(grace) for process in self.processes.controls))
        await asyncio.gather(*self.processes.watchers)

    def _usage(self, process: ClusterProcess) -> Usage:
        descriptors, memory = process.usage()
        before = self.before[process.name]
        return Usage(process.name, (before[0], descriptors), (before[1], memory))

    async def _read_at_the_end(self, control: ClusterProcess) -> None:
        """Again and again, as the operator does."""
        end = self.now() + READ_LIMIT
        call = await self.operator.read(control)
        while call.status != 200 and self.now() < end:
            self.records.calls.remove(call)
            await asyncio.sleep(START_POLL)
            call = await self.operator.read(control)
        call.kind = "last read"


async def _get(ip: str, port: int, path: str) -> Answer:
    request = f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    return await http_call(ip, port, request.encode())


async def play(description: SoakDescription, schedule: Schedule, keep: Path | None = None, mutant: str = "") -> Result:
    """Plays a run and judges it. `keep`: where the folder of a run that was not kept goes."""
    folder = Path(tempfile.mkdtemp(prefix="fernyard-soak-"))
    try:
        run = SoakRun(description, schedule, folder, mutant)
        records = await run.play()
        verdict = judge_run(description, records)
        process_mb = max((usage.memory_mb[1] for usage in records.usage), default=0.0)
        result = Result(description, schedule, verdict, records, run.troubles.skipped, process_mb, None)
        if verdict.state == "broken" and keep is not None:
            result.folder = keep
            _keep(result, folder, keep)
        return result
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _keep(result: Result, folder: Path, keep: Path) -> None:
    """Schedule, records and logs of a run, for `--replay` and for those who trace it."""
    from .report import records_json

    keep.mkdir(parents=True, exist_ok=True)
    (keep / "schedule.json").write_text(result.schedule.to_json(), encoding="utf-8")
    (keep / "description.json").write_text(result.description.model_dump_json(), encoding="utf-8")
    (keep / "records.json").write_text(records_json(result.records), encoding="utf-8")
    for process in sorted(folder.iterdir()):
        if (process / "log").exists():
            shutil.copy(process / "log", keep / f"{process.name}.log")
