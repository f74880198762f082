"""Reports of laboratory runs: a table that sets one or two results side by side, and PNG plots (matplotlib)
of outcomes over time, latency percentiles and dispatches per worker. Input is the JSON that `lab run --out`
writes.

`compare(results)` is free of I/O and returns the table's rows; `plot(results, path)` draws one PNG.
"""

import json

KINDS = ("passed", "denied", "failed", "late", "lost")


def read(path):
    with open(path) as file:
        return json.load(file)


def label(result, n):
    return f"{chr(65 + n)}: {result['scenario']} seed {result['seed']}"


def compare(results):
    """Rows (what, figure of each result, difference of the last from the first) for the table."""
    rows = []

    def row(what, figures, digits=3):
        shown = [f"{f:.{digits}f}" if isinstance(f, float) else str(f) for f in figures]
        if len(figures) > 1 and all(isinstance(f, (int, float)) for f in figures):
            shown.append(f"{figures[-1] - figures[0]:+.{digits}f}")
        rows.append((what, *shown))

    verdicts = [r["verdict"] for r in results]
    row("reqs", [v["reqs"] for v in verdicts], 0)
    row("served share", [v["served_share"] for v in verdicts])
    for kind in KINDS:
        row(f"{kind}", [v["kinds"].get(kind, 0) for v in verdicts], 0)
    for p in ("p50", "p99", "p99.9"):
        row(
            f"passed latency {p} (ms)",
            [1000.0 * r["latency_s"].get("passed", {}).get(p, 0.0) for r in results],
            1,
        )
    row("worst dispatch after a drain (ms)", [1000.0 * v["worst_drain_s"] for v in verdicts], 1)
    row("counter calls", [r["counter_calls"] for r in results], 0)
    customers = sorted({c for v in verdicts for c in v["overspend"]})
    for customer in customers:
        row(
            f"units over plan, {customer}",
            [v["overspend"].get(customer, {}).get("over", 0.0) for v in verdicts],
        )
    row(
        "rules",
        ["kept" if not v["broken"] else "; ".join(v["broken"]) for v in verdicts] + [""] * (len(verdicts) > 1),
    )
    return rows


def table(results):
    """The comparison as Markdown."""
    head = ["what"] + [label(r, n) for n, r in enumerate(results)] + (["B - A"] if len(results) > 1 else [])
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in compare(results)]
    return "\n".join(lines)


def series(result, width=0.25):
    """Counts of each kind per `width` seconds of send time: {kind: [count per bin]}, and the bins' starts."""
    outcomes = result["outcomes"]
    end = max((o[0] for o in outcomes), default=0.0)
    bins = int(end / width) + 1
    counts = {kind: [0] * bins for kind in KINDS}
    for sent, kind, *_ in outcomes:
        counts[kind][int(sent / width)] += 1
    return [n * width for n in range(bins)], counts


def plot(results, path):
    """One PNG at `path`: outcomes over time for each result, latency percentiles, dispatches per worker."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(results) + 1, 2, figsize=(12, 3.2 * (len(results) + 1)), squeeze=False)
    colours = {
        "passed": "tab:green",
        "denied": "tab:orange",
        "failed": "tab:red",
        "late": "tab:purple",
        "lost": "black",
    }
    for n, result in enumerate(results):
        starts, counts = series(result)
        axis = axes[n][0]
        bottom = [0] * len(starts)
        for kind in KINDS:
            axis.bar(starts, counts[kind], width=0.25, align="edge", bottom=bottom, color=colours[kind], label=kind)
            bottom = [b + c for b, c in zip(bottom, counts[kind])]
        axis.set_title(f"{label(result, n)}: reqs by outcome, per 0.25 s sent")
        axis.set_xlabel("s")
        axis.legend(fontsize="small", ncol=5, loc="lower left")
        axis = axes[n][1]
        workers = sorted(result["workers"])
        axis.bar(workers, [result["workers"][w]["dispatches"] for w in workers], color="tab:blue")
        axis.set_title(f"{label(result, n)}: dispatches per worker")
    axis = axes[-1][0]
    percentiles = ("p50", "p90", "p99", "p99.9")
    for n, result in enumerate(results):
        passed = result["latency_s"].get("passed", {})
        axis.plot(percentiles, [1000 * passed.get(p, 0.0) for p in percentiles], marker="o", label=label(result, n))
    axis.set_title("latency of passed reqs (ms)")
    axis.legend(fontsize="small")
    axis = axes[-1][1]
    customers = sorted({c for r in results for c in r["verdict"]["overspend"]})
    for n, result in enumerate(results):
        spent = result["verdict"]["overspend"]
        axis.bar(
            [x + 0.4 * n for x in range(len(customers))],
            [spent.get(c, {}).get("passed", 0.0) / max(1e-9, spent.get(c, {}).get("allowed", 1.0)) for c in customers],
            width=0.4,
            label=label(result, n),
        )
    axis.axhline(1.0, color="black", linewidth=0.8)
    axis.set_xticks(range(len(customers)), [c[-6:] for c in customers])
    axis.set_title("units passed over units the plan allows, per customer")
    axis.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def spread(results):
    """How alike runs are: for each kind, the counts of every run, and the largest difference of a run's share
    of its reqs from the mean share (0.02 is 2 points). `results` are of one scenario; seeds may differ, and
    with them how many reqs are sent."""
    rows = {}
    for kind in KINDS:
        counts = [r["verdict"]["kinds"].get(kind, 0) for r in results]
        shares = [c / max(1, r["verdict"]["reqs"]) for c, r in zip(counts, results)]
        mean = sum(shares) / len(shares)
        rows[kind] = {"counts": counts, "spread": round(max(abs(s - mean) for s in shares), 4)}
    rows["verdicts"] = ["kept" if not r["verdict"]["broken"] else "broken" for r in results]
    return rows


def alike(first, second):
    """Share of the reqs whose outcome kind two runs of one seed agree on (1.0: the same sequence)."""
    one = [o[1] for o in sorted(first["outcomes"], key=lambda o: o[0])]
    two = [o[1] for o in sorted(second["outcomes"], key=lambda o: o[0])]
    if len(one) != len(two):
        return 0.0
    return round(sum(a == b for a, b in zip(one, two)) / max(1, len(one)), 4)
