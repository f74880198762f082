"""Where a planner keeps its vote: one row in SQLite (the standard library's), on disk before the vote is answered.

    meta(key, value)                 format, cluster name
    vote(one, body, digest)          body: JSON, digest: blake2b of it

A store that is damaged, of another cluster or of a newer format is refused at start. One that cannot be written (a full
disk, a size limit, one taken away) makes its planner abstain: `save` says so, and the next vote tries again.
"""

import hashlib
import json
import sqlite3
from pathlib import Path

from ..errors import FernyardError
from .register import Order, Vote

FORMAT = 1


class BadStore(FernyardError):
    """A store of votes that cannot be used."""

    DO = (
        "keep the file aside and start without it: the planner rejoins from the others, if a majority of the others has "
        "its store"
    )


class VoteStore:
    """`path`: the file, made where there is none; `cluster`: the operator's name of the planners together. `vote` is what
    stood in it (None: no vote was ever stored)."""

    def __init__(self, path, cluster):
        self.path, self.cluster, self.link, self.vote = Path(path), cluster, None, None
        try:
            self._open()
            self.vote = self._read()
        except sqlite3.Error as why:
            self.close()
            raise BadStore(f"cannot be read as a store of votes: {why}", self.path) from None
        except BadStore:
            self.close()
            raise

    def _open(self):
        # A second planner on the same file would vote in this one's name.
        self.link = sqlite3.connect(self.path, timeout=0.2, isolation_level=None, check_same_thread=False)
        self.link.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.link.execute("PRAGMA synchronous=FULL")
        self.link.execute("PRAGMA trusted_schema=OFF")

    def _read(self):
        tables = {name for (name,) in self.link.execute("SELECT name FROM sqlite_master WHERE type='table'")}
        if not tables:
            self.link.execute("BEGIN EXCLUSIVE")
            self.link.execute("CREATE TABLE meta(key TEXT PRIMARY KEY, value TEXT NOT NULL)")
            self.link.execute(
                "CREATE TABLE vote(one INTEGER PRIMARY KEY CHECK (one=1), body TEXT NOT NULL, digest BLOB NOT NULL)"
            )
            self.link.executemany(
                "INSERT INTO meta VALUES (?, ?)", (("format", str(FORMAT)), ("cluster", self.cluster))
            )
            self.link.execute("COMMIT")
            return None
        if not {"meta", "vote"} <= tables:
            raise BadStore("is a database of something else", self.path)
        meta = dict(self.link.execute("SELECT key, value FROM meta"))
        if not str(meta.get("format")).isdigit():
            raise BadStore("tells no format", self.path)
        if int(meta["format"]) > FORMAT:
            raise BadStore(
                f"has format {meta['format']}, newer than this program's {FORMAT}",
                self.path,
                "start the version that wrote it, or a newer one",
            )
        if meta.get("cluster") != self.cluster:
            raise BadStore(
                f"belongs to the planners of {meta.get('cluster')!r}, not of {self.cluster!r}",
                self.path,
                "name the right file in accord.store, or the right accord.cluster",
            )
        if self.link.execute("PRAGMA quick_check").fetchone() != ("ok",):
            raise BadStore("is damaged", self.path)
        rows = self.link.execute("SELECT body, digest FROM vote").fetchall()
        if not rows:
            return None
        body, digest = rows[0]
        if not isinstance(body, str) or _digest(body) != digest:
            raise BadStore("is damaged: the vote does not match its digest", self.path)
        try:
            return read_vote(body)
        except (ValueError, KeyError, TypeError) as why:
            raise BadStore(f"holds no vote: {type(why).__name__}", self.path) from None

    def save(self, vote):
        """Whether it is on disk now. After a failure nothing is known of what is: nothing was answered for it either."""
        body = write_vote(vote)
        try:
            if self.link is None:
                self._open()
            if not self.path.exists():
                # Taken away under us: what is written now would be nobody's.
                raise sqlite3.OperationalError("the file is gone")
            self.link.execute("INSERT OR REPLACE INTO vote VALUES (1, ?, ?)", (body, _digest(body)))
            self.vote = vote
            return True
        except sqlite3.Error:
            self.close()
            return False

    def close(self):
        if self.link is not None:
            try:
                self.link.close()
            except sqlite3.Error:
                pass
            self.link = None


def _digest(body):
    return hashlib.blake2b(body.encode(), digest_size=16).digest()


def write_vote(vote):
    order = vote.order and {"version": vote.order.version, "parts": vote.order.parts}
    return json.dumps(
        {
            "cluster": vote.cluster,
            "promised": vote.promised,
            "ballot": vote.ballot,
            "order": order,
            "lives": vote.lives,
        },
        sort_keys=True,
    )


def read_vote(body):
    told = json.loads(body)
    promised, ballot = (told[name] and tuple(map(int, told[name])) for name in ("promised", "ballot"))
    order = told["order"] and Order(int(told["order"]["version"]), dict(told["order"]["parts"]))
    if any(b is not None and len(b) != 3 for b in (promised, ballot)) or (ballot is None) != (order is None):
        raise BadStore("no ballot")
    return Vote(str(told["cluster"]), promised, ballot, order, tuple(map(int, told["lives"])))
