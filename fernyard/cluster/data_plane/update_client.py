"""Fetches updates of the configuration and the registry from control planes and neighbours. Decides nothing."""

from collections.abc import Mapping

import aiohttp
import msgspec

from ..common.messages import (
    ConfigurationUpdate,
    RegistryUpdate,
    RegistryVersion,
    decode_configuration_update,
    decode_registry_update,
)
from .subscription import Pull

FETCH_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError)


class UpdateClient:
    """An HTTP client; `open` it within a running loop, and `close` it. Its calls raise one of FETCH_ERRORS."""

    def __init__(self, port: int) -> None:
        """`port`: where all processes serve their internal calls."""
        self.port = port
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Makes the session."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def configuration(self, pull: Pull, revision: int, plan_id: str) -> ConfigurationUpdate:
        """The configuration in force; `revision`, `plan_id`: what we have."""
        body = await self._get(pull, "configuration", {"revision": str(revision), "held": plan_id})
        return decode_configuration_update(body)

    async def registry(self, pull: Pull, since: RegistryVersion) -> RegistryUpdate:
        """The registry since a version."""
        return decode_registry_update(await self._get(pull, "registry", {"since": f"{since[0]}.{since[1]}"}))

    async def _get(self, pull: Pull, call: str, params: Mapping[str, str]) -> bytes:
        assert self._session is not None, "open() comes first"
        url = f"http://{pull.ip}:{self.port}/internal/{call}"
        timeout = aiohttp.ClientTimeout(total=pull.timeout)
        async with self._session.get(url, params=params, timeout=timeout) as answer:
            body = await answer.read()
            if answer.status != 200:
                raise aiohttp.ClientError(f"{call}: {answer.status}")
            return body
