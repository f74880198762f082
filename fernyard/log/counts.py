"""Counts by kind, printed when asked for and at exit."""

import structlog

log = structlog.get_logger(__name__)


class Counts:
    def __init__(self):
        self.by_kind = {}

    def add(self, kind, of=None):
        key = kind if of is None else (kind, of)
        self.by_kind[key] = self.by_kind.get(key, 0) + 1

    def read(self):
        return {
            key if isinstance(key, str) else f"{key[0]}.{key[1]}".replace(" ", "_"): count
            for key, count in self.by_kind.items()
        }

    def print(self):
        log.info("counts", **dict(sorted(self.read().items())))
