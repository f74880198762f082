"""The control state on several control planes, with faults between them: a table of stories, each with its end."""

import random

import testtools
from testtools.matchers import Equals

from .control_planes import ControlPlanes
from .history import History
from .machines import Disk


def story(*steps, zones=None, version=None, names="abc"):
    return steps, zones, version, names


# Steps: (what, arguments..., [the status that it must have]). `version`: read back at the end from everyone that runs.
STORIES = {
    "taken and read back everywhere": story(("put", "a", 7, 200), version=7),
    "an older change changes nothing and is acknowledged": story(("put", "a", 7, 200), ("put", "b", 5, 200), version=7),
    "two operators at once": story(("both", "a", 8, "b", 9), version=9),
    "one machine is down": story(("kill", "c"), ("put", "a", 3, 200), ("start", "c"), version=3),
    "no majority: no clear answer, and later it holds": story(
        ("kill", "b", "c"), ("put", "a", 4, 503), ("start", "b"), ("start", "c"), version=4
    ),
    "lost power of all right after the acknowledgement": story(
        ("put", "a", 6, 200), ("kill", "a", "b", "c"), ("start", "a"), ("start", "b"), ("start", "c"), version=6
    ),
    "the disk that acknowledged is wiped, another was cut off when it happened": story(
        ("cut", "ac", "ca", "bc", "cb"), ("put", "a", 6, 200), ("wipe", "a"), ("heal",), ("start", "a"), version=6
    ),
    "wiped, and all others lose power too": story(
        ("cut", "ac", "ca", "bc", "cb"),
        ("put", "a", 6, 200),
        ("wipe", "a"),
        ("kill", "b", "c"),
        ("heal",),
        ("start", "a"),
        ("start", "b"),
        ("start", "c"),
        version=6,
    ),
    "wiped and the one that kept it is not back: nothing older is read": story(
        ("put", "a", 5, 200),
        ("cut", "ac", "ca", "bc", "cb"),
        ("put", "a", 6, 200),
        ("wipe", "a"),
        ("kill", "b"),
        ("heal",),
        ("start", "a"),
        ("get", "a", 503),
        ("get", "c", 503),
        ("start", "b"),
        version=6,
    ),
    "a stalled disk does not hold up the others": story(("stall", "a"), ("put", "a", 6, 200), ("flow", "a"), version=6),
    "a disk that refuses does not count": story(
        ("refuse", "a", "b"), ("put", "c", 6, 503), ("obey", "a", "b"), ("put", "c", 6, 200), version=6
    ),
    "cut off one way: what cannot be heard does not count": story(
        ("cut", "ba", "ca"), ("put", "a", 6, 503), ("put", "b", 7, 200), ("heal",), version=7
    ),
    "a zone is emptied and taken back at different machines": story(
        ("evacuate", "a", "z1", 200), ("take_back", "b", "z1", 200), ("evacuate", "c", "z2", 200), zones=["z2"]
    ),
    "taken back by one that missed the order": story(
        ("cut", "ac", "ca", "bc", "cb"),
        ("evacuate", "a", "z1", 200),
        ("heal",),
        ("take_back", "c", "z1", 200),
        zones=[],
    ),
    "two zones at once at two machines: neither is lost": story(
        ("both_zones", "a", "z1", "b", "z2"), zones=["z1", "z2"]
    ),
    "an evacuation incarnations through a loss of power of all": story(
        ("evacuate", "a", "z1", 200),
        ("kill", "a", "b", "c"),
        ("start", "a"),
        ("start", "b"),
        ("start", "c"),
        zones=["z1"],
    ),
    "five machines, two wiped right after the acknowledgement": story(
        ("cut", "ad", "da", "ae", "ea", "bd", "db", "be", "eb", "cd", "dc", "ce", "ec"),
        ("put", "a", 6, 200),
        ("wipe", "a"),
        ("wipe", "b"),
        ("heal",),
        ("start", "a"),
        ("start", "b"),
        version=6,
        names="abcde",
    ),
}


