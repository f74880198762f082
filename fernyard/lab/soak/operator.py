"""The emulated operator: configurations that are valid or wrong in every way, races, evacuations, reads. Each call is noted."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from .clients import HOST_NAME, KEYS, Answer, BrokenOffError, http_call
from .processes import ClusterProcess, Processes
from .records import Call, Records
from .schedule import Order
from .workers import SERVICES

CALL_LIMIT = 1.0
REDIRECT = 307  # a status, by which a control plane asks for the call again: it names itself
MAX_CALLS = 3  # that are made in all where that is answered
BACKOFFS = (0.1, 0.2, 0.4, 0.8, 1.0, 1.0)  # between the tries of one call
REVOKED_KEY = "key-that-is-taken-away"
FIRST_VERSION, VERSION_STEP = 3, 2
EVACUATION_KINDS = {"POST": "evacuate", "DELETE": "restore"}  # of calls, by their methods
BRIEFLY = 2.0  # seconds for which a zone is empty
SERIES_PAUSES = (1.0, 0.3)  # seconds from the acknowledgement of an order of a series to the next one
STAND_STILL = 1.7  # seconds
HOLD_MARGIN = 2.5  # seconds beyond `evacuateS` for which the last evacuation of a series stands
ROUTE_TIMEOUT = 3.0  # seconds, of each route


Steps = tuple[tuple[str, float], ...]  # methods, and the pause in seconds after the acknowledgement of each


async def _stop_nobody(seconds: float) -> None:
    """Where there is nobody to carry out troubles."""


class Operator:
    """Calls the control planes, each call again until its answer is clear."""

    def __init__(self, run: Processes, records: Records, now: Callable[[], float], seed: int) -> None:
        self.run, self.records, self.now = run, records, now
        self.random = Random(f"operator {seed}")
        self.version, self.evacuated = FIRST_VERSION, False
        self.revoked = False
        self.stop_holder: Callable[[float], Awaitable[None]] = _stop_nobody

    # What is sent ----------------------------------------------------------------------------------------------------

    def configuration(self, version: int) -> dict[str, Any]:
        """A valid configuration of that version."""
        target = round(0.4 + 0.01 * (version % 40), 2)

        def path(name: str, kind: str, tries: int, **where: Any) -> dict[str, Any]:
            own = {"name": name, "prefix": f"/{name}/", "kind": kind, "timeoutS": ROUTE_TIMEOUT, "targetS": target}
            return {**own, "prio": 1, "tries": tries, "public": False, "homeRegions": [], **where}

        split = {"split": [{"svc": "main", "weight": 90}, {"svc": "files", "weight": 10}]}
        keys = [] if self.revoked else [REVOKED_KEY]
        rate = self.run.description.quota
        return {
            "ver": f"{version:08x}",
            "svcs": [
                {"name": name, "healthPath": "/healthz", "maxConns": 200, "coldS": 0.0, "coldRateS": 0.0}
                for name in SERVICES
            ],
            "caps": {"headerBytes": 16384, "bodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
            "accounts": [
                {"name": "free", "apikeys": [KEYS["free"], *keys], "prio": 1, "ratePerS": 0, "burstMax": 0},
                {"name": "limited", "apikeys": [KEYS["limited"]], "prio": 1, "ratePerS": rate, "burstMax": rate},
            ],
            "vhosts": [
                {
                    "host": HOST_NAME,
                    "paths": [
                        path("read", "idempotent", 2, **split),
                        path("write", "mutating", 2, svc="main"),
                        path("large", "egress", 2, svc="files"),
                    ],
                }
            ],
        }

    def _wrong(self, how: str) -> tuple[int, bytes]:
        """(version, bytes) of a configuration that has to be rejected."""
        version = self.version + VERSION_STEP
        told = self.configuration(version)
        first = told["vhosts"][0]["paths"][0]
        if how == "odd_kind":
            first["kind"] = "sometimes"
        elif how == "unknown_service":
            first["split"][0]["svc"] = "nobody"
        elif how == "bad_prefix":
            first["prefix"] = "read"
        elif how == "other_bytes":
            version = self.version
            told = {**self.configuration(version), "accounts": []}
        body = json.dumps(told).encode()
        return version, body[: len(body) // 2] if how == "cut_short" else body

    # Orders ----------------------------------------------------------------------------------------------------------

    async def carry_out(self, order: Order) -> None:
        """One order of the schedule."""
        if order.kind == "refused":
            version, body = self._wrong(order.how)
            await self._put("refused", order.how, version, body, once=True)
        elif order.kind == "race":
            versions = [self._next(), self._next()]
            await asyncio.gather(
                *(self._put("race", "", v, json.dumps(self.configuration(v)).encode()) for v in versions)
            )
        elif order.kind == "evacuate":
            await self._evacuate(order.how, (("POST", BRIEFLY), ("DELETE", BRIEFLY)))
        elif order.kind == "series":
            await self._evacuate(order.how, self._series())
        elif order.kind == "overtaken":
            await self._evacuate(order.how, self._series(), holder_stands_still=True)
        elif order.kind == "read":
            await self.read(self.random.choice(self.run.controls))
        else:
            self.revoked = self.revoked or order.kind == "revoke"
            await self.put_next(order.kind)

    def _next(self) -> int:
        self.version += VERSION_STEP
        return self.version

    async def put_next(self, kind: str) -> Call:
        """The next valid configuration, until it is acknowledged or tries run out."""
        version = self._next()
        return await self._put(kind, "", version, json.dumps(self.configuration(version)).encode())

    async def _put(self, kind: str, how: str, version: int, body: bytes, once: bool = False) -> Call:
        call = Call(kind, how, "", self.now(), version=version, body=body)
        self.records.calls.append(call)
        return await self._until_clear(call, "PUT", "/-/config", body, once)

    def _series(self) -> Steps:
        """A zone is emptied, taken back, and emptied again for as long as it takes to judge that."""
        hold = self.run.description.bounds.evacuateS + HOLD_MARGIN
        first, second = SERIES_PAUSES
        return (("POST", first), ("DELETE", second), ("POST", hold), ("DELETE", BRIEFLY))

    async def _evacuate(self, zone: str, steps: Steps, holder_stands_still: bool = False) -> None:
        """A zone is emptied and taken back. `holder_stands_still`: the lease holder does, from right before the second step."""
        if self.evacuated:
            return
        self.evacuated = True
        for number, (method, pause) in enumerate(steps):
            if number == 1 and holder_stands_still:
                await self.stop_holder(STAND_STILL)
            call = Call(EVACUATION_KINDS[method], zone, "", self.now())
            self.records.calls.append(call)
            await self._until_clear(call, method, f"/-/evacuate/{zone}", b"", False)
            await asyncio.sleep(pause)
        self.evacuated = False

    async def read(self, control: ClusterProcess) -> Call:
        """What one control plane has as the newest configuration."""
        call = Call("read", "", control.name, self.now())
        answer = await self._call(control, "GET", "/-/config", b"")
        call.ended_at = self.now()
        if answer is not None:
            call.status, call.body = answer.status, answer.body
        self.records.calls.append(call)
        return call

    async def _until_clear(self, call: Call, method: str, path: str, body: bytes, once: bool) -> Call:
        for backoff in BACKOFFS:
            # One that stands still costs a second; orders in quick series go to those that run.
            running = [control for control in self.run.controls if not control.is_suspended] or self.run.controls
            control = self.random.choice(running if call.kind in EVACUATION_KINDS.values() else self.run.controls)
            answer = await self._call(control, method, path, body)
            call.process, call.ended_at = control.name, self.now()
            call.status = answer.status if answer is not None else 0
            if call.status in (200, 400, 404, 409, 412, 413, 422) or (once and call.status):
                return call
            await asyncio.sleep(backoff)
        return call

    async def _call(self, control: ClusterProcess, method: str, path: str, body: bytes) -> Answer | None:
        """The answer; one that asks for the call again is followed, as PROTOCOL.md says of callers."""
        try:
            for _ in range(MAX_CALLS):
                answer = await asyncio.wait_for(self._exchange(control, method, path, body), CALL_LIMIT)
                if answer.status != REDIRECT:
                    break
            return answer
        except (OSError, TimeoutError, BrokenOffError):
            return None

    async def _exchange(self, control: ClusterProcess, method: str, path: str, body: bytes) -> Answer:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return await http_call(control.ip, self.run.ports.control, head.encode() + body)
