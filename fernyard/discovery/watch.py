"""Watches discovery: each answer is reported and the next watch is asked at once."""

import asyncio
import json
from dataclasses import dataclass

import aiohttp
import structlog

from ..errors import FernyardError
from ..interface import Machine
from .pace import Pace

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class Told:
    """Entries that changed, or the whole list; `machines` None: discovery could not be asked."""

    whole: bool = False
    machines: tuple[Machine, ...] | None = None
    addresses: dict | None = None


class TurnedAway(FernyardError):
    """Discovery has more calls than it can take."""


class Unreadable(FernyardError, ValueError):
    """Discovery answered, and with no list."""


class Watch:
    def __init__(self, address, machines, limits, report, version=None, seed=0):
        """`version`: of the list that the gatekeeper starts with, or None where it has none."""
        self.address, self.machines, self.limits, self.report = address, machines, limits, report
        self.version, self.seed = version, seed
        self.task = self.next = self.session = None

    def start(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=1),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.limits.connect),
        )
        self.task = asyncio.get_running_loop().create_task(self._follow(self.address, self.version))

    def move(self, address):
        """Watches `address` from its whole list on. The old one is watched until the new one has answered:
        what it tells in between is as true."""
        if self.next is not None:
            self.next.cancel()
            self.next = None
        if address != self.address:
            self.next = asyncio.get_running_loop().create_task(self._follow(address))

    async def _follow(self, address, version=None):
        pace, failed = Pace(self.limits, self.seed), False
        await asyncio.sleep(pace.first(version is not None))
        while True:
            asked = asyncio.get_running_loop().time()
            try:
                since = version
                version, told = await self._ask(address, since, pace.patience)
                failed = False
                pace.answered()
                if self.next is asyncio.current_task():
                    self.task.cancel()
                    self.task, self.next, self.address = self.next, None, address
                if since is not None and version < since and not told.whole:
                    # It counts anew, having lost what it had: changes since then would be missed until it is as far.
                    version = None
                if told.whole or told.machines:
                    self.report(told)
                elif asyncio.get_running_loop().time() - asked < self.limits.watch_pause:
                    # One that does not wait is not asked in a spin.
                    await asyncio.sleep(self.limits.watch_pause)
            except Exception as why:  # whatever came, the watch goes on
                if not failed and self.next is not asyncio.current_task():
                    log.warning("discovery_unheard", why=type(why).__name__)
                    self.report(Told())
                failed, version = True, None if isinstance(why, ValueError) else version
                await asyncio.sleep(pace.failed(isinstance(why, TurnedAway)))

    async def _ask(self, address, version, patience):
        wait, query = 0.0, {}
        if version is not None:
            wait, query = self.limits.watch, {"since": version, "timeout_ms": int(self.limits.watch * 1000)}
        async with asyncio.timeout(wait + patience):
            url = f"http://{address}/v1/servers"
            async with self.session.get(url, params=query, allow_redirects=False) as answer:
                if answer.status in (429, 503):
                    raise TurnedAway(f"status {answer.status}")
                if answer.status != 200:
                    raise Unreadable(f"status {answer.status}")
                version, whole, machines, addresses = self.machines.read(json.loads(await answer.read()))
        return version, Told(whole, machines, addresses)

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            self.move(self.address)
            await self.session.close()
