"""The laboratory's command line, on click: `run`, `scenarios`, `report`."""

import asyncio
import json
import logging
import sys

import click

from ..settings import BadSettings
from . import report as reports, trouble as troubles
from .runner import Lab, verdict_line
from .scenario import BadScenario, load_scenario, shipped, single
from .soak import report as soak_reports
from .soak.cli import soak
from .virtual import VirtualLab

EMULATED = click.option(
    "--emulated-clock",
    "emulated",
    is_flag=True,
    help="Plays on emulated time in this process: the same seed gives the same run to the last answer.",
)


@click.group()
def lab():
    """The laboratory: emulated workers, counter and discovery around real gatekeepers (simulated servers)."""


@lab.command()
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True, help="Seeds the load, the workers and the gatekeepers.")
@click.option("--gatekeepers", type=click.IntRange(1, 64), default=None, help="Overrides the scenario's count.")
@click.option("--out", type=click.Path(dir_okay=False, writable=True), default=None, help="Writes the JSON result.")
@click.option("--quiet", is_flag=True, help="No progress lines.")
@EMULATED
@click.option("--without-operator", is_flag=True, help="Leaves out the scenario's operator section: a baseline.")
@click.option("--single-level", is_flag=True, help="Plays gatekeepers in place of forwarders and planners: a baseline.")
def run(scenario, seed, gatekeepers, out, quiet, emulated, without_operator, single_level):
    """Plays SCENARIO (a file, or the name of a shipped one) and checks the rules; exit 1 if one broke."""
    try:
        told = load_scenario(scenario)
    except BadScenario as why:
        raise click.UsageError(str(why)) from None
    if single_level:
        told = single(told)
    if without_operator:
        told = told.model_copy(update={"operator": None})
    progress = (lambda words: None) if quiet else (lambda words: click.echo(f"  {words}", err=True))
    try:
        played = (VirtualLab if emulated else Lab)(told, seed, gatekeepers, progress)
    except (BadScenario, BadSettings) as why:
        raise click.UsageError(str(why)) from None
    if emulated:
        # The fleet's own log lines: a hundred gatekeepers in one process say each thing a hundred times.
        logging.getLogger("fernyard").setLevel(logging.ERROR)
    result = played.run() if emulated else asyncio.run(played.run())
    if out:
        with open(out, "w") as file:
            json.dump(result, file, indent=1)
    click.echo(verdict_line(result))
    click.echo(json.dumps({k: result["verdict"][k] for k in ("kinds", "worst_drain_s", "windows", "cold_push")}))
    if emulated:
        click.echo(json.dumps({"fleet": result["fleet"]}))
        click.echo(f"digest {result['digest']}")
    sys.exit(1 if result["verdict"]["broken"] else 0)


@lab.command()
def scenarios():
    """Lists the shipped scenarios."""
    for name, words in shipped():
        click.echo(f"{name:16} {words}")


@lab.command()
@click.argument("scenario", type=click.Path(exists=True, dir_okay=False))
def check(scenario):
    """Reads SCENARIO and says what it plays, or what is wrong with it (exit 2)."""
    try:
        told = load_scenario(scenario)
    except BadScenario as why:
        click.echo(str(why), err=True)
        sys.exit(2)
    click.echo(
        f"{told.name}: {len(told.customers)} customers, {len(told.workers)} workers, "
        f"{len(told.faults)} faults, about {told.expected_reqs():.0f} reqs in {told.duration:g} s"
    )


@lab.command()
@click.argument("results", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--plot",
    "picture",
    type=click.Path(dir_okay=False, writable=True),
    default=None,
    help="Draws the runs into this PNG file.",
)
def report(results, picture):
    """Sets one or more RESULTS (JSON of `lab run --out`) side by side: a table, and plots with --plot."""
    if len(results) > 4:
        raise click.UsageError("at most four results side by side")
    told = [reports.read(path) for path in results]
    if any("soak" in result for result in told):
        return _report_soaks(told, picture)
    click.echo(reports.table(told))
    if picture:
        reports.plot(told, picture)
        click.echo(f"plots in {picture}")


def _report_soaks(told, picture):
    """Results of `lab soak run --out`: a table by check, and a picture of the first."""
    if not all("soak" in result for result in told):
        raise click.UsageError("results of soaks and of scenarios don't stand side by side: give one kind")
    click.echo(soak_reports.table(told))
    if picture:
        soak_reports.plot(told[0], picture)
        click.echo(f"the first run in {picture}")


