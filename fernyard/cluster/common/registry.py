"""The registry: which workers and gateways there are, as the lease holder last saw it.

Soft state: a follower that is behind takes a snapshot and then follows changes. Free of I/O.
"""

from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from .messages import NO_VERSION, GatewayAddress, RegistryUpdate, RegistryVersion, Worker

MAX_REMOVALS = 256  # removed keys that are remembered
WORKERS, GATEWAYS = 0, 1  # the two tables


class Removal(NamedTuple):
    """A key that was removed from one of the tables at `version`."""

    version: RegistryVersion
    table: int
    key: str


class Registry:
    """Workers and gateways under a version (term, number) that grows with each change; terms begin with a new lease holder.

    Each key has the version of its last change, a removed key too, so that any follower of the term is sent what changed
    since its own version, whichever versions it or we have skipped. `base`: the version from which on that is known here.
    """

    def __init__(self) -> None:
        self.version = self.base = NO_VERSION
        self.workers: dict[str, Worker] = {}
        self.gateways: dict[str, GatewayAddress] = {}
        self._changed_at: tuple[dict[str, RegistryVersion], dict[str, RegistryVersion]] = ({}, {})
        self._removals: deque[Removal] = deque()

    def write(self, term: int, workers: Mapping[str, Worker], gateways: Mapping[str, GatewayAddress]) -> bool:
        """The lease holder writes what it sees under its term; true if that changed anything."""
        changes = _difference(self.workers, workers), _difference(self.gateways, gateways)
        if term == self.version[0] and not any(changes):
            return False
        if term != self.version[0]:
            self._begin((term, 1))
        else:
            self.version = (term, self.version[1] + 1)
            self._record_changes(changes)
        self.workers, self.gateways = dict(workers), dict(gateways)
        return True

    def _begin(self, version: RegistryVersion) -> None:
        self.version = self.base = version
        self._changed_at, self._removals = ({}, {}), deque()

    def _record_changes(self, changes: tuple[Mapping[str, Any], Mapping[str, Any]]) -> None:
        """Keys that changed at our version. Of those removed the last ones are remembered: a follower from before the
        oldest takes a snapshot."""
        for table, changed in enumerate(changes):
            for key, value in changed.items():
                self._changed_at[table][key] = self.version
                if value is None:
                    self._removals.append(Removal(self.version, table, key))
        while len(self._removals) > MAX_REMOVALS:
            self.base, table, key = self._removals.popleft()
            if self._changed_at[table].get(key) == self.base:
                del self._changed_at[table][key]

    def to_store(self) -> RegistryUpdate:
        """What a disk may keep of it, for a quick start: workers without times, whose clock ends with the process."""
        workers: dict[str, Worker | None] = {
            key: msgspec.structs.replace(worker, cold_until=0.0) for key, worker in self.workers.items()
        }
        return RegistryUpdate(NO_VERSION, self.version, workers, dict(self.gateways), 0.0)

    def since(self, version: RegistryVersion, now: float) -> RegistryUpdate:
        """The update for a follower at `version`; `now`: our clock."""
        if not self.base <= version <= self.version:
            return RegistryUpdate(NO_VERSION, self.version, dict(self.workers), dict(self.gateways), now)
        workers_changed_at, gateways_changed_at = self._changed_at
        workers = {key: self.workers.get(key) for key, at in workers_changed_at.items() if at > version}
        gateways = {key: self.gateways.get(key) for key, at in gateways_changed_at.items() if at > version}
        return RegistryUpdate(version, self.version, workers, gateways, now)

    def follow(self, update: RegistryUpdate, now: float) -> bool:
        """Applies an update that leads further; true if it did. Times are turned into our own clock."""
        version, since = update.version, update.since
        if version <= self.version or (since != NO_VERSION and since != self.version):
            return False
        clock_offset = now - update.now
        for worker in update.workers.values():
            if worker is not None and worker.cold_until:
                worker.cold_until += clock_offset
        if since == NO_VERSION:
            self.workers = {key: worker for key, worker in update.workers.items() if worker is not None}
            self.gateways = {key: gateway for key, gateway in update.gateways.items() if gateway is not None}
            self._begin(version)
        else:
            self.version = version
            self._record_changes((update.workers, update.gateways))
            _apply(self.workers, update.workers)
            _apply(self.gateways, update.gateways)
        return True


def _difference(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, Any]:
    """Keys of `after` that are new or have another value, and those that are gone, as None."""
    changed = {key: value for key, value in after.items() if before.get(key) != value}
    changed.update((key, None) for key in before if key not in after)
    return changed


def _apply(table: dict[str, Any], changes: Mapping[str, Any]) -> None:
    for key, value in changes.items():
        if value is None:
            table.pop(key, None)
        else:
            table[key] = value
