"""The days that are made, and what is said of a day that was played. No bench."""

import tomllib

import testtools
from testtools.matchers import Equals

from tests.days import make_days, play_days

PRINTED = "what the fields mean: a preface\n\nconfig_race: pairs\nnode_kill: share (.1)\n\nthese may come too:\nzone_cut: one\n"


class TestMakeDays(testtools.TestCase):
    def test_known_kinds(self):
        self.assertThat(make_days.known_kinds(PRINTED), Equals(["config_race", "node_kill", "zone_cut"]))

    def test_unknown_kind(self):
        error = self.assertRaises(ValueError, make_days.known_kinds, PRINTED + "comet: falls\n")
        self.assertIn("comet", str(error))
        self.assertRaises(ValueError, make_days.known_kinds, "")

    def test_every_set(self):
        """Days of one set have names of their own, can be read, and are the same each time."""
        for made in make_days.SETS.values():
            days = list(made(list(make_days.KINDS)))
            self.assertThat(len({day.file_name for day in days}), Equals(len(days)))
            for day in days:
                (told,) = tomllib.loads(day.toml())["day"]
                self.assertThat(len(told["plan"]) + len(told["faults"]), Equals(len(day.troubles)))
            self.assertThat([day.toml() for day in made(list(make_days.KINDS))], Equals([day.toml() for day in days]))

    def test_every_variant_alone(self):
        days = list(make_days.alone(list(make_days.KINDS)))
        variants = sum(len(kind.hows) for kind in make_days.KINDS.values())
        self.assertThat(len(days), Equals(variants * len(make_days.CLOSINGS)))


PLAYED = (
    "day  own/srv  score\nd-1   12/36   0.00  0.952  0.985  BROKEN: CONFIG 11 (else 0.95)\nrules broken: CONFIG 11\n"
)


class TestPlayDays(testtools.TestCase):
    def test_summary(self):
        for output, exit_code, wanted in (
            (PLAYED, 1, ("0.00 BROKEN CONFIG 11", False)),
            ("d-1   12/36   0.95  0.952\n", 0, ("0.95 no rule broken", True)),
            (
                "d-1   12/36   -0.03  0.2\nshort of the gate: 0.2\n",
                0,
                ("-0.03 no rule broken; short of the gate: 0.2", True),
            ),
            ("cannot build\n", 2, ("not played, exit 2", False)),
        ):
            self.assertThat(play_days.summary(output, exit_code), Equals(wanted))
