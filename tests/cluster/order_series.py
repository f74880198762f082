"""An operator who evacuates a zone and takes it back in quick series, each order acknowledged before the next, while control planes stand
still, are cut off, lose messages or restart. Times are seconds."""

import random

from .control_planes import ControlPlanes
from .history import History
from .schedules import CONTACT, SYNC

ZONE = "z1"
ORDERS = 6
TRIES = 8  # of one order, each at another machine
CALLER_PAUSES = (0.0, 0.05, 0.3, 0.9)  # from an acknowledgement to the next order
RETRY_PAUSE = 0.1
TROUBLES = ("none", "suspend", "suspend", "isolate", "deafen", "mute", "kill")
LENGTHS = (0.3, 0.7, 1.2, 1.6, 1.9, 3.0)  # of a trouble


class OrderSeries:
    """One run: `play` returns what does not hold in the end."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        names = self.random.choice(("abc", "abc", "abcde"))
        loss = self.random.choice((0.0, 0.05))
        delay = self.random.choice((0.002, 0.002, 0.055))
        self.names = names
        self.planes = ControlPlanes(names, seed, loss=loss, doubled=0.1, delay=delay)
        self.trouble = self.victim = ""
        self.ends_at = 0.0

    def play(self) -> list[str]:
        """Gives the orders through the troubles, ends these, and compares the zone with the last acknowledged order."""
        planes = self.planes
        planes.run(SYNC + 1.5 * (len(self.names) - 3))
        acknowledged = False  # is the zone evacuated, as the operator knows
        for _ in range(ORDERS):
            self._begin_or_end_trouble()
            if not self._order(not acknowledged):
                break  # without a clear answer either state is right, and a History alone judges
            acknowledged = not acknowledged
            self._pass(self.random.choice(CALLER_PAUSES))
        else:
            self._end_trouble()
            planes.run(CONTACT)
            return self._compare(acknowledged) + History(planes).check()
        self._end_trouble()
        planes.run(CONTACT)
        return History(planes).check()

    def _compare(self, acknowledged: bool) -> list[str]:
        expected = [ZONE] if acknowledged else []
        states = {name: self.planes.state(name).evacuated_zones for name in self.names}
        return [
            f"{name} has {zones}, acknowledged was {expected}" for name, zones in states.items() if zones != expected
        ]

    def _order(self, evacuated: bool) -> bool:
        """Gives one order, at one machine after the other; was it acknowledged?"""
        for _ in range(TRIES):
            answer = self.planes.evacuate(self.random.choice(self.names), ZONE, evacuated)
            if self.planes.finish(answer) == 200:
                return True
            self._pass(RETRY_PAUSE)
        return False

    def _pass(self, seconds: float) -> None:
        self.planes.run(seconds)
        if self.trouble and self.planes.now >= self.ends_at:
            self._end_trouble()

    def _begin_or_end_trouble(self) -> None:
        if self.trouble:
            return
        kind = self.random.choice(TROUBLES)
        if kind == "none":
            return
        holders = [machine.name for machine in self.planes.running() if machine.replica.lease_held]
        self.victim = holders[0] if holders and self.random.random() < 0.7 else self.random.choice(self.names)
        self.trouble, self.ends_at = kind, self.planes.now + self.random.choice(LENGTHS)
        getattr(self.planes, kind)(self.victim)

    def _end_trouble(self) -> None:
        trouble, self.trouble = self.trouble, ""
        if trouble == "suspend":
            self.planes.resume(self.victim)
        elif trouble == "kill":
            self.planes.start(self.victim)
        elif trouble:
            self.planes.heal()


def play(seed: int) -> list[str]:
    """What does not hold after the run of that seed."""
    return OrderSeries(seed).play()
