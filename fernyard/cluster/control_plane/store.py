"""Areas of bytes on disk, by `dbm.dumb`.

`dbm.dumb` rewrites its index in place, so nothing is ever written over: each state of an area goes into files of a
new number, both are synced, then their folder; only then the older ones go. On reading, the highest number whose
digest fits is the state; a torn, cut or half-synced one is passed over.
"""

import dbm.dumb
import os
import re
from collections.abc import Callable
from hashlib import sha256
from typing import NamedTuple

from ..common.errors import StoreError
from ..common.logs import ComponentLogger

log = ComponentLogger("store")
FILE_NAME = re.compile(r"([a-z]+(?:-[0-9a-f-]+)?)-([0-9]{10})\.(dir|dat|bak)")


class StoredFile(NamedTuple):
    """What the name of a file says: `end` is dir (the index), dat (the content) or bak (left by the library)."""

    area: str
    number: int
    end: str

    @classmethod
    def parse(cls, name: str) -> "StoredFile | None":
        """None for a file that is not the store's."""
        match = FILE_NAME.fullmatch(name)
        return cls(match[1], int(match[2]), match[3]) if match is not None else None

    @staticmethod
    def base(area: str, number: int) -> str:
        """The name without its end."""
        return f"{area}-{number:010d}"


class Files:
    """The operating system's calls that the store makes by itself; tests put others in their place."""

    listdir = staticmethod(os.listdir)
    remove = staticmethod(os.remove)

    @staticmethod
    def makedirs(folder: str) -> None:
        """Makes a folder, unless it is there."""
        os.makedirs(folder, exist_ok=True)

    @staticmethod
    def sync(path: str) -> None:
        """Returns once the file or folder would outlast a loss of power."""
        handle = os.open(path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class Store:
    """Areas of bytes in one folder. Errors of the disk are raised as StoreError."""

    def __init__(self, folder: str, files: Files | None = None) -> None:
        self.folder, self.files = folder, files or Files()
        self.number = 0  # of the newest files
        try:
            self.files.makedirs(folder)
        except OSError as error:
            raise StoreError(error.strerror or str(error), folder) from error

    def load(self) -> dict[str, bytes]:
        """{area: bytes} as last stored completely."""
        areas: dict[str, bytes] = {}
        try:
            names = sorted(self.files.listdir(self.folder), reverse=True)
        except OSError as error:
            raise StoreError(error.strerror or str(error), self.folder) from error
        for name in names:
            file = StoredFile.parse(name)
            if file is None:
                continue
            self.number = max(self.number, file.number)
            if file.end == "dir" and file.area not in areas:
                content = self._read(StoredFile.base(file.area, file.number))
                if content is not None:
                    areas[file.area] = content
        return areas

    def _read(self, base: str) -> bytes | None:
        try:
            with dbm.dumb.open(os.path.join(self.folder, base), "r") as database:
                content, digest = database[b"content"], database[b"digest"]
            if sha256(content).digest() == digest:
                return content
        except Exception as error:  # whatever a torn file makes of the library's reading
            log.warning("A file is torn and was skipped.", file=base, why=type(error).__name__)
            return None
        log.warning("A file does not match its digest and was skipped.", file=base)
        return None

    def save(self, area: str, content: bytes) -> None:
        """Returns once `content` is the state of `area` even if power is lost; StoreError if it may not be."""
        self.number += 1
        number = self.number
        base = os.path.join(self.folder, StoredFile.base(area, number))
        try:
            with dbm.dumb.open(base, "n") as database:
                database[b"content"] = content
                database[b"digest"] = sha256(content).digest()
            for end in ".dat", ".dir":
                self.files.sync(base + end)
            self.files.sync(self.folder)
        except OSError as error:
            # What was not stored is not read back either, where the disk allows that.
            self._remove(lambda file: file.area == area and file.number == number)
            raise StoreError(error.strerror or str(error), base) from error
        self._remove(lambda file: file.area == area and (file.number < number or file.end == "bak"))

    def erase(self, area: str) -> None:
        """The area is no more; one that could not be removed, or comes back after a loss of power, does no harm."""
        self._remove(lambda file: file.area == area)

    def _remove(self, is_obsolete: Callable[[StoredFile], bool]) -> None:
        """Removes files that are not the state; one that stays does no harm."""
        try:
            for name in sorted(self.files.listdir(self.folder)):
                file = StoredFile.parse(name)
                if file is not None and is_obsolete(file):
                    self.files.remove(os.path.join(self.folder, name))
        except OSError as error:
            log.warning("Files could not be removed.", why=str(error))
