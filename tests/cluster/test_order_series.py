"""Orders in quick series: the last acknowledged one is in force, and none before it comes back. Random runs, and a small model in which
copies of orders arrive late, twice and in any order."""

from collections.abc import Iterator
from unittest import mock

import attrs
import testtools
from testtools.matchers import Equals

from fernyard.cluster.control_plane.state import (
    ChangeRejectedError,
    ControlState,
    SetEvacuation,
    founding_state,
)

from .order_series import ZONE, play

SEEDS = range(120)
ORDERS = 4  # of the model, each the contrary of the one before
APPLY = SetEvacuation.apply


def apply_whatever_the_count(change: SetEvacuation, state: ControlState) -> ControlState:
    return APPLY(SetEvacuation(change.zone, change.evacuated), state)


def without_count() -> object:
    """The guard taken away: a copy applies to any state."""
    return mock.patch.object(SetEvacuation, "apply", apply_whatever_the_count)


@attrs.frozen(cache_hash=True)
class World:
    """`copies`: of orders, which may arrive at any time, also again; `given`: orders so far; `waiting`: the last one is not
    acknowledged yet; `last`: its copy."""

    state: ControlState
    copies: frozenset[SetEvacuation] = frozenset()
    given: int = 0
    waiting: bool = False
    last: SetEvacuation | None = None

    def following(self) -> Iterator["World"]:
        """All that may happen next."""
        if not self.waiting and self.given < ORDERS:
            zone = self.state.evacuation(ZONE)  # as a majority confirms it
            copy = SetEvacuation(ZONE, self.given % 2 == 0, zone.count)
            yield attrs.evolve(self, copies=self.copies | {copy}, given=self.given + 1, waiting=True, last=copy)
        for copy in self.copies:
            yield self._after(copy)

    def _after(self, copy: SetEvacuation) -> "World":
        """A copy is decided, by whichever control plane has it."""
        try:
            state = copy.apply(self.state)
        except ChangeRejectedError:
            return self
        return attrs.evolve(self, state=state, waiting=self.waiting and copy != self.last)

    def is_wrong(self) -> bool:
        """Is an acknowledged order, the last one given, not in force?"""
        return (
            not self.waiting and self.last is not None and self.state.evacuation(ZONE).evacuated != self.last.evacuated
        )


def visit() -> tuple[int, bool]:
    """(the number of states of the model, whether one of them is wrong)."""
    first = World(founding_state(("10.0.0.1", "10.0.0.2", "10.0.0.3")))
    seen, waiting = {first}, [first]
    while waiting:
        for world in waiting.pop().following():
            if world.is_wrong():
                return len(seen), True
            if world not in seen:
                seen.add(world)
                waiting.append(world)
    return len(seen), False


class TestOrderSeries(testtools.TestCase):
    def test_the_last_acknowledged_order_is_in_force(self):
        """Guards against an order that comes back after a later one: late at a suspended lease holder, doubled or cut off."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertThat(play(seed), Equals([]), seed)

    def test_without_the_count_some_seed_breaks(self):
        with without_count():
            self.assertTrue(any(play(seed) for seed in SEEDS))

    def test_no_copy_of_an_order_undoes_a_later_one_in_any_state_of_the_model(self):
        states, is_wrong = visit()
        self.assertThat((states > ORDERS, is_wrong), Equals((True, False)))

    def test_without_the_count_the_model_finds_it(self):
        with without_count():
            self.assertTrue(visit()[1])
