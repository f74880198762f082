"""Areas of bytes on disk, by `dbm.dumb`.

`dbm.dumb` rewrites its index in place, so nothing is ever written over: each state of an area goes into files of a
new number, both are synced, then their folder; only then the older ones go. On reading, the highest number whose
digest fits is the state; a torn, cut or half-synced one is passed over.
"""

import dbm.dumb
import os
import re
from hashlib import sha256

from ..common.errors import StoreError
from ..common.logs import ComponentLogger

log = ComponentLogger("store")
NAME = re.compile(r"([a-z]+(?:-[0-9a-f-]+)?)-([0-9]{10})\.(dir|dat|bak)")


class Store:
    """Areas of bytes in one folder. `files` stands in for the operating system in tests."""

    def __init__(self, folder, files=None):
        self.folder, self.files, self.number = folder, files or Files(), 0
        try:
            self.files.makedirs(folder)
        except OSError as why:
            raise StoreError(why.strerror or str(why), folder) from None

    def load(self):
        """{area: bytes} as last kept whole."""
        found = {}
        try:
            names = sorted(self.files.listdir(self.folder), reverse=True)
        except OSError as why:
            raise StoreError(why.strerror or str(why), self.folder) from None
        for name in names:
            match = NAME.fullmatch(name)
            if match is None:
                continue
            area, number = match[1], int(match[2])
            self.number = max(self.number, number)
            if match[3] == "dir" and area not in found:
                content = self._read(f"{area}-{match[2]}")
                if content is not None:
                    found[area] = content
        return found

    def _read(self, base):
        try:
            with dbm.dumb.open(os.path.join(self.folder, base), "r") as held:
                content, digest = held[b"content"], held[b"digest"]
            if sha256(content).digest() == digest:
                return content
        except Exception as why:  # whatever a torn file makes of the library's reading
            log.warning("A file is torn and passed over.", file=base, why=type(why).__name__)
            return None
        log.warning("A file does not fit its digest and is passed over.", file=base)
        return None

    def save(self, area, content):
        """Returns once `content` is the state of `area` even if power is lost; StoreError if it may not be."""
        self.number += 1
        base = os.path.join(self.folder, f"{area}-{self.number:010d}")
        try:
            with dbm.dumb.open(base, "n") as held:
                held[b"content"] = content
                held[b"digest"] = sha256(content).digest()
            for end in ".dat", ".dir":
                self.files.sync(base + end)
            self.files.sync(self.folder)
        except OSError as why:
            # What was not kept is not read back either, where the disk allows that.
            self._clear(lambda held, number, end: held == area and number == self.number)
            raise StoreError(why.strerror or str(why), base) from None
        self._clear(lambda held, number, end: held == area and (number < self.number or end == "bak"))

    def erase(self, area):
        """The area is no more; one that could not be removed, or comes back after a loss of power, does no harm."""
        self._clear(lambda held, number, end: held == area)

    def _clear(self, goes):
        """Files that are not the state go; one that stays does no harm."""
        try:
            for name in sorted(self.files.listdir(self.folder)):
                match = NAME.fullmatch(name)
                if match and goes(match[1], int(match[2]), match[3]):
                    self.files.remove(os.path.join(self.folder, name))
        except OSError as why:
            log.warning("Files could not be removed.", why=str(why))


class Files:
    """The operating system's calls that the store makes by itself."""

    listdir = staticmethod(os.listdir)
    remove = staticmethod(os.remove)

    @staticmethod
    def makedirs(folder):
        os.makedirs(folder, exist_ok=True)

    @staticmethod
    def sync(path):
        handle = os.open(path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
