"""Watches discovery: each answer is reported and the next watch is asked at once."""

import asyncio
import json
import logging
from dataclasses import dataclass

import aiohttp

from ..interface import Machine

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Told:
    """Entries that changed, or the whole list; `machines` None: discovery could not be asked."""

    whole: bool = False
    machines: tuple[Machine, ...] | None = None
    addresses: dict | None = None


class Watch:
    def __init__(self, address, machines, limits, report):
        self.url = f"http://{address}/v1/servers"
        self.machines, self.limits, self.report = machines, limits, report
        self.task = self.session = None

    def start(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1), cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.limits.connect))
        self.task = asyncio.get_running_loop().create_task(self._follow())

    async def _follow(self):
        version, failed = None, False
        while True:
            asked = asyncio.get_running_loop().time()
            try:
                version, told = await self._ask(version)
                failed = False
                if told.whole or told.machines:
                    self.report(told)
                elif asyncio.get_running_loop().time() - asked < self.limits.watch_pause:
                    # One that does not wait is not asked in a spin.
                    await asyncio.sleep(self.limits.watch_pause)
            except Exception as why:    # whatever came, the watch goes on
                if not failed:
                    log.warning("discovery_unheard why=%s", type(why).__name__)
                    self.report(Told())
                failed, version = True, None if isinstance(why, ValueError) else version
                await asyncio.sleep(self.limits.watch_pause)

    async def _ask(self, version):
        wait, query = 0.0, {}
        if version is not None:
            wait, query = self.limits.watch, {"since": version, "timeout_ms": int(self.limits.watch * 1000)}
        async with asyncio.timeout(wait + self.limits.watch_grace):
            async with self.session.get(self.url, params=query, allow_redirects=False) as answer:
                if answer.status != 200:
                    raise ValueError(f"status {answer.status}")
                version, whole, machines, addresses = self.machines.read(json.loads(await answer.read()))
        return version, Told(whole, machines, addresses)

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            await self.session.close()
