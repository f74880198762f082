"""The program's own processes on loopback addresses of their own; they are met only by signals, sockets and their output."""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import attrs

from ... import __name__ as package
from ..runner import end_with_parent
from .description import SoakDescription
from .records import Disturbance, Exit, Records

ZONES = {"z0": "r0", "z1": "r1", "z2": "r2"}
LINK_MBPS, MEMORY_MB, DESCRIPTORS = 1000, 300, 4100
BLOCKS, CLAIM_PORT = range(16, 250), 9463
KILL_MARGIN = 1.0  # seconds beyond `graceS` after which a process that still runs is killed


@attrs.frozen
class Ports:
    """The ports of a run, the same on all of its addresses."""

    front: int
    ready: int
    control: int
    directory: int
    internal: int

    @classmethod
    def draw(cls) -> "Ports":
        """Ports below those that the system gives to outgoing connections. Each run has addresses of its own."""
        first = random.SystemRandom().randrange(12_000, 30_000)
        return cls(*range(first, first + 5))


@attrs.define
class Addresses:
    """127.`block`.KIND.NUMBER. `claim`: a socket of the block's own, held for as long as the run takes: runs beside each other
    have different blocks, as each gateway's metrics have the same port."""

    block: int
    claim: socket.socket

    @classmethod
    def draw(cls) -> "Addresses":
        """A block that no other run has. Raises OSError where there is none."""
        blocks = list(BLOCKS)
        random.SystemRandom().shuffle(blocks)
        for block in blocks:
            claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                claim.bind((f"127.{block}.0.1", CLAIM_PORT))
            except OSError:
                claim.close()
                continue
            return cls(block, claim)
        raise OSError("all blocks of loopback addresses are in use by other runs")

    def of(self, kind: int, number: int) -> str:
        """The address of the process of that kind and number."""
        return f"127.{self.block}.{kind}.{number + 1}"


