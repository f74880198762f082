"""The soak's command line: `lab soak run`, `seeds`, `runs`."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import click

from ..runner import end_with_parent
from . import report
from .description import SoakDescription, SoakDescriptionError, load, shipped
from .mutants import MUTANTS
from .runner import Result, SoakFailedError, play
from .schedule import Schedule, Trouble, from_json, make

FILE = click.argument("file")
KEEP = click.option(
    "--keep", type=click.Path(file_okay=False), default="found", show_default=True, help="Where broken runs are kept."
)


@click.group()
def soak() -> None:
    """Soaks of the whole system: real processes on loopback, emulated workers and clients."""


def _load(file: str, seconds: float | None = None) -> SoakDescription:
    try:
        description = load(file)
    except SoakDescriptionError as error:
        raise click.UsageError(str(error)) from None
    return description.model_copy(update={"seconds": seconds}) if seconds else description


def _play(description: SoakDescription, schedule: Schedule, keep: str, mutant: str = "") -> Result:
    folder = Path(keep) / f"soak-{description.name}-{schedule.seed}-{schedule.digest()}"
    try:
        return asyncio.run(play(description, schedule, folder, mutant))
    except (SoakFailedError, SoakDescriptionError) as error:
        raise click.ClickException(str(error)) from None


@soak.command()
@FILE
@click.option("--seed", type=int, default=1, show_default=True, help="Fixes the schedule.")
@click.option("--seconds", type=click.FloatRange(4, 3600), default=None, help="Overrides the file's seconds of load.")
@click.option("--out", type=click.Path(dir_okay=False, writable=True), default=None, help="Writes the JSON result.")
@click.option(
    "--replay", type=click.Path(exists=True, file_okay=False), default=None, help="Plays a kept run's schedule again."
)
@click.option("--shrink", is_flag=True, help="With --replay: again with ever fewer troubles, while it breaks.")
@click.option(
    "--without", type=click.Choice(["", *sorted(MUTANTS)]), default="", help="Takes a guard of the program out."
)
@KEEP
def run(
    file: str,
    seed: int,
    seconds: float | None,
    out: str | None,
    replay: str | None,
    shrink: bool,
    without: str,
    keep: str,
) -> None:
    """Plays FILE (or a shipped run) once; exit 1 if a check broke, 3 if too little could be judged."""
    description = _load(file, seconds)
    schedule = make(description, seed)
    if replay is not None:
        try:
            schedule = from_json((Path(replay) / "schedule.json").read_text(encoding="utf-8"))
        except (OSError, ValueError, TypeError, KeyError) as error:
            raise click.UsageError(f"{replay}: no schedule of a kept run: {error}") from None
    result = _play(description, schedule, keep, without)
    if shrink and result.verdict.broken:
        result = _shrink(description, result, keep, without)
    told = report.result_json(result)
    if out:
        Path(out).write_text(json.dumps(told, indent=1), encoding="utf-8")
    click.echo(report.table([told]))
    click.echo(report.verdict_line(told))
    if result.folder is not None:
        click.echo(f"kept in {result.folder}")
    sys.exit({"kept": 0, "broken": 1, "not judged": 3}[result.verdict.state])


def _shrink(description: SoakDescription, result: Result, keep: str, without: str) -> Result:
    """Leaves out ever smaller parts of the troubles, as long as one of the same checks breaks."""
    wanted, size = set(result.verdict.broken), max(1, len(result.schedule.troubles) // 2)
    while True:
        smaller = _without_a_part(description, result, keep, without, wanted, size)
        if smaller is not None:
            result = smaller
        elif size == 1:
            return result
        else:
            size = max(1, size // 2)


def _without_a_part(
    description: SoakDescription, result: Result, keep: str, without: str, wanted: set[str], size: int
) -> Result | None:
    troubles = result.schedule.troubles
    for begin in range(0, len(troubles), size):
        rest: tuple[Trouble, ...] = troubles[:begin] + troubles[begin + size :]
        click.echo(f"  {len(rest)} of {len(troubles)} troubles", err=True)
        tried = _play(description, result.schedule.with_troubles(rest), keep, without)
        if wanted.intersection(tried.verdict.broken):
            return tried
    return None


@soak.command()
@FILE
@click.option("--from", "first", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--count", type=click.IntRange(1, 1000), default=10, show_default=True, help="How many seeds.")
@click.option("--jobs", type=click.IntRange(1, 8), default=2, show_default=True, help="Runs beside each other.")
@click.option("--seconds", type=click.FloatRange(4, 3600), default=None, help="Overrides the file's seconds of load.")
@click.option("--out", type=click.Path(dir_okay=False, writable=True), default=None, help="Writes the JSON results.")
@KEEP
def seeds(file: str, first: int, count: int, jobs: int, seconds: float | None, out: str | None, keep: str) -> None:
    """Plays FILE for many seeds and prints a table of them; exit 1 if a check broke in any."""
    description = _load(file, seconds)
    results = asyncio.run(_play_seeds(description, range(first, first + count), jobs, keep, out))
    click.echo(report.seeds_table(results))
    sys.exit(1 if any(told["state"] == "broken" for told in results) else 0)


async def _play_seeds(
    description: SoakDescription, chosen: range, jobs: int, keep: str, out: str | None
) -> list[dict[str, Any]]:
    results: list[dict[str, Any]] = []
    slots = asyncio.Semaphore(jobs)

    async def one(seed: int) -> None:
        async with slots:
            # A process of its own for each: the emulators of two runs would make each other late.
            told = await _in_process(description, seed, keep)
            results.append(told)
            click.echo(report.verdict_line(told), err=True)
            if out:
                Path(out).write_text(json.dumps(sorted(results, key=lambda r: r["seed"]), indent=1), encoding="utf-8")

    with click.progressbar(length=len(chosen), label="seeds", file=sys.stderr) as bar:
        for done in asyncio.as_completed([one(seed) for seed in chosen]):
            await done
            bar.update(1)
    return sorted(results, key=lambda told: told["seed"])


async def _in_process(description: SoakDescription, seed: int, keep: str) -> dict[str, Any]:
    program = "import sys; from fernyard.lab.soak.cli import play_for_parent; play_for_parent(*sys.argv[1:])"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-c",
        program,
        description.model_dump_json(),
        str(seed),
        keep,
        stdout=asyncio.subprocess.PIPE,
        preexec_fn=end_with_parent,
    )
    output, _ = await process.communicate()
    if process.returncode != 0:
        raise click.ClickException(f"seed {seed} could not be played: exit {process.returncode}")
    told: dict[str, Any] = json.loads(output)
    return told


def play_for_parent(description_json: str, seed: str, keep: str) -> None:
    """One run of `seeds`, in a process of its own; the result as JSON on standard output."""
    description = SoakDescription.model_validate_json(description_json)
    print(json.dumps(report.result_json(_play(description, make(description, int(seed)), keep))))


@soak.command()
def runs() -> None:
    """Lists the shipped runs."""
    for name in shipped():
        click.echo(name)
