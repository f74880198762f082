"""What is done to the processes, workers, links and the platform: one coroutine for each kind of trouble of a schedule."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from .processes import ClusterProcess, Processes
from .records import Disturbance
from .schedule import Trouble
from .workers import Fleet, Platform, SoakWorker, cut, heal, slow_link

READY_LIMIT, READY_POLL = 12.0, 0.05
SUSPENDED_POLL = 0.01
LISTED_AFTER_CRASH = 2.0  # seconds for which the platform still lists a worker that crashed
LINK_DELAY = 0.15
DRAIN_MARGIN = 1.0


class Troubles:
    """Carries out the troubles of a schedule; they overlap as they come, but for control planes, one of which is down at a time."""

    def __init__(
        self,
        run: Processes,
        fleet: Fleet,
        platform: Platform,
        is_ready: Callable[[ClusterProcess], Awaitable[bool]],
        holds_lease: Callable[[ClusterProcess], Awaitable[bool]],
    ) -> None:
        """`is_ready`: does a process serve? `holds_lease`: does a control plane say that it holds the lease?"""
        self.run, self.fleet, self.platform, self.is_ready = run, fleet, platform, is_ready
        self.holds_lease = holds_lease
        self.skipped = 0
        self._control_free_at = 0.0
        self._standing: set[asyncio.Future[None]] = set()  # referred to, or they may be collected before they end

    async def carry_out(self, trouble: Trouble) -> None:
        """One trouble, from its beginning to its end."""
        part, _, what = trouble.kind.partition("_")
        if trouble.kind == "kill_all":
            await self._kill_all(trouble)
        elif part == "gateway":
            await self._process(self.run.gateways[trouble.target % len(self.run.gateways)], what, trouble)
        elif part == "control":
            await self._control(what, trouble)
        elif part == "platform":
            await self._platform(what, trouble)
        else:
            await self._worker(trouble)

    async def stop_holder(self, seconds: float) -> None:
        """The lease holder stands still for so long, unless another control plane is in trouble; returns once it does."""
        trouble = Trouble(self.run.now(), "control_holder_stop", 0, seconds)
        standing = asyncio.ensure_future(self.carry_out(trouble))
        self._standing.add(standing)
        standing.add_done_callback(self._standing.discard)
        while not standing.done() and not any(control.is_suspended for control in self.run.controls):
            await asyncio.sleep(SUSPENDED_POLL)

    # Processes -------------------------------------------------------------------------------------------------------

    async def _control(self, what: str, trouble: Trouble) -> None:
        """One at a time, `syncS` after its return included: more than `faults` allows is no fault of the program."""
        now = self.run.now()
        if now < self._control_free_at:
            self.skipped += 1
            return
        self._control_free_at = float("inf")
        try:
            if what == "alone":
                await self._alone(trouble)
            elif what == "holder_stop":
                await self._process(await self._lease_holder(trouble), "stop", trouble)
            else:
                await self._process(self.run.controls[trouble.target % len(self.run.controls)], what, trouble)
        finally:
            self._control_free_at = self.run.now() + self.run.description.bounds.syncS

    async def _lease_holder(self, trouble: Trouble) -> ClusterProcess:
        """The control plane that holds the lease, or the target where none says so."""
        for control in self.run.controls:
            if await self.holds_lease(control):
                return control
        return self.run.controls[trouble.target % len(self.run.controls)]

    async def _process(self, process: ClusterProcess, what: str, trouble: Trouble) -> None:
        disturbance = self.run.disturb(process, trouble.kind, planned=what in ("term", "hup"))
        if what == "hup":
            process.signal(signal.SIGHUP)
        elif what == "stop":
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(trouble.seconds)
            process.signal(signal.SIGCONT)
        else:
            await self._restart(process, what, trouble.seconds)
        disturbance.end = self.run.now()

    async def _alone(self, trouble: Trouble) -> None:
        """More than `faults` allows are down, and no more disks are lost: nothing acknowledged may be gone (NEWS-22). Killed, not
        stopped: what was sent to them meanwhile is lost with them."""
        disturbances = [self.run.disturb(process, trouble.kind) for process in self.run.controls]
        alone = self.run.controls[trouble.target % len(self.run.controls)]
        others = [process for process in self.run.controls if process is not alone]
        await asyncio.gather(*(process.kill() for process in others))
        await asyncio.sleep(trouble.seconds)
        await alone.kill()
        alone.wipe()
        await asyncio.gather(*(self._start(process) for process in self.run.controls))
        for disturbance in disturbances:
            disturbance.end = self.run.now()

    async def _restart(self, process: ClusterProcess, what: str, downtime: float) -> None:
        if what == "term":
            await process.stop(self.run.description.bounds.graceS)
        else:
            await process.kill()
        if what == "wipe":
            process.wipe()
        await asyncio.sleep(downtime)
        await self._start(process)

    async def _start(self, process: ClusterProcess) -> None:
        async with process.lock:
            await process.start()
        end = self.run.now() + READY_LIMIT
        while self.run.now() < end and not await self.is_ready(process):
            await asyncio.sleep(READY_POLL)

    async def _kill_all(self, trouble: Trouble) -> None:
        disturbances = [self.run.disturb(process, trouble.kind) for process in self.run.all]
        for process in self.run.all:
            process.signal(signal.SIGKILL)
        for process in self.run.all:
            await process.kill()
        await asyncio.sleep(trouble.seconds)
        await asyncio.gather(*(self._start(process) for process in self.run.all))
        for disturbance in disturbances:
            disturbance.end = self.run.now()

    # The platform and the workers --------------------------------------------------------------------------------------

    async def _platform(self, what: str, trouble: Trouble) -> None:
        disturbance = self._note("platform", trouble)
        self.platform.mode = what
        await asyncio.sleep(trouble.seconds)
        self.platform.mode = "ok"
        disturbance.end = self.run.now()

    async def _worker(self, trouble: Trouble) -> None:
        number = trouble.target % len(self.fleet.workers)
        worker = self.fleet.workers[number]
        disturbance = self._note(worker.id, trouble)
        if trouble.kind == "worker_crash":
            await self._crash(number, worker)
        elif trouble.kind == "worker_drain":
            await self._replace(number, worker)
        else:
            _set_fault(worker, trouble.kind, True)
            await asyncio.sleep(trouble.seconds)
            _set_fault(worker, trouble.kind, False)
        disturbance.end = self.run.now()

    async def _crash(self, number: int, worker: SoakWorker) -> None:
        if worker.draining:
            return
        worker.draining = True  # for the troubles that come: it is on its way out; its row is as it was
        self.fleet.workers[number] = await self.fleet.start_one(number)
        await worker.crash()
        worker.draining = False
        await asyncio.sleep(LISTED_AFTER_CRASH)
        self.fleet.listed.remove(worker)

    async def _replace(self, number: int, worker: SoakWorker) -> None:
        """The new one starts first; the old one drains and serves on for a while."""
        if worker.draining:
            return
        self.fleet.workers[number] = await self.fleet.start_one(number)
        worker.draining = True
        await asyncio.sleep(self.run.description.bounds.drainS + DRAIN_MARGIN)
        while worker.running:
            await asyncio.sleep(READY_POLL)
        self.fleet.listed.remove(worker)
        await worker.close()

    def _note(self, name: str, trouble: Trouble) -> Disturbance:
        disturbance = Disturbance(name, trouble.kind, self.run.now(), float("inf"), False)
        self.run.records.disturbances.append(disturbance)
        return disturbance


def _set_fault(worker: SoakWorker, kind: str, on: bool) -> None:
    match kind:
        case "worker_slow":
            worker.faults.slow = on
        case "worker_break":
            worker.faults.breaks = on
        case "worker_lose":
            worker.faults.loses = on
        case "worker_refuse":
            worker.faults.refuses = on
        case "link_cut" if on:
            cut(worker)
        case "link_slow" if on:
            slow_link(worker, LINK_DELAY)
        case _:
            heal(worker)
