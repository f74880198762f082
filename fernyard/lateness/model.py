"""How late the gatekeeper itself is, and what follows. Free of I/O.

A process that gets less processor than its load needs reads everything late: reqs, answers of the counter and of
workers, its own timers. Taken as they come, all reqs are then worked on and nearly all are answered after their client
timeout. So reqs that would not be answered in time are denied at once, before the counter is asked and while that costs
nothing: a share of them that grows with the lateness, customers beyond their own quota here first.

Two things more were tried on the emulated clock and left out (docs/overload.md): telling the decisions what workers and
counter took less our own part of it, and less time left for what is admitted.

`Lateness.step(now, told)`: `Lag` (a timer came so much too late) returns nothing, `Offered` (a req came in) returns
whether it is admitted. Times are whole tenths of a millisecond.
"""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

SECOND = 10_000
USE_TAU = 2 * SECOND  # over which a customer's units a second are taken
MOST_CUSTOMERS = 20_000


@dataclass(frozen=True, slots=True)
class LatenessSettings:
    """`turns`: how often a req waits for the loop on its way (it is read, counted, answered by a worker); of the time
    left to a req, the share that its turns may take before reqs are denied (`begin`), and at which all are (`full`);
    `fade`: of the difference, by which a smaller lag is taken on each beat; a larger one is taken at once."""

    turns: float = 3.0
    begin: float = 0.2
    full: float = 0.7
    fade: float = 0.3


@dataclass(slots=True)
class Lag:
    """A timer of the loop came `late`."""

    late: int


@dataclass(slots=True)
class Offered:
    """A req with that time `left`; `share`: units a second of the customer's plan that are this gatekeeper's part (0:
    no limit)."""

    customer: int
    units: float
    left: int
    share: float


class Lateness:
    def __init__(self, settings, seed):
        self.set, self.random = settings, Random(f"lateness:{seed}")
        self.lag, self.use, self.denied = 0.0, OrderedDict(), 0

    def step(self, now, told):
        if type(told) is Lag:
            self.lag = told.late if told.late > self.lag else self.lag + self.set.fade * (told.late - self.lag)
            return None
        return self._offered(now, told)

    def _offered(self, now, told):
        beyond = self._beyond(now, told)
        wait = self.set.turns * self.lag / max(1, told.left)
        if wait <= self.set.begin:
            return True
        part = min(1.0, (wait - self.set.begin) / (self.set.full - self.set.begin))
        # Those beyond their quota go first: all of them are denied before any other is.
        part = min(1.0, 2 * part) if beyond else max(0.0, 2 * part - 1)
        if self.random.random() < part:
            self.denied += 1
            return False
        return True

    def _beyond(self, now, told):
        """Whether a customer uses more than its share here: a decaying sum of its units."""
        used, at = self.use.pop(told.customer, (0.0, now))
        used = used * max(0.0, 1.0 - (now - at) / USE_TAU) + told.units
        self.use[told.customer] = used, now
        if len(self.use) > MOST_CUSTOMERS:
            self.use.popitem(last=False)
        # At a steady rate r the sum comes to about r x tau.
        return bool(told.share) and used > told.share * USE_TAU / SECOND
