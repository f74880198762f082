"""Asks a Eureka registry: the whole list first, then deltas, one call at a time, each answer reported as `Told`."""

import asyncio

import aiohttp
import structlog

from ...interface import Machine, Phase
from ..watch import Told
from .listing import BadListing, read_listing
from .trust import Delta, Failed, Full, Trust

log = structlog.get_logger(__name__)
LARGEST = 16 << 20  # bytes of an answer


class EurekaWatch:
    """In place of `Watch`. `url`: up to `/apps`, such as "http://127.0.0.1:8761/eureka"; `poll` and `timeout` in
    seconds; `settings`: `TrustSettings`; `zones`: the numbers of zone names; `report` is told `Told`."""

    def __init__(self, url, poll, timeout, settings, zones, report, counts, keys=("zone", "cell"), kind="json"):
        self.url, self.poll, self.timeout, self.zones, self.report = url.rstrip("/"), poll, timeout, zones, report
        self.trust, self.counts, self.keys, self.kind = Trust(settings), counts, keys, kind
        self.task = self.session = None
        self.failing, self.begun = False, False

    def start(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=1),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=self.timeout),
        )
        self.task = asyncio.get_running_loop().create_task(self._follow())

    def move(self, address):
        """The platform's discovery has moved: the registry has not."""

    async def _follow(self):
        loop = asyncio.get_running_loop()
        while True:
            began, asked = loop.time(), self.trust.ask
            try:
                listing = await self._ask(asked)
                told = (Full if asked == "full" else Delta)(listing)
                self.counts.add("eureka", asked)
            except (aiohttp.ClientError, TimeoutError, OSError, BadListing) as why:
                told = Failed(type(why).__name__)
                self.counts.add("eureka", "failed")
            except Exception:  # whatever came, the watch goes on
                log.exception("registry_fault")
                told = Failed("fault")
            self._tell(loop.time(), told)
            # A delta that does not fit is followed by the whole list at once; a failed call is not: no spin.
            if isinstance(told, Delta) and self.trust.ask == "full":
                continue
            await asyncio.sleep(max(0.01, began + self.poll - loop.time()))

    def _tell(self, now, told):
        changes = self.trust.step(now, told)
        for event, figure in self.trust.notes:
            self.counts.add("eureka", event)
            log.warning(event, figure=figure)
        if isinstance(told, Failed) != self.failing:
            self.failing = not self.failing
            if self.failing:
                log.warning("discovery_unheard", why=told.why)
                self.report(Told())
        if changes or not self.begun and not isinstance(told, Failed):
            # The first list stands in place of what was known at the start, whoever told that.
            whole, self.begun = not self.begun, True
            machines, addresses = [], {}
            for change in changes:
                instance = change.instance
                machines.append(
                    Machine(
                        instance.key,
                        instance.started * 10,
                        instance.cell,
                        self.zones.get(instance.zone, -1),
                        change.phase,
                    )
                )
                if change.phase is not Phase.GONE:
                    addresses[instance.key] = instance.address
            self.report(Told(whole, tuple(machines), addresses))

    async def _ask(self, asked):
        path = "/apps" if asked == "full" else "/apps/delta"
        headers = {"Accept": f"application/{self.kind}"}
        async with self.session.get(self.url + path, headers=headers, allow_redirects=False) as answer:
            if answer.status != 200:
                raise BadListing(f"status {answer.status}")
            body = bytearray()
            async for chunk in answer.content.iter_chunked(1 << 16):
                body += chunk
                if len(body) > LARGEST:
                    raise BadListing("too long")
            return read_listing(bytes(body), answer.content_type, *self.keys)

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            await self.session.close()
