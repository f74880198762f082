"""Tables, results and a picture of soaks. Input is what `runner.play` returned, or the JSON that `result_json` made of it."""

import json
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

import attrs

from .records import Ending, Records

if TYPE_CHECKING:
    from .runner import Result

RUNS_FOR_NOBODY = "runs for nobody"
SHOWN = 3  # findings of one check in a result


def records_json(records: Records) -> str:
    """All records as text; bodies of configurations as strings."""

    def plain(value: object) -> object:
        if isinstance(value, bytes):
            return value.decode("utf-8", "replace")
        if hasattr(value, "value"):
            return value.value
        return str(value)

    return json.dumps(attrs.asdict(records), default=plain)


def result_json(result: "Result") -> dict[str, Any]:
    """What is kept of a run for reports."""
    verdict = result.verdict
    return {
        "soak": result.description.name,
        "seed": result.schedule.seed,
        "digest": result.schedule.digest(),
        "state": verdict.state,
        "judged": round(verdict.judged_fraction, 3),
        "seconds": result.description.seconds,
        "processes": result.description.processes,
        "process_mb": round(result.process_mb, 1),
        "troubles_skipped": result.skipped,
        "checks": [
            {
                "name": judgement.name,
                "judged": judgement.judged,
                "unjudged": judgement.unjudged,
                "worst": round(judgement.worst, 3),
                "broken": len(judgement.findings),
                "findings": judgement.findings[:SHOWN],
            }
            for judgement in verdict.judgements
        ],
        "series": series(result.records, result.description.seconds),
        "troubles": [
            [one.name, one.kind, round(one.begin, 2), round(min(one.end, result.description.seconds), 2)]
            for one in result.records.disturbances
        ],
        "simulated": True,
    }


def series(records: Records, seconds: float) -> dict[str, list[float]]:
    """By second of sending: answers 2xx, refusals, other endings, the slowest answer, and runs of clients that had left."""
    length = int(seconds) + 1
    counts: dict[str, list[float]] = {
        name: [0.0] * length for name in ("served", "refused", "failed", "slowest", RUNS_FOR_NOBODY)
    }
    left = {made.id: made.left_at for made in records.tries if made.left_at is not None}
    for made in records.tries:
        second = min(length - 1, max(0, int(made.sent_at)))
        if made.ending is Ending.LEFT:
            continue
        name = "served" if 200 <= made.status < 300 else "refused" if made.status in (429, 503) else "failed"
        counts[name][second] += 1
        took = (made.ended_at or made.sent_at) - made.sent_at
        counts["slowest"][second] = max(counts["slowest"][second], round(took, 3))
    for work in records.work:
        left_at = left.get(work.id)
        if left_at is not None and work.ended_at is not None and work.ended_at > left_at:
            counts[RUNS_FOR_NOBODY][min(length - 1, max(0, int(left_at)))] += 1
    return counts


def verdict_line(result: Mapping[str, Any]) -> str:
    """One line on a run."""
    broken = ", ".join(check["name"] for check in result["checks"] if check["broken"])
    return (
        f"{result['soak']} seed {result['seed']}: {result['state']}{': ' + broken if broken else ''}; "
        f"{100 * result['judged']:.0f}% judged; digest {result['digest']}"
    )


def table(results: Sequence[Mapping[str, Any]]) -> str:
    """Markdown: a row for each check, a column for each run."""
    lines = ["| check | " + " | ".join(f"{r['soak']} seed {r['seed']}" for r in results) + " |"]
    lines.append("|" + " --- |" * (len(results) + 1))
    for number, check in enumerate(results[0]["checks"]):
        cells = [_cell(result["checks"][number]) for result in results]
        lines.append(f"| {check['name']} | " + " | ".join(cells) + " |")
    lines.append("| all | " + " | ".join(f"{r['state']}, {100 * r['judged']:.0f}% judged" for r in results) + " |")
    return "\n".join(lines)


def _cell(check: Mapping[str, Any]) -> str:
    judged = f"{check['judged']}" + (f" (+{check['unjudged']} not judged)" if check["unjudged"] else "")
    found = f"BROKEN {check['broken']}: {check['findings'][0]}" if check["broken"] else "kept"
    return f"{found}, {judged}, worst {check['worst']:g}"


def seeds_table(results: Sequence[Mapping[str, Any]]) -> str:
    """Markdown: a row for each seed, and the worst figure of each check over all."""
    lines = ["| run | seed | digest | processes | state | judged | broken checks |", "|" + " --- |" * 7]
    for r in results:
        broken = "; ".join(f"{check['name']} ({check['findings'][0]})" for check in r["checks"] if check["broken"])
        lines.append(
            f"| {r['soak']} | {r['seed']} | {r['digest']} | {r['processes']} | {r['state']} | {100 * r['judged']:.0f}% | {broken} |"
        )
    lines += ["", "| check | judged | not judged | runs that broke it | worst |", "|" + " --- |" * 5]
    for number, check in enumerate(results[0]["checks"] if results else []):
        all_of = [result["checks"][number] for result in results]
        judged, unjudged = sum(one["judged"] for one in all_of), sum(one["unjudged"] for one in all_of)
        broken_runs, worst = sum(bool(one["broken"]) for one in all_of), max(one["worst"] for one in all_of)
        lines.append(f"| {check['name']} | {judged} | {unjudged} | {broken_runs} | {worst:g} |")
    return "\n".join(lines)


def plot(result: Mapping[str, Any], path: str) -> None:
    """One PNG: troubles as bars over latency, refusals and what workers ran for nobody."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, figsize=(12, 10), sharex=True, height_ratios=(2, 1, 1))
    names = sorted({name for name, *_ in result["troubles"]})
    for name, kind, begin, end in result["troubles"]:
        colour = "tab:blue" if kind.endswith(("term", "hup")) else "tab:red"
        axes[0].barh(names.index(name), max(0.2, end - begin), left=begin, color=colour, height=0.7)
    axes[0].set_yticks(range(len(names)), names, fontsize="x-small")
    axes[0].set_title(f"{verdict_line(result)}\ntroubles (blue: planned)", fontsize="small")
    told = result["series"]
    seconds = range(len(told["served"]))
    axes[1].plot(seconds, told["slowest"], color="black", label="slowest answer (s)")
    axes[1].legend(fontsize="small")
    for name, colour in (("refused", "tab:orange"), ("failed", "tab:red"), (RUNS_FOR_NOBODY, "tab:purple")):
        axes[2].step(seconds, told[name], where="post", color=colour, label=name)
    axes[2].legend(fontsize="small")
    axes[2].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
