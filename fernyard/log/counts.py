"""Counts by kind, printed when asked for and at exit."""

import logging

log = logging.getLogger(__name__)


class Counts:
    def __init__(self):
        self.by_kind = {}

    def add(self, kind, of=None):
        key = kind if of is None else f"{kind}.{of}"
        self.by_kind[key] = self.by_kind.get(key, 0) + 1

    def print(self):
        fields = " ".join(f"{key.replace(' ', '_')}={n}" for key, n in sorted(self.by_kind.items()))
        log.info("counts %s", fields)
