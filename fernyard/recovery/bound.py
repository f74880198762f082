"""The overspend that trouble of the shared counter may cost a customer at most, from the configuration alone. Free of
I/O; the formulas stand, with why, in docs/counter-trouble.md.

All figures are units that pass in one bucket of the customer's plan (`bucket_of`), over all gatekeepers together; the
limit of a bucket is what passes there while the counter is well.
"""

from dataclasses import dataclass

from ..decide import SPREAD, UNASKED
from ..estimate import LIMIT_BURSTS, SECOND, bucket_length, sure_part
from ..interface import Plan


def bucket_of(plan):
    """(length in seconds, limit in units) of a plan told as in the settings (`refill`, `burst`), as the decisions
    have them."""
    return bucket_length(plan["refill"], plan["burst"]) / SECOND, LIMIT_BURSTS * plan["burst"]


def bounds_of(config, recovery):
    """`Bounds` of every plan by rate in a gatekeeper's configuration, for a customer that comes through all gatekeepers;
    what a running one prints with its counts."""
    told = []
    for name, number in config.plans.items():
        plan = config.settings.plans[number]
        worded = {
            "name": name,
            "refill": plan.rate,
            "burst": plan.burst,
            "ceilingRate": plan.ceiling_rate,
            "capDepth": plan.ceiling_depth,
            "ceilingSlack": plan.ceiling_slack,
        }
        told.append(
            bounds(
                worded,
                config.settings.gatekeepers,
                recovery,
                config.settings.count_timeout,
                config.limits.units,
                settles=config.settings.settles,
            )
        )
    return [bound for bound in told if bound is not None]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Units in one bucket. `limit`: while the counter is well; `crossing`:
    that and the req that came in one bucket and was counted in the next; `away_even`: no answer, with the customer's
    reqs spread evenly over its gatekeepers; `away`: no answer, spread as unevenly as may be, but as they were before;
    `away_shifting`: no answer, and each gatekeeper in turn had learned that all comes through it;
    `replaced`: another, empty or older, counter in its place; `split`: two halves of the fleet on counters of their
    own, in the bucket in which it is noticed; `split_on`: in every later one. `noticed`: seconds until a replaced
    counter and a split are noticed."""

    plan: str
    length: float
    limit: float
    crossing: float
    away_even: float
    away: float
    away_shifting: float
    replaced: float
    split: float
    split_on: float
    noticed: tuple[float, float]

    def of(self, troubles):
        """The most where several troubles ("away", "replaced", "split") come in one bucket."""
        return self.crossing + sum(max(0.0, getattr(self, kind) - self.crossing) for kind in troubles)

    def lines(self):
        """For an operator, a line each."""
        replaced, split = (f"noticed within {at:g} s" if at != float("inf") else "not noticed" for at in self.noticed)
        return [
            f"plan {self.plan}: {self.limit:g} units a bucket of {self.length:g} s while the counter is well",
            f"  no answer from the counter: {self.away_even:.4g} with even traffic, {self.away:.4g} with uneven, "
            f"{self.away_shifting:.4g} where it shifts",
            f"  a replaced or older counter: {self.replaced:.4g} ({replaced})",
            f"  two halves on two counters: {self.split:.4g} in the bucket where it begins ({split}), "
            f"then {self.split_on:.4g}",
        ]


def bounds(plan, doors, recovery, count_timeout, most_units=1.0, halves=2, rate=None, settles=False):
    """Bounds of one plan told as in the settings; None where it has no limit by rate. `doors`: gatekeepers that the
    customer comes through; `recovery`: `RecoverySettings`, or None where recovery is off; `count_timeout` in tenths
    of a millisecond; `most_units` that one req may take; `rate`: the most units a second the customer is known to
    send (None: not known); `settles`: units are settled with the answer, and told totals grant nothing of a
    ceiling."""
    if not plan.get("refill"):
        return None
    length, limit = bucket_of(plan)
    depth = plan.get("capDepth", 0.0) if plan.get("ceilingRate") else float("inf")

    def ceiling(seconds):
        """What the hard ceiling, held by shares and by told totals, lets pass in so long."""
        return depth + plan.get("ceilingRate", 0.0) * seconds

    def passes(seconds):
        return min(ceiling(seconds), float("inf") if rate is None else rate * seconds)

    whole = passes(length)
    # Without an answer only the shares grant, beside what told totals granted in the bucket before they stopped.
    unheard = whole
    if plan.get("ceilingRate") and not settles:
        told = Plan(
            plan["refill"], plan.get("burst", 0.0), 0, plan["ceilingRate"], depth, plan.get("ceilingSlack", 0.0)
        )
        sure = sure_part(told, doors, length * SECOND, limit, most_units)
        unheard = min(whole, ceiling(length) + told.ceiling_slack * (sure > 0) - sure)

    def without_answer(shares):
        """`shares`: the sum of what the gatekeepers take for their shares of the customer. The spread is the most
        for a given sum where all are alike; where a share is less than one req, each door lets its first in."""
        ours = UNASKED * shares * limit / doors
        return doors * max(most_units, ours + SPREAD * ours**0.5)

    beat = recovery.beat / SECOND if recovery else float("inf")
    call = count_timeout / SECOND
    replaced_after = beat + 2 * call if recovery else float("inf")
    split_after = (recovery.window + 1) * beat + 2 * call if recovery else float("inf")
    # A req adds its units before it looks, so reqs that cross deny each other; one may be sent in one bucket and
    # counted in the next.
    crossing = limit + most_units
    # A told total is the last word in a bucket: what a wrong one lets through ends when it is noticed, or with the
    # bucket, where the limit on that counter is full again.
    extra = min(limit, passes(min(replaced_after, length)))
    apart = (halves - 1) * min(limit, passes(min(split_after, length)))
    on = crossing if recovery else halves * crossing
    return Bounds(
        plan["name"],
        length,
        limit,
        crossing,
        min(unheard, without_answer(1.0)),
        # A gatekeeper takes no less than 1/doors for its share, and shares learned of one stream sum to one.
        min(unheard, without_answer(2.0 if doors > 1 else 1.0)),
        min(unheard, without_answer(doors)),
        min(whole, crossing + extra),
        min(whole, crossing + apart),
        min(whole, on),
        (replaced_after, split_after),
    )
