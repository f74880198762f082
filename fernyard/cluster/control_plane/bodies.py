"""The bytes of configurations at one replica: which are on disk, which are on their way there or to be fetched, and which
may be cleared away. Free of I/O. A vote for a state is given only where its configuration is on disk."""

import attrs

from .messages import StoredBody, encode
from .state import NO_CONFIGURATION

FETCH_AGAIN = 0.3  # seconds until a configuration that did not come is asked for elsewhere
STORE_AGAIN = 0.3  # after the disk refused
UNUSED = 10.0  # seconds that one which nothing names is kept: it may be about to be proposed
MOST_UNUSED = 16
AREA = "body-"


def area_of(id):
    return f"{AREA}{id}"


@attrs.define
class Body:
    """`at`: when it came. `stored`: it is on disk. `storing`: the disk is at it; `retry_at`: when to try again."""

    content: bytes
    at: float
    stored: bool = False
    storing: bool = False
    retry_at: float = 0.0


class BodyCache:
    def __init__(self, now, loaded, has_disk):
        """`loaded`: {ConfigurationId: bytes} read from the disk."""
        self.has_disk = has_disk
        self.held = {id: Body(content, now, stored=True) for id, content in loaded.items()}
        self.fetched_at, self.source = {}, 0

    def content(self, id):
        """The bytes, or None where they are not here. No configuration has no bytes."""
        if id == NO_CONFIGURATION:
            return b""
        body = self.held.get(id)
        return body.content if body is not None else None

    def is_stored(self, id):
        return id == NO_CONFIGURATION or id in self.held and self.held[id].stored

    def save_again(self, id):
        """Its bytes were read from elsewhere on the disk, where they don't stay."""
        if id in self.held:
            self.held[id].stored = False

    def add(self, now, id, content):
        """Bytes came from an operator or another replica; those that do not fit their digest are dropped."""
        if id not in self.held and id.fits(content):
            self.held[id] = Body(content, now)
        self.fetched_at.pop(id, None)

    def saves(self, now):
        """(area, content) to be put on disk now."""
        found = []
        if not self.has_disk:
            return found
        for id, body in self.held.items():
            if not body.stored and not body.storing and now >= body.retry_at:
                body.storing = True
                found.append((area_of(id), encode(StoredBody(id, body.content))))
        return found

    def saved(self, now, area, kept):
        for id, body in self.held.items():
            if area_of(id) == area:
                body.storing, body.stored = False, kept
                body.retry_at = now + STORE_AGAIN

    def fetch(self, now, id, ips):
        """The ip to fetch a missing configuration from now, or None. `ips`: likely holders, best first."""
        if self.content(id) is not None or not ips or now - self.fetched_at.get(id, -FETCH_AGAIN) < FETCH_AGAIN:
            return None
        self.fetched_at = {id: now}
        self.source += 1
        return ips[(self.source - 1) % len(ips)]

    def clear(self, now, named):
        """Forgets what nothing names any more; returns the areas to be erased. `named`: ids that states or changes name."""
        unused = [id for id, body in self.held.items() if id not in named and not body.storing]
        unused.sort(key=lambda id: self.held[id].at)
        surplus = len(unused) - MOST_UNUSED
        gone = [id for number, id in enumerate(unused) if number < surplus or now - self.held[id].at > UNUSED]
        areas = [area_of(id) for id in gone if self.held[id].stored]
        for id in gone:
            del self.held[id]
        return areas
