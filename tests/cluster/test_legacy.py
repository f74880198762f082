"""Disks as the landed build wrote them (its `control_plane/keeper.py`: areas `config` and `state`), read by this one."""

from itertools import permutations

import msgspec
import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.errors import StateError
from fernyard.cluster.control_plane.recovery import recover
from fernyard.cluster.control_plane.replica_context import ReplicaSettings

from .control_planes import ControlPlanes
from .history import History
from .schedules import SYNC

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5")
encode = msgspec.msgpack.encode


def disk(version=0, zones=None, members=3, synced=True):
    """The areas of one disk. `zones`: zone -> (count of orders, node, on)."""
    areas = {"state": encode([[[f"n{n}", IPS[n]] for n in range(members)], zones or {}, synced]), "board": b"x"}
    if version:
        areas["config"] = encode([[version, 12345], f"v{version}".encode()])
    return areas


def started(disks, **options):
    """Control planes that begin with these disks; None: an empty one."""
    planes = ControlPlanes("abcde"[: len(disks)], **options)
    planes.kill(*planes.machines)
    for name, areas in zip(planes.machines, disks):
        planes.machines[name].areas = dict(areas or {})
        planes.start(name)
    planes.run(SYNC + 1.0)
    return planes


# Name: (disks, the version that has to be read, evacuated zones).
DISKS = {
    "all alike": ([disk(7, {"z1": (1, "n0", True)})] * 3, 7, ["z1"]),
    "nothing was in force yet": ([disk()] * 3, 0, []),
    "one is behind": ([disk(7), disk(7), disk(5)], 7, []),
    "one is empty": ([disk(7), None, disk(7)], 7, []),
    "one did not count, and another missed the last change": ([disk(7), disk(5), disk(7, synced=False)], 7, []),
    "the last order about each zone holds": (
        [disk(7, {"z1": (2, "n0", False)}), disk(7, {"z1": (1, "n1", True)}), disk(7, {"z1": (2, "n0", False)})],
        7,
        [],
    ),
    "five, of which two are empty": ([disk(9, members=5), None, disk(9, members=5), None, disk(9, members=5)], 9, []),
}


class TestLegacy(testtools.TestCase):
    def test_what_the_landed_build_confirmed_is_read(self):
        for name, (disks, version, zones) in DISKS.items():
            for seed, order in enumerate(permutations(disks) if len(disks) == 3 else [disks]):
                with self.subTest(name, seed=seed):
                    planes = started(order, seed=seed)
                    self.assertTrue(planes.is_settled(), (name, seed))
                    for machine in planes.running():
                        read = planes.get(machine.name)
                        self.assertThat(planes.finish(read), Equals(200 if version else 404), (name, seed))
                        self.assertThat(read.body, Equals(f"v{version}".encode() if version else b""), (name, seed))
                        self.assertThat(planes.state(machine.name).evacuated_zones, Equals(zones), (name, seed))
                    self.assertThat(len(planes.state("a").voters), Equals(len(disks)), (name, seed))
                    self.assertThat(planes.finish(planes.put("a", 10)), Equals(200), (name, seed))
                    self.assertNotIn("state", planes.machines["a"].areas)
                    self.assertThat(History(planes).check(), Equals([]), (name, seed))

    def test_three_disks_that_differ(self):
        """Nothing says which change was confirmed: the newest is taken, as the landed build did, and only one."""
        disks = [disk(5), disk(7), disk(9, {"z": (1, "n2", True)})]
        for seed, order in enumerate(permutations(disks)):
            planes = started(order, seed=seed)
            self.assertTrue(planes.is_settled(), seed)
            held = planes.state("a")
            self.assertIn(held.configuration.version, (7, 9), seed)  # any two of the three hold at least 7
            self.assertThat(History(planes).check(), Equals([]), seed)

    def test_power_lost_between_what_was_and_what_is(self):
        """All lose power again and again as they first start: what the landed build confirmed is never lost."""
        for seed in range(20):
            planes = started([disk(7)] * 3, seed=seed) if seed % 2 else started([disk(7), disk(7), disk(5)], seed=seed)
            planes.kill(*planes.machines)
            for name, areas in zip("abc", [disk(7), disk(7), disk(5)]):
                planes.machines[name].areas = dict(areas)
            for step in range(4):
                for name in "abc":
                    planes.start(name)
                planes.run(0.001 * (seed + step))
                for name in "abc":
                    planes.lose_power(name)
            for name in "abc":
                planes.start(name)
            planes.run(SYNC)
            read = planes.get("c")
            self.assertThat((planes.finish(read), read.body), Equals((200, b"v7")), seed)

    def test_foreign_and_torn_state_is_refused_with_its_code(self):
        settings = ReplicaSettings("n0", IPS[0], True, IPS[:3], 1)
        vote = started([disk(7)] * 3).machines["b"].areas["vote"]
        for areas in ({"state": b"\x93nonsense"}, {"vote": b"torn"}, {"vote": vote}):
            self.assertRaises(StateError, recover, areas, settings, False, 5)
