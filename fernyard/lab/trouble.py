"""What counter trouble costs with recovery and without it, from results of the emulated clock; free of I/O.

`compare(scenario, results)` takes the results of one scenario played with the operator's section and without it, some
seeds each, and returns rows for a Markdown table."""

from .scenario import Scenario

AFTER = 10.0  # seconds after the last fault that count as "after"
TRUE_WITHIN = 0.05  # of the limit: an estimate this near to the units standing is true


def span(scenario: Scenario):
    """(begin, end) in seconds of the counter's trouble."""
    faults = [step for step in scenario.faults if step.target.partition(":")[0] == "counter" and step.fault != "mark"]
    return min(step.at for step in faults), max(step.until or step.at for step in faults)


def served(result, begin, end, customers):
    """Share of the reqs of `customers` sent in that span that passed."""
    sent = [kind for at, kind, _, _, customer in result["outcomes"] if begin <= at < end and customer in customers]
    return sent.count("passed") / max(1, len(sent))


def true_again(result, scenario, customer, limit):
    """Seconds after each end of a fault until the counter's total of the customer's bucket lacks under `TRUE_WITHIN`
    of the limit of what all gatekeepers have standing in it, for the rest of that bucket or until the next fault."""
    ends = sorted(
        {
            step.until or step.at
            for step in scenario.faults
            if step.target.partition(":")[0] == "counter" and step.fault != "mark"
        }
    )
    waits = []
    for at, following in zip(ends, ends[1:] + [scenario.duration]):
        lacking = [
            when
            for when, of, true, told in result["truth"]
            if of == customer and at <= when < following and true - told > TRUE_WITHIN * limit
        ]
        waits.append(max(lacking) + 0.1 - at if lacking else 0.0)
    return waits


def compare(scenario, results):
    """Rows (strings) for one scenario; `results` maps "off" and "on" to lists of results."""
    begin, end = span(scenario)
    limited = [c.id for c in scenario.customers if (scenario.plans or {}).get(c.plan, {}).get("refill")]
    rows = []
    for mode, played in results.items():
        verdicts = [result["verdict"] for result in played]
        worst = max(
            (window["most"] / window["limit"], window["most"], window["limit"], window["bound"], customer)
            for verdict in verdicts
            for customer, window in verdict["windows"].items()
        )
        near = max(window["most"] / window["bound"] for verdict in verdicts for window in verdict["windows"].values())
        waits = [
            wait
            for result in played
            for customer in limited
            for wait in true_again(result, scenario, customer, result["verdict"]["windows"][customer]["limit"])
        ]
        shares = [
            sum(served(result, *when, limited) for result in played) / len(played)
            for when in ((0.0, begin), (begin, max(end, begin + 1.0)), (end, min(end + AFTER, scenario.duration)))
        ]
        rows.append(
            (
                scenario.name,
                mode,
                *(f"{share:.3f}" for share in shares),
                f"{worst[1]:.0f} of {worst[2]:.0f} (bound {worst[3]:.0f})",
                f"{near:.2f}",
                f"{max(waits):.1f}",
                f"{sum(r['counter_calls'] for r in played) / len(played):.0f}",
                "kept" if not any(verdict["broken"] for verdict in verdicts) else "BROKEN",
            )
        )
    return rows


HEAD = (
    "scenario",
    "recovery",
    "served before",
    "during",
    "after",
    "worst bucket (units)",
    "most of a bound",
    "true again within (s)",
    "counter calls",
    "rules",
)
