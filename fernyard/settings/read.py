"""The operators' settings, from their words into ours."""

import json
import math

from .. import interface as i
from ..errors import FernyardError

REPEATS = {"free": i.Repeat.REPLAYABLE, "guarded": i.Repeat.UNIQUED, "single_shot": i.Repeat.NON_REPLAYABLE}


class BadSettings(FernyardError, ValueError):
    """What was told cannot be used: settings, a configuration, the operator's file."""


def tenths(ms):
    return int(math.floor(ms * 10 + 1e-6))


def read_settings(told):
    """The settings the decisions read, from JSON text or an object; every other key is passed over."""
    try:
        told = told if isinstance(told, dict) else json.loads(told)
        allowed, extra, rules = told["allowed"], told.get("extra", {}), told["rules"]
        return i.Settings(
            frontends=tuple(
                i.Frontend(
                    target=tenths(c["aimMs"]),
                    timeout=tenths(c["hardLimitMs"]),
                    repeat=REPEATS[c["semantics"]],
                    group=i.Group(c.get("keyScope", "cell")),
                    window=tenths(c.get("repeatWindowMs", 0)),
                )
                for c in told["classes"]
            ),
            plans=tuple(
                i.Plan(
                    rate=p.get("refill", 0),
                    burst=p.get("burst", 0),
                    open=p.get("open", 0),
                    ceiling_rate=p.get("ceilingRate", 0),
                    ceiling_depth=p.get("capDepth", 0),
                    ceiling_slack=p.get("ceilingSlack", 0),
                )
                for p in told.get("tariffs", ())
            ),
            gatekeepers=max(1, told.get("balancers", 1)),
            zone=told.get("zone", 0),
            must_follow=told.get("membershipMode") == "subscribe",
            max_dispatches=allowed.get("mostTries", 1),
            may_count=extra.get("mayCount", False),
            count_timeout=tenths(extra.get("counterTimeoutMs", 0)),
            settles=extra.get("postPaid", False),
            longest_return=tenths(allowed.get("maxRetryAfterMs", 0)) if allowed.get("retryAfter") else 0,
            cold_share=rules["coldShare"],
            fall_multiple=rules["fallMultiple"],
            warm_up=tenths(rules["warmUpMs"]),
            most_units=extra.get("maxUnits") or 1,
            handshake=max(0.0, told.get("prices", {}).get("handshake", 0.0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as why:
        raise BadSettings(f"the settings cannot be read: {type(why).__name__}: {why}") from None
