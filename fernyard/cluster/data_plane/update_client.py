"""Fetches updates of the configuration and the registry from control planes and neighbours. Decides nothing."""

from collections.abc import Mapping

import aiohttp
import attrs
import msgspec

from ..common.errors import UnreadablePlanError
from ..common.messages import (
    ConfigurationUpdate,
    RegistryUpdate,
    RegistryVersion,
    decode_encoded_update,
    decode_plan,
    decode_registry_update,
)
from .subscription import Pull

FETCH_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError)


@attrs.frozen
class ReceivedConfiguration:
    """An update of the configuration. `unreadable`: why its plan is left out, if it could not be read."""

    update: ConfigurationUpdate
    unreadable: UnreadablePlanError | None = None


def read_update(body: bytes) -> ReceivedConfiguration:
    """The update in a body; a plan that cannot be read does not keep the rest back. Raises msgspec.MsgspecError for any other fault."""
    encoded = decode_encoded_update(body)
    try:
        return ReceivedConfiguration(
            ConfigurationUpdate(encoded.revision, decode_plan(encoded.plan), encoded.evacuated)
        )
    except msgspec.MsgspecError as error:
        rest = ConfigurationUpdate(encoded.revision, None, encoded.evacuated)
        return ReceivedConfiguration(rest, UnreadablePlanError(f"revision {encoded.revision}: {error}"))


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

    async def configuration(self, pull: Pull, revision: int, plan_id: str) -> ReceivedConfiguration:
        """The configuration in force; `revision`, `plan_id`: what we have."""
        return read_update(await self._get(pull, "configuration", {"revision": str(revision), "held": plan_id}))

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
