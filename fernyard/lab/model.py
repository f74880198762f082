"""What an emulated worker does with a req, free of I/O: places, a bounded queue, cold starts that warm up,
pauses and scripted faults. The server in `worker.py` asks `WorkerModel.step` and carries out what it says.

Times are in seconds on the caller's clock. Service times are drawn from a generator seeded by the worker's
seed and the req's correlation id, so that one req takes the same time however the reqs around it are ordered:
the same seed gives the same draws.
"""

import hashlib
import random
from dataclasses import dataclass
from enum import Enum


class Fault(str, Enum):
    """Scripted failures of a worker, as the protocol page names their outcomes."""

    NONE = "none"
    REFUSE = "refuse"  # connections are refused: could not connect, never ran
    RESET = "reset"  # the connection breaks after the req was read: it may have run
    SPOIL = "spoil"  # a 500 answer: it may have run
    GARBLE = "garble"  # bytes that are no HTTP answer, then a close
    SLOW = "slow"  # service times multiplied by `slow_factor`
    PAUSE = "pause"  # nothing is answered until the fault ends; reqs wait in line
    DRAIN = "drain"  # new reqs are turned away with X-Unprocessed; those taken finish


@dataclass(frozen=True, slots=True)
class Shape:
    """How one worker serves: `places` reqs at once, `queue` more waiting; a service time of `mean` seconds
    drawn lognormally with shape `sigma`; a start `cold_share` as fast as when warm, warming linearly over
    `warm_up`."""

    places: int = 8
    queue: int = 32
    mean: float = 0.02
    sigma: float = 0.5
    cold_share: float = 1.0
    warm_up: float = 0.0
    slow_factor: float = 5.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """What to do with one arrived req: `answer` is "serve" (after `delay` s), "unprocessed" (503 with
    X-Unprocessed at once), "reset", "spoil", "garble" or "hold" (wait in line; asked again when a place
    frees)."""

    answer: str
    delay: float = 0.0


@dataclass(slots=True)
class WorkerModel:
    """The state of one emulated worker. `step(now, event, cid)` is the one entry point; events are "arrive",
    "done" (a place frees) and "fault" (cid names the new Fault)."""

    name: str
    seed: int
    shape: Shape = Shape()
    started: float = 0.0
    fault: Fault = Fault.NONE
    busy: int = 0
    waiting: int = 0
    served: int = 0
    turned_away: int = 0
    peak_busy: int = 0

    def warmth(self, now):
        """Share of full speed at `now`: from `cold_share` at the start up to 1 over `warm_up` seconds."""
        if self.shape.warm_up <= 0 or self.shape.cold_share >= 1.0:
            return 1.0
        grown = min(1.0, max(0.0, (now - self.started) / self.shape.warm_up))
        return self.shape.cold_share + (1.0 - self.shape.cold_share) * grown

    def service_time(self, now, cid):
        """Seconds that req `cid` takes here, drawn from the worker's seed and the id alone."""
        digest = hashlib.blake2b(f"{self.seed}:{self.name}:{cid}".encode(), digest_size=8).digest()
        draw = random.Random(int.from_bytes(digest, "big")).lognormvariate(0.0, self.shape.sigma)
        took = self.shape.mean * draw / self.warmth(now)
        return took * (self.shape.slow_factor if self.fault is Fault.SLOW else 1.0)

    def step(self, now, event, cid=""):
        if event == "fault":
            self.fault = Fault(cid)
            return None
        if event == "restart":
            self.started, self.fault, self.busy, self.waiting = now, Fault.NONE, 0, 0
            return None
        if event == "done":
            self.busy = max(0, self.busy - 1)
            return None
        if event == "admit":  # a held req asks again for a place
            return self._place(now, cid, queued=True)
        if event != "arrive":
            raise ValueError(f"unknown event {event!r}")
        if self.fault is Fault.DRAIN:
            self.turned_away += 1
            return Verdict("unprocessed")
        if self.fault in (Fault.RESET, Fault.SPOIL, Fault.GARBLE):
            return Verdict(self.fault.value)
        return self._place(now, cid, queued=False)

    def _place(self, now, cid, queued):
        if self.fault is not Fault.PAUSE and self.busy < self.shape.places:
            self.busy += 1
            self.waiting -= queued
            self.peak_busy = max(self.peak_busy, self.busy)
            self.served += 1
            return Verdict("serve", self.service_time(now, cid))
        if queued:
            return Verdict("hold")
        if self.waiting >= self.shape.queue:
            self.turned_away += 1
            return Verdict("unprocessed")
        self.waiting += 1
        return Verdict("hold")
