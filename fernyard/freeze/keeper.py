"""What one instance serves: the agreed configuration, and no other. Free of I/O; `Keeper.handed(now, candidate) -> orders` and
`obey(now, part) -> orders`.

A configuration handed over by SIGHUP is not taken but staged: it is reported to the planners, and adopted when the order says
so. In a window that this instance knows of it is refused at once, unless an exception is declared here too (planners decide on
it); while no order is heard nothing changes. An instance that starts with another configuration than the one it served last as
agreed takes that one, kept beside its files, and stages the other.

Until the order has confirmed what it serves, an instance that was never told of an agreed configuration takes no reqs: it could
be serving by a file that nobody agreed to.
"""

from dataclasses import dataclass

from .adviser import _moment

SECOND = 10_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """A configuration handed over: `content` is whatever adopts it."""

    digest: str
    content: object = None


# What it orders


@dataclass(frozen=True, slots=True)
class Adopt:
    """Serves this from now on, and keeps it for the next start."""

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class Keep:
    """What is served is the agreed one: the next start takes it."""

    digest: str


@dataclass(frozen=True, slots=True)
class Refused:
    digest: str
    why: str
    do: str


@dataclass(frozen=True, slots=True)
class Lacking:
    """Another configuration was agreed, and this instance does not have it: its files are read again."""

    digest: str
    do: str = "put the agreed files beside this instance and send it SIGHUP"


class Keeper:
    """`serving`: digest of what it serves; `confirmed`: that was agreed as far as it knows from before; `windows`: a
    `Windows`."""

    name = "config"

    def __init__(self, serving, windows, confirmed=False):
        self.serving, self.windows, self.confirmed = serving, windows, confirmed
        self.staged, self.staged_at, self.held, self.lacking = None, 0, None, None

    def obey(self, now, part):
        """The order's part `config` as it holds now (None: no order holds)."""
        self.now, self.orders, self.held = now, [], part
        if part is not None:
            self._agreed(part)
        return self.orders

    def handed(self, now, candidate):
        """A configuration stands in the files."""
        self.now, self.orders = now, []
        if candidate.digest == self.serving:
            self.staged = None  # no change: it always passes, and takes back what was staged
        elif candidate.digest == (self.held or {}).get("now"):
            self._adopt(candidate)  # the one it lacked
        else:
            self._stage(candidate)
        return self.orders

    def report(self, now):
        return {"serving": self.serving, "staged": self.staged and self.staged.digest}

    @property
    def takes(self):
        """Whether reqs are taken."""
        return self.confirmed

    def _stage(self, candidate):
        frozen = self._frozen(candidate.digest)
        if frozen is not None:
            return self._refuse(
                candidate.digest,
                f"frozen by {frozen.window!r} until {_moment(frozen.end)}",
                "wait for its end, or declare an exception for this digest in the operator's file",
            )
        if self.held is None:
            return self._refuse(
                candidate.digest,
                "no majority of planners is heard: nothing changes meanwhile",
                "bring a majority of the planners up, and send SIGHUP again",
            )
        self.staged, self.staged_at = candidate, self.now
        return None

    def _frozen(self, digest):
        unix = self.now / SECOND
        frozen = self.windows.frozen(unix)
        return None if frozen is None or self.windows.exempt(unix, frozen.window, digest) else frozen

    def _refuse(self, digest, why, do):
        self.orders.append(Refused(digest, why, do))

    def _adopt(self, candidate):
        self.serving, self.staged, self.lacking, self.confirmed = candidate.digest, None, None, True
        self.orders.append(Adopt(candidate))

    def _agreed(self, part):
        if self.staged is not None and part["now"] != self.staged.digest:
            for digest, why, do, at in part["refused"]:
                if digest == self.staged.digest and at + 2 * self.windows.skew * SECOND >= self.staged_at:
                    self.staged = None
                    self._refuse(digest, why, do)
                    break
        digest = part["now"]
        if digest is None:
            return
        if digest == self.serving:
            if not self.confirmed or self.lacking:
                self.confirmed, self.lacking = True, None
            self.orders.append(Keep(digest))
        elif self.staged is not None and self.staged.digest == digest:
            self._adopt(self.staged)
        elif self.lacking != digest:
            self.lacking = digest
            self.orders.append(Lacking(digest))
