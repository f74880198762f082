"""The singleton role of the lease holder: it reads the platform's endpoint list and writes the registry.

It does so under the lease, and under a term that a majority decided: what it writes bears the term, and whoever has received a
later one refuses it.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from ..common.errors import SettingsError
from ..common.logs import ComponentLogger
from ..common.registry import Registry
from ..common.transport import Address
from .discovery import Discovery
from .peer_client import CALL_ERRORS, PeerClient

log = ComponentLogger("control-plane")
RATE_LIMITED = 429


class EndpointPoller:
    """Reads the list when `Discovery` says that it is due; `poll` is called with each heartbeat."""

    def __init__(
        self,
        platform: Address | None,
        client: PeerClient,
        discovery: Discovery,
        registry: Registry,
        term: Callable[[], int | None],
        notify: Callable[[], None],
    ) -> None:
        """`platform`: its address, None where the settings have none; `term`: the term under which this process may act for all now, or None; `notify`: the
        registry has changed."""
        self.platform = platform
        self.client, self.discovery, self.registry = client, discovery, registry
        self.term, self.notify = term, notify
        self._loop = asyncio.get_running_loop()
        self._reading: asyncio.Task[None] | None = None

    def poll(self) -> None:
        """Begins to read the list where that is due, and writes the registry, if this process holds the role."""
        now = self._loop.time()
        if self.term() is None:
            return
        if self.discovery.is_list_due(now) and (self._reading is None or self._reading.done()):
            self.discovery.list_requested(now)
            self._reading = self._loop.create_task(self._read_list())
        self.write_registry()

    def write_registry(self) -> None:
        """Writes the registry as this process sees it, if it may."""
        term, workers = self.term(), self.discovery.workers
        if term is None or workers is None:
            return
        if self.registry.write(term, workers, self.discovery.gateways(self._loop.time())):
            self.notify()

    async def _read_list(self) -> None:
        """Page by page; an incomplete list is not used."""
        cursor: str | None = None
        while True:
            try:
                status, page = await self._read_page(cursor)
                if status != 200:
                    return self.discovery.list_failed(self._loop.time(), status == RATE_LIMITED)
                columns, rows = page["instances"]["cols"], page["instances"]["rows"]
                cursor = page.get("nextCursor")
                entries = [dict(zip(columns, row, strict=False)) for row in rows]
                if self.discovery.add_list_page(self._loop.time(), entries, cursor):
                    return self.write_registry()
            except CALL_ERRORS:
                return self.discovery.list_failed(self._loop.time(), False)
            except (msgspec.MsgspecError, SettingsError, KeyError, TypeError, ValueError) as error:
                log.warning("The endpoint list cannot be read.", why=repr(error))
                return self.discovery.list_failed(self._loop.time(), False)

    async def _read_page(self, cursor: str | None) -> tuple[int, Any]:
        """(HTTP status, page or None where the status isn't 200)."""
        if self.platform is None:
            raise SettingsError("no platform is named", "cloud.addr")
        url = f"http://{self.platform[0]}:{self.platform[1]}/workers"
        return await self.client.get_json(url, {"pageToken": cursor} if cursor else None)
