"""The rules checked from what a run recorded, free of I/O. `check(run)` returns a verdict dict.

Recorded, in seconds on one clock: every req the load tool sent (`Outcome`), every dispatch each worker began
(time, correlation id), and every drain or removal discovery told (time, worker). Checked:
- rule 1: each req got exactly one final answer before its client timeout (none lost, none late);
- rule 3: no dispatch began at a worker later than `cutoff` after discovery told it to drain or go;
- rule 2 (`double_effects`): a req that may have run goes again only as its route's semantics allow, and is denied
  only where that harms nothing;
- rule 4 (`cold_push`): the reqs a cold worker was sent beside the pace it can serve while it warms;
- rule 5: units passed per customer against what its plan allows over the run (overspend reported, in units).
"""

from dataclasses import dataclass

from ..plan import slack
from ..recovery import bounds, bucket_of

CUTOFF = 0.5


@dataclass(frozen=True, slots=True)
class Outcome:
    """One req: sent at `sent`, answered `took` seconds later (None: never), with `status` (0: none)."""

    cid: str
    customer: str
    units: float
    sent: float
    took: float | None
    status: int
    timeout: float
    route: str = ""

    @property
    def kind(self):
        if self.took is None:
            return "lost"
        if self.took > self.timeout:
            return "late"
        if self.status == 200:
            return "passed"
        if self.status in (429, 503):
            return "denied"
        return "failed"


def drains(told):
    """[worker, from when, until when or None] of every drain or removal, from discovery's (time, generation,
    worker, lifecycle); a drain ends when the worker is told ready again."""
    out = []
    for at, _, worker, lifecycle in told:
        if lifecycle in ("draining", "gone"):
            out.append([worker, at, None])
        elif lifecycle == "ready":
            for entry in out:
                if entry[0] == worker and entry[2] is None:
                    entry[2] = at
    return out


def late_dispatches(dispatches, told, cutoff=CUTOFF):
    """Dispatches that began at a drained or removed worker more than `cutoff` s after it was told, with how
    late; `dispatches` maps a worker to its (time, cid, ...) list. The worst lateness past the drain is
    returned too."""
    bad, worst = [], 0.0
    for worker, since, until in drains(told):
        for record in dispatches.get(worker, ()):
            at = record[0]
            if at >= since and (until is None or at < until):
                worst = max(worst, at - since)
                if at - since > cutoff:
                    bad.append((worker, record[1], round(at - since, 4)))
    return bad, worst


def double_effects(outcomes, dispatches, routes, groups):
    """(id, what was wrong) of each req that went again, or was denied, though an earlier dispatch may have run and
    its route forbids it. `routes` are the settings' classes, `groups` maps a worker to its group values by scope
    ("all", "zone", "cell"). A free route is never named."""
    by_cid = {}
    for worker, records in sorted(dispatches.items()):
        for at, cid, ran, *_ in records:
            by_cid.setdefault(cid, []).append((at, worker, ran))
    told, wrong = {route["name"]: route for route in routes}, []
    for outcome in outcomes:
        route = told.get(outcome.route)
        if route is None or route["semantics"] == "free":
            continue
        first = None
        for at, worker, ran in sorted(by_cid.get(outcome.cid, ())):
            if first is not None:
                scope = route.get("keyScope", "cell")
                window = route.get("repeatWindowMs", 0) / 1000
                if route["semantics"] == "single_shot":
                    wrong.append((outcome.cid, "went again after it may have run"))
                elif groups[worker][scope] != groups[first[1]][scope]:
                    wrong.append((outcome.cid, "went to another group after it may have run"))
                elif at > first[0] + window:
                    wrong.append((outcome.cid, "went again after its window"))
            elif ran:
                first = (at, worker)
        if first is not None and outcome.status in (429, 503):
            wrong.append((outcome.cid, "denied after it may have run"))
    return wrong


def cold_push(dispatches, restarts, shapes, span=0.5, grain=3):
    """The most that a worker was sent while it warmed, as a multiple of the pace it can serve then; `restarts` lists
    (seconds, worker), `shapes` its scenario entry. Counted in spans of `span` s less `grain` reqs, so that a few by
    chance are no push."""
    worst = 0.0
    for since, worker in restarts:
        shape = shapes[worker]
        if not shape.warm_up or shape.cold_share >= 1.0:
            continue
        at = since
        while at < since + shape.warm_up:
            warmth = shape.cold_share + (1 - shape.cold_share) * min(1.0, (at + span / 2 - since) / shape.warm_up)
            pace = shape.places / shape.mean * warmth
            sent = sum(at <= record[0] < at + span for record in dispatches.get(worker, ()))
            worst = max(worst, (sent - grain) / (pace * span))
            at += span
    return round(worst, 3)