@lab.command()
@click.argument("scenario")
@click.option("--seeds", default="1-5", show_default=True, help="Seeds to play, as FIRST-LAST.")
@click.option("--times", type=click.IntRange(1, 5), default=2, show_default=True, help="Runs of each seed.")
@click.option("--out", type=click.Path(dir_okay=False, writable=True), default=None, help="Writes the JSON.")
@EMULATED
def repeat(scenario, seeds, times, out, emulated):
    """Plays SCENARIO for several seeds, each several times: how alike runs of one seed are, and across
    seeds."""
    try:
        told = load_scenario(scenario)
        first, _, last = seeds.partition("-")
        chosen = range(int(first), int(last or first) + 1)
    except (BadScenario, ValueError) as why:
        raise click.UsageError(str(why)) from None
    runs = {}
    with click.progressbar(length=len(chosen) * times, label="runs", file=sys.stderr) as bar:
        for seed in chosen:
            for _ in range(times):
                runs.setdefault(seed, []).append(
                    VirtualLab(told, seed).run() if emulated else asyncio.run(Lab(told, seed).run())
                )
                bar.update(1)
    same_seed = {seed: [reports.alike(done[0], other) for other in done[1:]] for seed, done in runs.items()}
    across = reports.spread([done[0] for done in runs.values()])
    click.echo("| seed | " + " | ".join(reports.KINDS) + " | rules | outcome alike in the next runs |")
    click.echo("|" + " --- |" * (len(reports.KINDS) + 3))
    for seed, done in runs.items():
        for n, result in enumerate(done):
            kinds = result["verdict"]["kinds"]
            alike = "" if n == 0 else f"{same_seed[seed][n - 1]:.4f}"
            rules = "kept" if not result["verdict"]["broken"] else "; ".join(result["verdict"]["broken"])
            click.echo(
                f"| {seed} | " + " | ".join(str(kinds.get(k, 0)) for k in reports.KINDS) + f" | {rules} | {alike} |"
            )
    click.echo(
        "spread across seeds, as a share of reqs: " + ", ".join(f"{k} {across[k]['spread']:.4f}" for k in reports.KINDS)
    )
    if out:
        with open(out, "w") as file:
            json.dump({"same_seed": same_seed, "across": across}, file, indent=1)


@lab.command()
@click.argument("scenarios", nargs=-1)
@click.option("--seeds", type=click.IntRange(1, 100), default=5, show_default=True, help="Seeds 1 to this.")
def trouble(scenarios, seeds):
    """Sets SCENARIOS (default: the shipped ones of counter trouble) with the operator's section beside the same
    without it, on the emulated clock: what is served, the worst bucket against the stated bound, and how soon the
    estimates are true again."""
    logging.getLogger("fernyard").setLevel(logging.ERROR)
    chosen = scenarios or [name for name, _ in shipped() if name.startswith("counter-") and name != "counter-lost"]
    click.echo("| " + " | ".join(troubles.HEAD) + " |")
    click.echo("|" + " --- |" * len(troubles.HEAD))
    for name in chosen:
        try:
            told = load_scenario(name)
            modes = {"off": told.model_copy(update={"operator": None}), "on": told}
            results = {
                mode: [VirtualLab(scenario, seed).run() for seed in range(1, seeds + 1)]
                for mode, scenario in modes.items()
            }
        except (BadScenario, BadSettings) as why:
            raise click.UsageError(str(why)) from None
        for row in troubles.compare(told, results):
            click.echo("| " + " | ".join(row) + " |")


lab.add_command(soak)


@lab.command("route-speed")
@click.option("--number", type=click.IntRange(100, 1_000_000), default=20_000, show_default=True, help="Reqs matched.")
def route_speed(number):
    """Times matching reqs to 10, 100 and 1,000 operations, and reading a req with and without routes."""
    from .routespeed import measure

    click.echo("| operations | matches/s | match (us) | req read with routes (us) | by hand (us) |")
    click.echo("| --- | --- | --- | --- | --- |")
    for row in measure(number=number):
        click.echo("| " + " | ".join(str(figure) for figure in row) + " |")
