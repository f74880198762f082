"""A gateway always finds the control plane again."""

from random import Random

import testtools
from testtools.matchers import Equals

from fernyard.cluster.data_plane.control_plane_directory import (
    LOST_AFTER,
    MAX_KNOWN,
    PROBES,
    WATCHERS,
    ControlPlaneDirectory,
)

from .reporting_gateways import RECOVERY, Fleet

SEEDS = range(60)


class ReplacingDirectory(ControlPlaneDirectory):
    """The guard taken away: whatever list came last is all that is known."""

    def replied(self, now, sender, ips, in_touch):
        self.confirmed, self.confirmed_at = tuple(ips), now

    def recipients(self, now):
        return list(self.confirmed or self.seeds)[:WATCHERS]


def directory(*seeds: str) -> ControlPlaneDirectory:
    return ControlPlaneDirectory(0.0, "g1", seeds, Random(1))


def recipients_until(known: ControlPlaneDirectory, began: float, seconds: float) -> set[str]:
    """All that were written to within that time."""
    return {ip for tick in range(int(seconds / 0.3)) for ip in known.recipients(began + 0.3 * tick)}


class TestDirectory(testtools.TestCase):
    def test_one_without_a_majority_replaces_nothing(self):
        """Guards against gateways that report to one lost control plane alone (review/2)."""
        known = directory("a", "b", "c")
        known.replied(1.0, "a", ["a", "b", "d"], True)
        known.replied(2.0, "e", ["e"], False)
        self.assertThat(sorted(known.recipients(2.0)), Equals(["a", "b", "d"]))
        self.assertThat(recipients_until(known, 2.0 + LOST_AFTER, RECOVERY), Equals({"a", "b", "c", "d", "e"}))

    def test_one_in_touch_with_a_majority_is_believed(self):
        known = directory("a", "b", "c")
        known.replied(1.0, "x", ["x", "y"], True)
        self.assertThat(sorted(known.recipients(1.0)), Equals(["x", "y"]))
        self.assertTrue(known.contains("x") and known.contains("a") and not known.contains("z"))

    def test_earlier_lists_and_new_seeds_are_tried_while_nobody_answers(self):
        known = directory("a", "b", "c")
        known.replied(1.0, "x", ["x", "y"], True)
        known.replied(2.0, "m", ["m"], True)
        known.add_seeds(["n"])
        lost_at = 2.0 + LOST_AFTER + 0.1
        self.assertThat(recipients_until(known, lost_at, RECOVERY), Equals({"a", "b", "c", "x", "y", "m", "n"}))
        known.replied(lost_at + RECOVERY, "n", ["n", "o"], True)
        self.assertThat(sorted(known.recipients(lost_at + RECOVERY)), Equals(["n", "o"]))

    def test_bounds(self):
        """Of what is kept and of what is sent, however much is reported."""
        known = directory(*(f"s{number}" for number in range(40)))
        for number in range(200):
            known.replied(1.0, f"x{number}", [f"y{number}"], number % 2 == 0)
        for kind in (known.reported, known.seeds, known.former):
            self.assertTrue(len(kind) <= MAX_KNOWN)
        now = 1.0
        for _ in range(100):
            now += 0.3
            self.assertTrue(len(known.recipients(now)) <= WATCHERS + PROBES)


class TestFleet(testtools.TestCase):
    def test_every_gateway_is_in_force_again(self):
        """Guards against gateways that hear nothing any more after kills, a lost disk and replacements that overlap."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertThat(Fleet(seed).play(), Equals([]), seed)

    def test_a_list_that_replaces_all_that_is_known_is_found(self):
        self.assertTrue(any(Fleet(seed, ReplacingDirectory).play() for seed in SEEDS))
