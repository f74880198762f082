"""Writes days of trouble as TOML: every kind alone, pairs and threes of kinds that touch the same state, and the days of
the control plane, each with each closing fault.

    BENCH kinds SITE | python3 -m tests.days.make_days --set alone DIRECTORY

`--set` is one of alone, pairs, threes, control. The names of the kinds come from standard input, as the bench prints them; one
that the table below lacks is an error, so that nothing new goes unplayed. The same input gives the same days.
"""

import argparse
import itertools
import random
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

KIND_LINE = re.compile(r"^([a-z]+(?:_[a-z]+)*): ", re.MULTILINE)
CLOSINGS = ("none", "power_off_all", "wipe_after_ack", "kill_all")
CLOSING_DOWN_S = 1.3
CONFIG_HOWS = ("route", "weights", "timeout", "tenant", "quota", "idle")
CORE_HOWS = ("leader", "meet", "race", "hard", "drain", "leader race drain", "leader meet hard drain")
LONG_S = 20.0  # longer than any lease, heartbeat or bound on contact
LAST_FAULT_S = 20.0  # troubles begin before this, so that each day has a calm end
CHANGES = 100  # in the day of many changes
CHANGE_GAP_S = 0.26


@dataclass(frozen=True)
class Kind:
    """A kind of trouble: its variants, its usual fields and the states that it touches."""

    touches: tuple[str, ...]
    hows: tuple[str, ...] = ("",)
    fields: dict = field(default_factory=dict)
    planned: bool = False


CORE = {"on": "core", "count": 1}
KINDS = {
    "hot_tenant": Kind(("load", "quota"), fields={"x": 7.5, "for_s": 6.0}),
    "srv_crash": Kind(("workers",), ("", "dark", "gone", "across"), {"for_s": 4.5}),
    "release": Kind(("workers", "list"), fields={"share": 0.45, "gap_s": 1.0}, planned=True),
    "scale_in": Kind(("workers", "list"), ("", "spot"), {"share": 0.13}, planned=True),
    "cold_return": Kind(("workers", "zone"), ("", "dark"), {"for_s": 4.5}),
    "answer_lost": Kind(("answers",), ("", "reset"), {"share": 0.5, "x": 0.03, "for_s": 5.0}),
    "garble": Kind(("answers",), ("", "extra", "extra late"), {"share": 0.5, "x": 0.02, "for_s": 5.0}),
    "node_kill": Kind(("core", "machines"), ("", "power", *CORE_HOWS), {**CORE, "for_s": 3.0}),
    "roll_term": Kind(("core", "machines"), ("", "busy", "remove"), {"gap_s": 1.0}, planned=True),
    "herd_kill": Kind(("core", "machines"), ("", "power", "taken"), {"on": "core", "for_s": 2.0}),
    "after_ack_kill": Kind(("core", "config"), ("", "kill", "timed", "taken"), {"for_s": 3.0}),
    "after_ack_wipe": Kind(("core", "config"), ("", "timed", "taken"), {"for_s": 3.0}),
    "clock_step": Kind(("core", "machines"), ("back", "ahead", "leader"), {"share": 0.3, "x": 2400.0, "for_s": 6.0}),
    "zone_loss": Kind(("core", "workers", "zone"), ("", "race drain"), {"for_s": 5.0}),
    "core_cut": Kind(("core", "config"), ("", "one_way", "seeds", "both", *CORE_HOWS), {"count": 1, "for_s": 5.5}),
    "node_cut": Kind(("machines",), ("", "servers"), {"share": 0.17, "for_s": 5.0}),
    "config_change": Kind(("config",), CONFIG_HOWS, planned=True),
    "config_race": Kind(("config",), fields={"count": 3, "gap_s": 1.2}, planned=True),
    "bad_config": Kind(
        ("config",),
        (
            "",
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
            "shared_key",
        ),
        {"count": 7, "gap_s": 0.4},
        planned=True,
    ),
    "big_config": Kind(("config",), fields={"count": 350}, planned=True),
    "revoke": Kind(("config", "quota"), fields={"count": 3, "gap_s": 0.8}, planned=True),
    "evacuate": Kind(("config", "zone"), ("", "warm"), {"for_s": 8.0}, planned=True),
    "burst": Kind(("load",), fields={"x": 2.0, "for_s": 5.0}),
    "retry_abuse": Kind(("load",), fields={"share": 0.3, "x": 3.0, "for_s": 5.0}),
    "srv_slow": Kind(("workers", "answers"), ("", "across"), {"share": 0.15, "x": 4.0, "for_s": 5.0}),
    "replace_with_reuse": Kind(("workers", "list"), ("", "drain", "dark"), {"share": 0.15}),
    "scale_out": Kind(("workers", "list"), fields={"share": 0.3, "gap_s": 3.0}, planned=True),
    "node_freeze": Kind(("core", "machines"), ("", *CORE_HOWS), {**CORE, "for_s": 4.0}),
    "node_slow": Kind(("core", "machines"), ("", "leader"), {**CORE, "x": 5.0, "for_s": 5.0}),
    "replace_core": Kind(("core", "config"), ("", "planned"), {"x": 1.0}),
    "seed_turnover": Kind(("core",), planned=True),
    "disk_slow": Kind(("core", "disk"), ("", "leader"), {"count": 1, "x": 30.0, "for_s": 5.0}),
    "disk_full": Kind(("core", "disk"), ("", "leader"), {"count": 1, "for_s": 5.0}),
    "disk_stall": Kind(("core", "disk"), ("", "leader"), {"count": 1, "for_s": 4.0}),
    "hup": Kind(("machines",), fields={"share": 0.3, "gap_s": 2.0}, planned=True),
    "reset_conns": Kind(("machines", "answers"), fields={"share": 0.2, "x": 0.5}),
    "zone_cut": Kind(("core", "zone"), ("", "race drain"), {"for_s": 5.0}),
    "ack_lost": Kind(("config",), fields={"share": 1.0, "x": 0.7, "for_s": 12.0}),
}


