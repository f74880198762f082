"""The bytes of configurations at one replica: which are on disk, which are being stored or fetched, and which are unused.

Free of I/O; times are seconds. A vote for a state is given only where its configuration is on disk.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from .commands import StoreArea
from .messages import StoredBody, encode
from .state import NO_CONFIGURATION, ConfigurationId

FETCH_RETRY = 0.3  # until a configuration that did not come is fetched elsewhere
STORE_RETRY = 0.3  # after the disk refused
UNUSED_RETENTION = 10.0  # that one which nothing refers to is kept: it may be about to be proposed
MAX_UNUSED = 16
AREA_PREFIX = "body-"


def area_of(id: ConfigurationId) -> str:
    """The area of the disk that holds the bytes of that configuration."""
    return f"{AREA_PREFIX}{id}"


@attrs.define
class Body:
    """Bytes of a configuration. `added_at`: when they came; `storing`: the disk is at it; `retry_at`: when to try again."""

    content: bytes
    added_at: float
    stored: bool = False
    storing: bool = False
    retry_at: float = 0.0


class BodyCache:
    """The configurations whose bytes are here."""

    def __init__(self, now: float, loaded: Mapping[ConfigurationId, bytes], has_disk: bool) -> None:
        """`loaded`: what the disk holds."""
        self.has_disk = has_disk
        self.bodies = {id: Body(content, now, stored=True) for id, content in loaded.items()}
        self._fetched_at: dict[ConfigurationId, float] = {}
        self._fetches = 0

    def content(self, id: ConfigurationId) -> bytes | None:
        """The bytes, or None where they are not here. No configuration has no bytes."""
        if id == NO_CONFIGURATION:
            return b""
        body = self.bodies.get(id)
        return body.content if body is not None else None

    def is_stored(self, id: ConfigurationId) -> bool:
        """Are its bytes on disk?"""
        return id == NO_CONFIGURATION or (id in self.bodies and self.bodies[id].stored)

    def store_again(self, id: ConfigurationId) -> None:
        """Its bytes were read from an area that will be erased."""
        if id in self.bodies:
            self.bodies[id].stored = False

    def add(self, now: float, id: ConfigurationId, content: bytes) -> None:
        """Bytes came from an operator or another replica; those that do not fit their digest are dropped."""
        if id not in self.bodies and id.fits(content):
            self.bodies[id] = Body(content, now)
        self._fetched_at.pop(id, None)

    def stores_due(self, now: float) -> list[StoreArea]:
        """What is to be put on disk now."""
        due: list[StoreArea] = []
        if not self.has_disk:
            return due
        for id, body in self.bodies.items():
            if not body.stored and not body.storing and now >= body.retry_at:
                body.storing = True
                due.append(StoreArea(area_of(id), encode(StoredBody(id, body.content))))
        return due

    def on_stored(self, now: float, area: str, succeeded: bool) -> None:
        """The disk stored an area, or failed to."""
        for id, body in self.bodies.items():
            if area_of(id) == area:
                body.storing, body.stored = False, succeeded
                body.retry_at = now + STORE_RETRY

    def source_to_fetch(self, now: float, id: ConfigurationId, ips: Sequence[str]) -> str | None:
        """The ip to fetch a missing configuration from now, or None. `ips`: likely sources, best first, tried in turn."""
        if self.content(id) is not None or not ips or now - self._fetched_at.get(id, -FETCH_RETRY) < FETCH_RETRY:
            return None
        self._fetched_at = {id: now}
        self._fetches += 1
        return ips[(self._fetches - 1) % len(ips)]

    def drop_unused(self, now: float, referenced: Collection[ConfigurationId]) -> list[str]:
        """Drops what nothing refers to any more; returns the areas to be erased."""
        unused = [id for id, body in self.bodies.items() if id not in referenced and not body.storing]
        unused.sort(key=lambda id: self.bodies[id].added_at)
        surplus = len(unused) - MAX_UNUSED
        dropped = [
            id
            for index, id in enumerate(unused)
            if index < surplus or now - self.bodies[id].added_at > UNUSED_RETENTION
        ]
        areas = [area_of(id) for id in dropped if self.bodies[id].stored]
        for id in dropped:
            del self.bodies[id]
        return areas
