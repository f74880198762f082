"""The stand-in for clients: requests at a steady rate to every gateway, each on a connection of its own."""

import asyncio

from .http import BrokenOffError, call
from .programs import Program
from .record import Record

DEADLINE = 3.0  # seconds that a client waits


class Clients:
    """Each request is one try with an id of its own; `gateway_of` tells to which gateway it went, `sent_at` when."""

    def __init__(self, record: Record, host: str, key: str) -> None:
        self.record, self.host, self.key = record, host, key
        self.gateway_of: dict[str, str] = {}
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[int, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0

    async def _send(self, gateway: Program, path: str) -> None:
        self.number += 1
        id = f"{self.number:016x}"
        self.gateway_of[id], self.sent_at[id] = gateway.name, self.record.now()
        headers = {
            "Host": self.host,
            "Attempt-Id": id,
            "Deadline-Ms": str(int(1000 * DEADLINE)),
            "Key": self.key,
        }
        status = 0
        try:
            status = (await call(gateway.at("front"), "GET", f"{path}{id}", headers, limit=DEADLINE)).status
        except (OSError, TimeoutError, BrokenOffError):
            pass
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.note(f"request {id} to {gateway.name}: {status or 'no answer'}")

    async def run(self, gateways: list[Program], path: str, rate: float) -> None:
        """Sends `rate` requests a second to each of the gateways, until it is cancelled."""
        while True:
            for gateway in gateways:
                task = asyncio.ensure_future(self._send(gateway, path))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / rate)
