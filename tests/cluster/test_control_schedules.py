"""Random schedules of calls and faults (tests/cluster/schedules.py); many more by tests/cluster/long_run.py."""

import testtools
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from testtools.matchers import Equals

from .history import History
from .schedules import FAULTS, ZONES, Schedule, play

SEEDS = range(150)
NAMES = st.integers(0, 4)


class TestSeeds(testtools.TestCase):
    def test_no_seed_breaks_what_holds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertThat(play(seed), Equals([]), seed)

    def test_the_same_seed_is_the_same_run(self):
        first, second = Schedule(5), Schedule(5)
        for schedule in first, second:
            for _ in range(12):
                schedule.step()
        self.assertThat(first.planes.answers, Equals(second.planes.answers))


class Operators(RuleBasedStateMachine):
    """Calls and faults as hypothesis chooses them; what goes wrong is made as small as it can be."""

    def __init__(self):
        super().__init__()
        self.schedule = Schedule(1, names="abc", loss=0.0)

    def name(self, number):
        return self.schedule.names[number % len(self.schedule.names)]

    @rule(at=NAMES, step=st.integers(0, 2), text=st.sampled_from(("", "x")))
    def put(self, at, step, text):
        self.schedule.put(self.name(at), step, text)

    @rule(at=NAMES, which=st.integers(0, 3))
    def put_again(self, at, which):
        self.schedule.put_again(self.name(at), which)

    @rule(at=NAMES, zone=st.sampled_from(ZONES), evacuated=st.booleans())
    def evacuate(self, at, zone, evacuated):
        self.schedule.planes.evacuate(self.name(at), zone, evacuated)

    @rule(at=NAMES)
    def get(self, at):
        self.schedule.planes.get(self.name(at))

    @rule(at=NAMES, kind=st.sampled_from(FAULTS))
    def inject(self, at, kind):
        self.schedule.inject(self.name(at), kind)

    @precondition(lambda self: self.schedule.faulty)
    @rule(number=NAMES)
    def repair(self, number):
        faulty = sorted(self.schedule.faulty)
        self.schedule.repair(faulty[number % len(faulty)])

    @rule(wipes=st.booleans())
    def lose_power_of_all(self, wipes):
        self.schedule.lose_power_of_all(wipes)

    @rule(seconds=st.sampled_from((0.003, 0.01, 0.05, 0.3, 1.0, 5.0)))
    def wait(self, seconds):
        self.schedule.planes.run(seconds)

    @invariant()
    def history_holds(self):
        if self.schedule.planes.event_count() % 7 == 0:
            assert History(self.schedule.planes).check() == []

    def teardown(self):
        violations = self.schedule.finish()
        assert violations == [], violations


Operators.TestCase.settings = settings(
    max_examples=12, stateful_step_count=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
TestOperators = Operators.TestCase