TROUBLES = {
    "lost": "away",
    "silent": "away",
    "slow": "away",
    "busy": "away",
    "fresh": "replaced",
    "stale": "replaced",
    "split": "split",
}


def bound_of(customer, plan, faults, doors, recovery, count_timeout, fallback=None):
    """The stated bound (units a bucket) for a customer of the scenario under the counter's troubles among `faults`;
    `fallback`: the forwarders' where there are planners, else None."""
    rate = customer.rate * max([1.0, *(b.factor for b in customer.bursts)])
    # Arrivals are drawn by chance: a bucket may hold more than the rate gives. Four standard deviations are allowed.
    length, _ = bucket_of(plan)
    rate += 4 * (rate / length) ** 0.5
    told = bounds(plan, doors, recovery, count_timeout, customer.units, rate=rate * customer.units)
    troubles = {
        TROUBLES[step.fault]: None
        for step in faults
        if step.target.partition(":")[0] == "counter" and step.fault in TROUBLES
    }
    if fallback is not None:
        # Forwarders never go by their own counts: without a planner's word, by their fallback.
        troubles.pop("away", None)
        return told.of(sorted(troubles)) + slack(told.limit, fallback)
    return told.of(sorted(troubles))


def windows(outcomes, plans_of, unix_start, bounds_of):
    """Per customer with a plan by rate: the most units passed that came in one bucket of the gatekeepers (its length
    in seconds and its limit in units, as `decide.py` has them), by how much that is over the limit, and the stated
    bound in `bounds_of`."""
    most = {}
    for outcome in outcomes:
        plan = plans_of.get(outcome.customer)
        if outcome.kind == "passed" and plan and plan.get("refill"):
            length, _ = bucket_of(plan)
            buckets = most.setdefault(outcome.customer, {})
            at = int((unix_start + outcome.sent) / length)
            buckets[at] = buckets.get(at, 0.0) + outcome.units
    told = {}
    for customer, buckets in sorted(most.items()):
        length, limit = bucket_of(plans_of[customer])
        worst = max(buckets.values())
        told[customer] = {
            "length_s": length,
            "limit": round(limit, 3),
            "most": round(worst, 3),
            "over": round(max(0.0, worst - limit), 3),
            "bound": round(bounds_of[customer], 3),
        }
    return told


def allowed_units(plan, duration):
    """What a plan lets a customer pass over `duration` s: its burst plus its refill rate for the time."""
    if not plan or not plan.get("refill"):
        return None
    return plan.get("burst", 0.0) + plan["refill"] * duration


def check(outcomes, dispatches, told, plans_of, duration, cutoff=CUTOFF):
    """The verdict of one run: counts by kind, the rules kept or broken, overspend per customer with a
    plan."""
    kinds, by_customer = {}, {}
    for outcome in outcomes:
        kinds[outcome.kind] = kinds.get(outcome.kind, 0) + 1
        units = by_customer.setdefault(outcome.customer, 0.0)
        if outcome.kind == "passed":
            by_customer[outcome.customer] = units + outcome.units
    bad_drains, worst_drain = late_dispatches(dispatches, told, cutoff)
    overspend = {}
    for customer, units in sorted(by_customer.items()):
        allowed = allowed_units(plans_of.get(customer), duration)
        if allowed is not None:
            overspend[customer] = {
                "passed": round(units, 3),
                "allowed": round(allowed, 3),
                "over": round(max(0.0, units - allowed), 3),
            }
    broken = []
    if kinds.get("lost") or kinds.get("late"):
        broken.append(f"rule 1: {kinds.get('lost', 0)} lost, {kinds.get('late', 0)} late")
    if bad_drains:
        broken.append(f"rule 3: {len(bad_drains)} dispatches past the cutoff, worst {worst_drain:.3f} s")
    total = max(1, len(outcomes))
    return {
        "reqs": len(outcomes),
        "kinds": dict(sorted(kinds.items())),
        "served_share": round(kinds.get("passed", 0) / total, 4),
        "broken": broken,
        "worst_drain_s": round(worst_drain, 4),
        "overspend": overspend,
    }