@dataclass(frozen=True)
class Trouble:
    """One entry of a day's plan or faults."""

    kind: str
    at: float
    how: str = ""
    changed: tuple[tuple[str, object], ...] = ()

    @property
    def planned(self):
        return KINDS[self.kind].planned

    def toml(self):
        shown = {"at": self.at, "kind": self.kind, **KINDS[self.kind].fields, **dict(self.changed)}
        if self.how:
            shown["how"] = self.how
        return "  { " + ", ".join(f"{name} = {_value(value)}" for name, value in shown.items()) + " },"


@dataclass(frozen=True)
class Day:
    name: str
    troubles: tuple[Trouble, ...]
    closing: str

    @property
    def file_name(self):
        return f"{self.name}.{self.closing}.toml"

    def toml(self):
        seed = random.Random(self.file_name).randrange(1, 1 << 31)
        lines = ["[[day]]", f'name = "{self.name}"', f"seed = {seed}"]
        if self.closing != "none":
            lines.append(f'closing = {{ kind = "{self.closing}", down_s = {CLOSING_DOWN_S} }}')
        for part, planned in (("plan", True), ("faults", False)):
            entries = [trouble.toml() for trouble in self.troubles if trouble.planned == planned]
            lines += [f"{part} = [", *entries, "]"]
        return "\n".join(lines) + "\n"


def _value(value):
    return f'"{value}"' if isinstance(value, str) else str(value)


def _named(kind, how):
    return f"{kind}-{how.replace(' ', '-')}" if how else kind


def _changes(*times):
    """Changes of the configuration, each of another sort: something to lose, and something to read back."""
    return tuple(
        Trouble("config_change", at, how) for at, how in zip(times, itertools.cycle(CONFIG_HOWS), strict=False)
    )


def known_kinds(printed):
    """The kinds that the bench prints, in its order; one that the table lacks is an error."""
    names = list(dict.fromkeys(KIND_LINE.findall(printed)))
    if not names:
        raise ValueError("no kinds on standard input: pipe the bench's `kinds SITE` into this")
    unknown = [name for name in names if name not in KINDS]
    if unknown:
        raise ValueError(f"kinds that the table lacks: {', '.join(unknown)}")
    return names


