"""Random schedules of orders and troubles on several control planes, within the losses that the system has to bear."""

import random

from fernyard.cluster.control_plane.replica import Replica

from .control_planes import ControlPlanes, History

SYNC = 4.0  # seconds from its return, or its start if it is new, until a machine counts as whole again (syncS)
CONTACT = 5.0  # seconds after the last trouble within which all is well again (contactS)
STEPS = 30
SPARES = "mnopqrstuvwxyz"
TROUBLES = ("kill", "lose_power", "wipe", "freeze", "isolate", "deafen", "mute", "stalled", "full", "replace")
ZONES = ("z1", "z2")


class Schedule:
    """Plays orders and troubles, drawn by `seed` or told one by one. `hurt`: machine -> what it suffers; `whole_at`: machine
    -> when it counts as whole."""

    def __init__(self, seed, replica=Replica, names=None, loss=None):
        self.chance, self.seed = random.Random(seed), seed
        names = names or self.chance.choice(("abc", "abc", "abcde"))
        loss = self.chance.choice((0.0, 0.03)) if loss is None else loss
        delay = self.chance.choice((0.002, 0.002, 0.055))
        self.planes = ControlPlanes(names, seed, replica=replica, loss=loss, doubled=loss, delay=delay)
        self.names, self.size, self.spares = list(names), len(names), list(SPARES)
        self.version, self.hurt, self.whole_at, self.tried = 1, {}, {}, []
        self.planes.run(2.0 + 1.5 * (self.size - 3))

    # Troubles --------------------------------------------------------------------------------------------------------

    def lost(self):
        """Machines that count as lost."""
        return {*self.hurt, *(name for name, at in self.whole_at.items() if at > self.planes.now)}

    def may_lose(self):
        return len(self.lost()) < self.planes.faults

    def trouble(self, name, kind):
        planes = self.planes
        if name in self.lost() or name not in self.names or not self.may_lose():
            return
        if kind == "replace":
            return self.replace(name)
        self.hurt[name] = kind
        if kind in ("stalled", "full"):
            planes.disk(name, kind)
        else:
            getattr(planes, kind)(name)

    def mend(self, name):
        planes, kind = self.planes, self.hurt.pop(name)
        planes.cut = {pair for pair in planes.cut if name not in pair}
        if kind in ("stalled", "full"):
            planes.disk(name, "well")
        elif kind == "freeze":
            planes.thaw(name)
        elif kind in ("kill", "lose_power", "wipe"):
            planes.start(name)
        self.whole_at[name] = planes.now + SYNC

    def replace(self, name):
        """A new machine in place of one that is gone, or that leaves once the new one is whole."""
        planes, planned = self.planes, self.chance.random() < 0.5
        if not self.spares or planned and self.lost():
            return
        new = self.spares.pop(0)
        planes.add(new)
        if planned:
            planes.start(new)
            planes.run(SYNC)
            planes.leave(name)
        else:
            planes.kill(name)
            planes.run(self.chance.choice((0.0, 0.5, 2.0)))
            planes.start(new)
            self.whole_at[new] = planes.now + SYNC
        self.names[self.names.index(name)] = new

    def all_at_once(self, wipes):
        """All lose power; where none is lost yet, as many as may be lose their disks too."""
        planes = self.planes
        if (
            any(kind in ("kill", "lose_power", "wipe", "freeze") for kind in self.hurt.values())
            or self.lost()
            and wipes
        ):
            return
        wiped = self.chance.sample(self.names, planes.faults) if wipes else []
        for name in self.names:
            planes.wipe(name) if name in wiped else planes.lose_power(name)
        for name in self.names:
            planes.run(0.1 * self.chance.random())
            planes.start(name)
        # Whoever was to be whole soon starts anew.
        self.whole_at.update({name: planes.now + SYNC for name in {*wiped, *self.lost()}})

    # Orders ----------------------------------------------------------------------------------------------------------

    def put(self, name, step, text):
        self.version += step
        self.tried.append((self.version, text))
        self.planes.put(name, self.version, text)

    def put_again(self, name, which):
        if self.tried:
            self.planes.put(name, *self.tried[-1 - which % len(self.tried)])

    # A run -----------------------------------------------------------------------------------------------------------

    def step(self):
        chance, planes = self.chance, self.planes
        name = chance.choice(self.names)
        what = chance.random()
        if what < 0.35:
            self.put(name, chance.choice((0, 1, 1, 3)), chance.choice(("", "x", "y")))
        elif what < 0.45:
            self.put_again(name, chance.randrange(4))
        elif what < 0.55:
            planes.evacuate(name, chance.choice(ZONES), chance.random() < 0.5)
        elif what < 0.70:
            planes.get(name)
        elif what < 0.85:
            self.trouble(name, chance.choice(TROUBLES))
        elif what < 0.97 and self.hurt:
            self.mend(chance.choice(list(self.hurt)))
        elif what >= 0.97:
            self.all_at_once(chance.random() < 0.5)
        planes.run(chance.choice((0.0, 0.01, 0.05, 0.3, 1.0)))

    def finish(self):
        """Mends all; returns what does not hold."""
        planes = self.planes
        for name in list(self.hurt):
            self.mend(name)
        planes.run(CONTACT)
        wrong = []
        if not planes.settled():
            wrong.append(f"not settled: {[(m.name, m.replica.state) for m in planes.running()]}")
        for name in self.names:
            state = planes.state(name)
            if state is not None and sorted(planes.voters(name)) != sorted(self.names):
                wrong.append(f"{name} knows of the voters {planes.voters(name)}")
        self.put(self.names[0], 1, "last")
        asked = [planes.answers[-1]]
        planes.run(0.5)
        asked += [planes.get(name) for name in self.names]
        planes.run(1.0)
        wrong += [f"{a.what[0]} at {a.node} got {a.status} when calm" for a in asked if a.status != 200]
        wrong += [f"{name} is not served when calm" for name in self.names if not self._served(name)]
        return wrong + History(planes).check()

    def _served(self, name):
        return self.planes.machines[name].replica.served_state(self.planes.now) is not None


def play(seed, steps=STEPS, **options):
    """What does not hold after a run of that seed."""
    schedule = Schedule(seed, **options)
    for _ in range(steps):
        schedule.step()
    return schedule.finish()
