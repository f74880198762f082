"""Calls of this control plane to others and to the platform, over HTTP. Decides nothing.

What fails here is asked for again by whoever decides, so failures are not reported but as a missing result.
"""

from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from ..common.messages import RegistryUpdate, RegistryVersion, decode_registry_update
from .messages import StoredBody, decode_body, encode
from .state import ConfigurationId

CALL_TIMEOUT = 1.0  # seconds
# For the bytes of a configuration, which may be many on a long way; an unreachable machine is given up soon.
BODY_TIMEOUT = aiohttp.ClientTimeout(total=6.0, sock_connect=0.4, sock_read=1.0)
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class PeerClient:
    """An HTTP client; `open` it within a running loop, and `close` it."""

    def __init__(self, port: int) -> None:
        """`port`: where all control planes serve their internal calls."""
        self.port = port
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Makes the session."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session."""
        assert self._session is not None, "open() comes first"
        return self._session

    async def push_body(self, ip: str, stored: StoredBody) -> None:
        """Sends the bytes of a configuration; a replica that misses them asks for them."""
        try:
            async with self.session.post(self._url(ip, "body"), data=encode(stored), timeout=BODY_TIMEOUT) as answer:
                await answer.read()
        except CALL_ERRORS:
            pass

    async def fetch_body(self, ip: str, id: ConfigurationId) -> StoredBody | None:
        """The bytes of a configuration, or None."""
        try:
            async with self.session.get(self._url(ip, "body"), params={"id": str(id)}, timeout=BODY_TIMEOUT) as answer:
                return decode_body(await answer.read()) if answer.status == 200 else None
        except (*CALL_ERRORS, msgspec.MsgspecError):
            return None

    async def fetch_registry(self, ip: str, since: RegistryVersion) -> RegistryUpdate | None:
        """The registry since a version, or None."""
        params = {"since": f"{since[0]}.{since[1]}"}
        try:
            async with self.session.get(self._url(ip, "registry"), params=params) as answer:
                return decode_registry_update(await answer.read()) if answer.status == 200 else None
        except (*CALL_ERRORS, msgspec.MsgspecError):
            return None

    async def get_json(self, url: str, params: Mapping[str, str] | None) -> tuple[int, Any]:
        """(status, decoded body or None where the status isn't 200). Raises CALL_ERRORS, and msgspec.MsgspecError."""
        async with self.session.get(url, params=params) as answer:
            if answer.status != 200:
                return answer.status, None
            return 200, msgspec.json.decode(await answer.read())

    def _url(self, ip: str, call: str) -> str:
        return f"http://{ip}:{self.port}/internal/{call}"