def alone(names):
    """Every kind alone with each variant and each closing fault, twice in the day."""
    for name in names:
        for how in KINDS[name].hows:
            troubles = (*_changes(1.0, 24.0), Trouble(name, 4.0, how), Trouble(name, 14.0, how))
            for closing in CLOSINGS:
                yield Day(_named(name, how), troubles, closing)


def pairs(names):
    """Two kinds that touch the same state, the second while the first is under way; variants and closings in turn."""
    turn = itertools.count()
    for one, other in itertools.combinations(names, 2):
        if not set(KINDS[one].touches) & set(KINDS[other].touches):
            continue
        number = next(turn)
        hows = [KINDS[name].hows[number % len(KINDS[name].hows)] for name in (one, other)]
        troubles = (*_changes(1.0, 9.0, 24.0), Trouble(one, 6.0, hows[0]), Trouble(other, 7.5, hows[1]))
        yield Day(f"{_named(one, hows[0])}+{_named(other, hows[1])}", troubles, CLOSINGS[number % len(CLOSINGS)])


def threes(names, count=48, seed=1):
    """Threes at any moment, each kind perhaps more than once."""
    drawn = random.Random(seed)
    for number in range(count):
        picked = drawn.sample(names, 3)
        troubles = list(_changes(1.0, 11.0, 24.0))
        for name in picked:
            for _ in range(drawn.choice((1, 1, 2))):
                at = round(drawn.uniform(2.0, LAST_FAULT_S), 1)
                troubles.append(Trouble(name, at, drawn.choice(KINDS[name].hows)))
        yield Day(f"three-{number:02}-{'+'.join(picked)}", tuple(troubles), CLOSINGS[number % len(CLOSINGS)])


def control(_):
    """The days of the control plane: members replaced, cut off or frozen for long, races, losses around a change."""
    around = (*_changes(1.0, 9.0, 16.0, 26.0), Trouble("evacuate", 17.5))
    long = (("for_s", LONG_S),)
    days = {
        "replace_core": (Trouble("replace_core", 6.0),),
        "replace_core-planned": (Trouble("replace_core", 6.0, "planned"),),
        "replace_core-twice": (Trouble("replace_core", 3.0, "planned"), Trouble("replace_core", 18.0)),
        "config_race": (Trouble("config_race", 4.0), Trouble("config_race", 11.0), Trouble("config_race", 19.0)),
        "ack_lost": (Trouble("ack_lost", 0.5, "", long), Trouble("config_race", 4.0)),
        "after_ack_wipe": (Trouble("after_ack_wipe", 8.0), Trouble("after_ack_wipe", 15.0)),
    }
    for how in ("", "kill", "timed"):
        days[_named("after_ack_kill", how)] = (
            Trouble("after_ack_kill", 8.0, how),
            Trouble("after_ack_kill", 15.0, how),
        )
    for how in CORE_HOWS:
        days[_named("core_cut", how)] = (Trouble("core_cut", 5.0, how, long),)
        days[_named("node_freeze", how)] = (Trouble("node_freeze", 5.0, how, long),)
    for closing in CLOSINGS:
        for name, troubles in days.items():
            yield Day(name, (*around, *troubles), closing)
        yield Day("hundred_changes", _changes(*(round(1.0 + n * CHANGE_GAP_S, 2) for n in range(CHANGES))), closing)


SETS = {"alone": alone, "pairs": pairs, "threes": threes, "control": control}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--set", choices=SETS, required=True)
    parser.add_argument("directory", type=Path)
    told = parser.parse_args()
    try:
        names = known_kinds(sys.stdin.read())
    except ValueError as why:
        sys.exit(str(why))
    told.directory.mkdir(parents=True, exist_ok=True)
    days = list(SETS[told.set](names))
    for day in days:
        (told.directory / day.file_name).write_text(day.toml())
    print(f"{len(days)} days in {told.directory}")


if __name__ == "__main__":
    main()
