"""Random schedules of operators' calls and faults on several control planes, within the losses that the system has to survive.
Times are seconds."""

import random

from fernyard.cluster.control_plane.replica import Replica

from .control_planes import ControlPlanes
from .history import History
from .machines import Disk

SYNC = 4.0  # from its return, or its start if it is new, until a machine counts as recovered (syncS)
CONTACT = 5.0  # after the last fault, within which all is well again (contactS)
STEPS = 30
SPARES = "mnopqrstuvwxyz"
FAULTS = ("kill", "lose_power", "wipe", "suspend", "isolate", "deafen", "mute", "stalled", "full", "replace")
DISK_FAULTS = ("stalled", "full")
PROCESS_FAULTS = ("kill", "lose_power", "wipe")
ZONES = ("z1", "z2")


class Schedule:
    """Plays calls and faults, drawn by `seed` or made one by one.

    `faulty`: machine -> its fault; `recovered_at`: machine -> when it counts as recovered.
    """

    def __init__(
        self, seed: int, replica: type[Replica] = Replica, names: str | None = None, loss: float | None = None
    ) -> None:
        self.random, self.seed = random.Random(seed), seed
        names = names or self.random.choice(("abc", "abc", "abcde"))
        loss = self.random.choice((0.0, 0.03)) if loss is None else loss
        delay = self.random.choice((0.002, 0.002, 0.055))
        self.planes = ControlPlanes(names, seed, replica=replica, loss=loss, doubled=loss, delay=delay)
        self.names, self.size, self.spares = list(names), len(names), list(SPARES)
        self.version = 1
        self.faulty: dict[str, str] = {}
        self.recovered_at: dict[str, float] = {}
        self.tried: list[tuple[int, str]] = []
        self.planes.run(2.0 + 1.5 * (self.size - 3))

    # Faults ----------------------------------------------------------------------------------------------------------

    def lost(self) -> set[str]:
        """Machines that count as lost."""
        return {*self.faulty, *(name for name, at in self.recovered_at.items() if at > self.planes.now)}

    def may_lose(self) -> bool:
        """May one more machine be lost?"""
        return len(self.lost()) < self.planes.faults

    def inject(self, name: str, fault: str) -> None:
        """A fault at a machine, unless too many are lost then."""
        if name in self.lost() or name not in self.names or not self.may_lose():
            return
        if fault == "replace":
            self.replace(name)
            return
        self.faulty[name] = fault
        if fault in DISK_FAULTS:
            self.planes.set_disk(name, Disk(fault))
        else:
            getattr(self.planes, fault)(name)

    def repair(self, name: str) -> None:
        """Ends the fault of a machine."""
        planes, fault = self.planes, self.faulty.pop(name)
        planes.partitioned = {pair for pair in planes.partitioned if name not in pair}
        if fault in DISK_FAULTS:
            planes.set_disk(name, Disk.WORKING)
        elif fault == "suspend":
            planes.resume(name)
        elif fault in PROCESS_FAULTS:
            planes.start(name)
        self.recovered_at[name] = planes.now + SYNC

    def replace(self, name: str) -> None:
        """A new machine in place of one that is gone, or that shuts down once the new one has recovered."""
        planes, planned = self.planes, self.random.random() < 0.5
        if not self.spares or (planned and self.lost()):
            return
        new = self.spares.pop(0)
        planes.add(new)
        if planned:
            planes.start(new)
            planes.run(SYNC)
            planes.shut_down(name)
        else:
            planes.kill(name)
            planes.run(self.random.choice((0.0, 0.5, 2.0)))
            planes.start(new)
            self.recovered_at[new] = planes.now + SYNC
        self.names[self.names.index(name)] = new

    def lose_power_of_all(self, wipes: bool) -> None:
        """All lose power; where none is lost yet, as many as may be lose their disks too."""
        planes = self.planes
        if any(fault in (*PROCESS_FAULTS, "suspend") for fault in self.faulty.values()) or (self.lost() and wipes):
            return
        wiped = self.random.sample(self.names, planes.faults) if wipes else []
        for name in self.names:
            if name in wiped:
                planes.wipe(name)
            else:
                planes.lose_power(name)
        for name in self.names:
            planes.run(0.1 * self.random.random())
            planes.start(name)
        # Whoever was to recover soon starts anew.
        self.recovered_at.update({name: planes.now + SYNC for name in {*wiped, *self.lost()}})

    # Calls -----------------------------------------------------------------------------------------------------------

    def put(self, name: str, step: int, text: str) -> None:
        """A configuration of a version higher by `step`."""
        self.version += step
        self.tried.append((self.version, text))
        self.planes.put(name, self.version, text)

    def put_again(self, name: str, which: int) -> None:
        """One that was sent before, counted from the last."""
        if self.tried:
            self.planes.put(name, *self.tried[-1 - which % len(self.tried)])

    # A run -----------------------------------------------------------------------------------------------------------

    def step(self) -> None:
        """One call or fault, and some time."""
        draw, planes = self.random, self.planes
        name = draw.choice(self.names)
        what = draw.random()
        if what < 0.35:
            self.put(name, draw.choice((0, 1, 1, 3)), draw.choice(("", "x", "y")))
        elif what < 0.45:
            self.put_again(name, draw.randrange(4))
        elif what < 0.55:
            planes.evacuate(name, draw.choice(ZONES), draw.random() < 0.5)
        elif what < 0.70:
            planes.get(name)
        elif what < 0.85:
            self.inject(name, draw.choice(FAULTS))
        elif what < 0.97 and self.faulty:
            self.repair(draw.choice(list(self.faulty)))
        elif what >= 0.97:
            self.lose_power_of_all(draw.random() < 0.5)
        planes.run(draw.choice((0.0, 0.01, 0.05, 0.3, 1.0)))

    def finish(self) -> list[str]:
        """Ends all faults; returns what does not hold."""
        planes = self.planes
        for name in list(self.faulty):
            self.repair(name)
        planes.run(CONTACT)
        violations = []
        if not planes.is_settled():
            states = [(machine.name, machine.replica.state) for machine in planes.running()]
            violations.append(f"not settled: {states}")
        for name in self.names:
            state = planes.state(name)
            if state is not None and sorted(planes.voters(name)) != sorted(self.names):
                violations.append(f"{name} knows of the voters {planes.voters(name)}")
        violations += self._calls_when_calm()
        violations += [f"{name} is not served when calm" for name in self.names if not self._is_served(name)]
        return violations + History(planes).check()

    def _calls_when_calm(self) -> list[str]:
        planes = self.planes
        self.put(self.names[0], 1, "last")
        answers = [planes.answers[-1]]
        planes.run(0.5)
        answers += [planes.get(name) for name in self.names]
        planes.run(1.0)
        return [
            f"{type(answer.call).__name__} at {answer.node} got {answer.status} when calm"
            for answer in answers
            if answer.status != 200
        ]

    def _is_served(self, name: str) -> bool:
        return self.planes.machines[name].replica.served_state(self.planes.now) is not None


def play(seed: int, steps: int = STEPS, **options: object) -> list[str]:
    """What does not hold after a run of that seed; `options`: of `Schedule`."""
    schedule = Schedule(seed, **options)  # type: ignore[arg-type]
    for _ in range(steps):
        schedule.step()
    return schedule.finish()
