"""The stand-in for the operator: it sends one order until its answer is clear, to one control plane after the other."""

import asyncio

from .http import BrokenOffError, call
from .programs import Program
from .record import Record

CALL_LIMIT = 1.0  # seconds of silence, after which the next control plane is asked
ORDER_LIMIT = 8.0  # ackS: an order other than a configuration is sent again only so long
FIRST_PAUSE, MAX_PAUSE = 0.1, 1.0


class Operator:
    """Sends orders as the page PROTOCOL says."""

    def __init__(self, record: Record) -> None:
        self.record = record

    async def order(
        self, controls: list[Program], method: str, path: str, body: bytes = b"", limit: float = ORDER_LIMIT
    ) -> tuple[int, float]:
        """(status, when it came). `controls`: in the order in which they are asked."""
        headers = {"Host": "operator", "Content-Type": "application/json"}
        end, pause, number = self.record.now() + limit, FIRST_PAUSE, 0
        while self.record.now() < end:
            control = controls[number % len(controls)]
            self.record.note(f"operator sends {method} {path} to {control.name}")
            status = 0
            try:
                status = (await call(control.at("control"), method, path, headers, body, CALL_LIMIT)).status
            except (OSError, TimeoutError, BrokenOffError):
                pass
            self.record.tell(f"operator: {method} {path} at {control.name}: {status or 'no answer'}")
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, self.record.now()
            await asyncio.sleep(pause)
            pause, number = min(MAX_PAUSE, 2 * pause), number + 1
        return 0, self.record.now()