class ClusterProcess:
    """One process, started again as often as wanted. `settings` is written before each start."""

    def __init__(self, run: "Processes", role: str, number: int) -> None:
        self.run, self.role, self.number = run, role, number
        self.name, self.ip = f"{role}-{number}", run.addresses.of(1 if role == "control-plane" else 2, number)
        self.zone = list(ZONES)[number % len(ZONES)]
        self.folder = run.folder / self.name
        self.folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.terminated_at: float | None = None
        self.started_at = 0.0
        self.is_killed, self.is_suspended, self.starts = False, False, 0
        self.lock = asyncio.Lock()  # one series of signals after the other

    @property
    def runs(self) -> bool:
        """Is there a process now?"""
        return self.process is not None and self.process.returncode is None

    @property
    def pid(self) -> int:
        """Of the process that runs."""
        assert self.process is not None
        return self.process.pid

    async def start(self) -> None:
        """Starts it, unless it runs."""
        if self.runs:
            return
        settings = self.folder / "local.toml"
        settings.write_text(self.run.settings(self), encoding="utf-8")
        self.starts += 1
        self.terminated_at, self.is_killed, self.is_suspended = None, False, False
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                *self.run.program,
                self.role,
                env={**os.environ, "FERNYARD_BOOT": str(settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_prepare,
            )
        self.started_at = self.run.now()
        self.run.watch(self, self.process)

    def signal(self, number: int) -> None:
        """Sends a signal, if it runs."""
        if self.runs and self.process is not None:
            if number == signal.SIGTERM:
                self.terminated_at = self.run.now()
            if number == signal.SIGKILL:
                self.is_killed = True
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.is_suspended = number == signal.SIGSTOP
            # Not `send_signal`: it looks for the end of the process first, and takes its status from whoever waits for it.
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stop(self, grace: float) -> None:
        """SIGTERM, and SIGKILL where it does not end within `grace` and a margin."""
        if not self.runs or self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace + KILL_MARGIN)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def kill(self) -> None:
        """SIGKILL."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def wipe(self) -> None:
        """Its store is empty at the next start."""
        for file in sorted((self.folder / "data").rglob("*"), reverse=True):
            file.rmdir() if file.is_dir() else file.unlink()

    def usage(self) -> tuple[int, float]:
        """(descriptors, memory in MB)."""
        root = Path(f"/proc/{self.pid}")
        pages = int((root / "statm").read_text(encoding="ascii").split()[1])
        return len(os.listdir(root / "fd")), pages * resource.getpagesize() / (1 << 20)


def _prepare() -> None:
    end_with_parent(signal.SIGKILL)  # one that is stopped would not act on any other
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


class Processes:
    """All processes of one run."""

    def __init__(
        self, folder: Path, description: SoakDescription, records: Records, now: Callable[[], float], mutant: str = ""
    ) -> None:
        """`now`: seconds from the start of the load; `mutant`: a guard of the program that is taken out."""
        self.folder, self.description, self.records, self.now = folder, description, records, now
        self.addresses, self.ports = Addresses.draw(), Ports.draw()
        self.program = [f"{package}.lab.soak.mutants", mutant] if mutant else [f"{package}.cluster"]
        self.platform = ""
        self.watchers: set[asyncio.Task[None]] = set()
        self.controls = [ClusterProcess(self, "control-plane", n) for n in range(description.control_planes)]
        self.gateways = [ClusterProcess(self, "data-plane", n) for n in range(description.data_planes)]

    @property
    def all(self) -> list[ClusterProcess]:
        """Control planes first."""
        return [*self.controls, *self.gateways]

    def settings(self, process: ClusterProcess) -> str:
        """The settings file of a process, as the operators' pages give it."""
        ports, is_control = self.ports, process.role == "control-plane"
        seeds = [f"{control.ip}:{ports.control}" for control in self.controls[:3]]
        data = process.folder / "data"
        data.mkdir(exist_ok=True)
        bounds = ",".join(f"{name}={value}" for name, value in self.description.bounds.model_dump().items())
        binds = (
            {"control": ports.control, "dir": ports.directory}
            if is_control
            else {"front": ports.front, "ready": ports.ready}
        )
        lines = [
            f'node = "{process.name}"',
            f'role = "{process.role}"',
            f'ip = "{process.ip}"',
            f'zone = "{process.zone}"',
            f'region = "{ZONES[process.zone]}"',
            f"portRange = [{ports.internal},{ports.internal}]",
            f"seedAddrs = {json.dumps(seeds)}",
            f"bootstrap = {str(is_control and process.starts == 0).lower()}",
            f"voting = {str(is_control).lower()}",
            f'bounds = ["{bounds}"]',
            *([f'dataDir = "{data}"'] if is_control else []),
            "[zones]",
            *(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            "[binds]",
            *(f'{name} = "{process.ip}:{port}"' for name, port in binds.items()),
            "[caps]",
            f"memMb = {MEMORY_MB}\nmaxFds = {DESCRIPTORS}\nlinkMbps = {LINK_MBPS}.0",
            "[faults]",
            f"nodes = {(self.description.control_planes - 1) // 2}",
            "[cloud]",
            f'addr = "{self.platform}"\nratePerS = 20.0',
        ]
        return "\n".join(lines) + "\n"

    def watch(self, process: ClusterProcess, started: asyncio.subprocess.Process) -> None:
        """Notes when and how it ends."""
        task = asyncio.get_running_loop().create_task(self._note_end(process, started))
        self.watchers.add(task)
        task.add_done_callback(self.watchers.discard)

    async def _note_end(self, process: ClusterProcess, started: asyncio.subprocess.Process) -> None:
        status = await started.wait()
        expected = process.terminated_at is not None or process.is_killed
        terminated_at = None if process.is_killed and process.terminated_at is None else process.terminated_at
        self.records.exits.append(Exit(process.name, self.now(), status, terminated_at, expected, process.started_at))

    def disturb(self, process: ClusterProcess, kind: str, planned: bool = False) -> Disturbance:
        """Notes that something is done to a process; the caller sets the end."""
        disturbance = Disturbance(process.name, kind, self.now(), float("inf"), planned)
        self.records.disturbances.append(disturbance)
        return disturbance

    async def close(self) -> None:
        """Ends all, whatever state they are in."""
        for process in self.all:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.all:
            if process.process is not None:
                await process.process.wait()
        await asyncio.gather(*self.watchers, return_exceptions=True)
        self.addresses.claim.close()