class TestStories(testtools.TestCase):
    def play(self, steps, names):
        planes = ControlPlanes(names)
        planes.run(3.0)
        for step in steps:
            what, *told = step
            if what in ("put", "evacuate", "take_back"):
                *told, wanted = told
                if what == "put":
                    answer = planes.put(*told)
                else:
                    answer = planes.evacuate(*told, what == "evacuate")
                self.assertThat(planes.finish(answer), Equals(wanted), step)
            elif what == "get":
                self.assertThat(planes.finish(planes.get(told[0])), Equals(told[1]), step)
            elif what == "both":
                planes.put(told[0], told[1])
                planes.put(told[2], told[3])
            elif what == "both_zones":
                planes.evacuate(told[0], told[1])
                planes.evacuate(told[2], told[3])
            elif what == "kill":
                planes.kill(*told)
            elif what == "wipe":
                planes.wipe(told[0])
            elif what == "start":
                planes.start(told[0])
            elif what == "cut":
                planes.partition(*told)
            elif what == "heal":
                planes.heal()
            elif what in ("stall", "flow", "refuse", "obey"):
                for name in told:
                    planes.set_disk(name, {"stall": Disk.STALLED, "refuse": Disk.FULL}.get(what, Disk.WORKING))
            planes.run(0.2)
        planes.run(3.0)
        return planes

    def test_stories(self):
        for name, (steps, zones, version, names) in STORIES.items():
            with self.subTest(name):
                planes = self.play(steps, names)
                for machine in planes.running():
                    if version is not None:
                        read = planes.get(machine.name)
                        self.assertThat(planes.finish(read), Equals(200), (name, machine.name))
                        self.assertThat(read.body, Equals(f"v{version}".encode()), (name, machine.name))
                        self.assertThat(planes.state(machine.name).configuration.version, Equals(version), name)
                    if zones is not None:
                        self.assertThat(planes.state(machine.name).evacuated_zones, Equals(zones), (name, machine.name))
                self.assertThat(History(planes).check(), Equals([]), name)

    def test_random_faults_lose_nothing_acknowledged(self):
        """Changes at random machines while one at a time is killed, wiped, cut off, frozen, stalled: what was acknowledged is
        read back, and no read ever goes back behind an acknowledgement."""
        for seed in range(40):
            with self.subTest(seed=seed):
                self.assertThat(History(self.random_run(seed)).check(), Equals([]), seed)

    def random_run(self, seed):
        chance = random.Random(seed)
        planes = ControlPlanes(seed=seed, loss=0.03, doubled=0.03, delay=chance.choice((0.002, 0.055)))
        planes.run(3.0)
        version, faulty, how = 1, None, None
        for _ in range(14):
            if faulty is None:
                faulty, how = chance.choice("abc"), chance.choice(["kill", "wipe", "isolate", "stalled", "suspend"])
                if how == "stalled":
                    planes.set_disk(faulty, Disk(how))
                else:
                    getattr(planes, how)(faulty)
            else:
                self.repair(planes, faulty, how)
                planes.run(4.0)
                faulty = None
            version += chance.choice((0, 1, 3))
            planes.put(chance.choice("abc"), version, chance.choice(("", "x")))
            if chance.random() < 0.5:
                planes.put(chance.choice("abc"), version, chance.choice(("", "y")))
            planes.run(chance.choice((0.01, 0.3, 1.0)))
            planes.get(chance.choice("abc"))
            planes.run(1.0)
        if faulty is not None:
            self.repair(planes, faulty, how)
        planes.run(4.0)
        self.assertTrue(planes.is_settled(), seed)
        for name in "abc":
            self.assertThat(planes.finish(planes.get(name)), Equals(200), (seed, name))
        return planes

    def repair(self, planes, faulty, how):
        planes.heal()
        if how == "stalled":
            planes.set_disk(faulty, Disk.WORKING)
        elif how == "suspend":
            planes.resume(faulty)
        elif how in ("kill", "wipe"):
            planes.start(faulty)
