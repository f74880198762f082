"""What the scripts share: a small deployment with workers, a platform, clients and an operator around it. Times are seconds."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .clients import Clients
from .http import BrokenOffError, call
from .operator import Operator
from .programs import START_LIMIT, Program, System
from .record import Record
from .workers import Platform, Run, Worker

HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh makes 1 of 10: an error of the script itself ends with 1
HOST, KEY, PATH = "review.example", "key-of-the-tenant", "/read/"
SERVICES = ("main", "second")
RATE = 10.0  # requests a second to each gateway
CASE_LIMIT = 110.0
POLL = 0.2


class NotRunError(Exception):
    """The case could not be played."""


def configuration(version: int, service: str, hold: str = "", prio: object = 1) -> bytes:
    """Two services, one tenant without a quota, one route to one of the services. `hold`: the service of a second route, whose
    requests may run once at most; `prio`: the tenant's rank."""
    common = {"targetS": 0.8, "prio": 1, "tries": 2, "public": False}
    paths = [{"name": "read", "prefix": PATH, "kind": "idempotent", "timeoutS": 3, "svc": service, **common}]
    if hold:
        paths.append({"name": "hold", "prefix": "/hold/", "kind": "mutating", "timeoutS": 4, "svc": hold, **common})
    services = [
        {"name": name, "healthPath": "/healthz", "maxConns": 100, "coldS": 3.0, "coldRateS": 12.0} for name in SERVICES
    ]
    return json.dumps(
        {
            "ver": f"{version:08x}",
            "svcs": services,
            "caps": {"headerBytes": 16384, "bodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
            "accounts": [{"name": "tenant", "apikeys": [KEY], "prio": prio, "ratePerS": 0, "burstMax": 0}],
            "vhosts": [{"host": HOST, "paths": paths}],
        }
    ).encode()


class Scene:
    """A small deployment: three control planes, a gateway and six workers in each of three zones."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.system = System(
            self.record, controls=["zone-a", "zone-a", "zone-b"], gateways=["zone-a", "zone-b", "zone-c"]
        )
        self.runs: list[Run] = []
        self.workers = [
            Worker(f"i-{number:04x}", service, zone, self.record, self.runs)
            for number, (zone, service) in enumerate((z, s) for z in self.system.zones for s in SERVICES for _ in "123")
        ]
        self.platform = Platform(self.workers)
        self.operator = Operator(self.record)
        self.clients = Clients(self.record, HOST, KEY)
        self._traffic: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts all, has a first configuration acknowledged, waits until all gateways are ready, and sends traffic."""
        for number, worker in enumerate(self.workers):
            await worker.start(self.system.worker_host(number + 2))
        self.system.platform = await self.platform.server.listen(self.system.worker_host(1))
        await self.system.start()
        status, _ = await self.put(3, "main")
        for _ in range(int(START_LIMIT / POLL)):
            if status == 200 and all([await is_ready(gateway) for gateway in self.system.gateways]):
                break
            await asyncio.sleep(POLL)
        else:
            raise NotRunError("not all gateways are ready")
        self._traffic = asyncio.ensure_future(self.clients.run(self.system.gateways, PATH, RATE))

    async def put(self, version: int, service: str, hold: str = "", prio: object = 1) -> tuple[int, float]:
        """The operator's call with a configuration (see `configuration`)."""
        body = configuration(version, service, hold, prio)
        return await self.operator.order(self.system.controls, "PUT", "/-/config", body, START_LIMIT)

    async def lease_holder(self) -> Program:
        """The control plane that reads the platform's list now."""
        for _ in range(int(START_LIMIT / POLL)):
            for control in self.system.controls:
                told = await call(control.at("control"), "GET", "/-/status", {"Host": "operator"})
                if json.loads(told.body)["listHere"]:
                    return control
            await asyncio.sleep(POLL)
        raise NotRunError("no control plane reads the platform's list")

    async def close(self) -> None:
        """Ends all that was started."""
        if self._traffic is not None:
            self._traffic.cancel()
        self.record.tell(f"answers to clients by status (0: none): {dict(sorted(self.clients.statuses.items()))}")
        await self.system.close()
        for server in [self.platform.server, *(worker.server for worker in self.workers)]:
            if server is not None:
                server.close()


async def is_ready(gateway: Program) -> bool:
    """What the platform asks each gateway."""
    try:
        return (await call(gateway.at("ready"), "GET", "/-/readyz", {"Host": "platform"})).status == 200
    except (OSError, TimeoutError, BrokenOffError):
        return False


async def stand_still(record: Record, program: Program, seconds: float) -> float:
    """A process is stopped and continued; when it went on."""
    program.send_signal(signal.SIGSTOP)
    record.tell(f"{program.name} stands still")
    await asyncio.sleep(seconds)
    program.send_signal(signal.SIGCONT)
    record.tell(f"{program.name} goes on")
    return record.now()


async def _play(folder: Path, play: Callable[[Scene], Awaitable[int]]) -> int:
    scene = Scene(folder)
    try:
        async with asyncio.timeout(CASE_LIMIT):
            await scene.start()
            return await play(scene)
    except (OSError, TimeoutError, BrokenOffError, NotRunError) as error:
        scene.record.tell(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await scene.close()


def main(folder: Path, play: Callable[[Scene], Awaitable[int]]) -> None:
    """Plays a case and exits with HELD, BROKEN or NOT_RUN."""
    sys.exit(asyncio.run(_play(folder, play)))
