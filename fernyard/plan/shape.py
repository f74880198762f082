"""What both levels know of a name: the length of its bucket and its limit, by plan, as the decisions have them. Free
of I/O."""

from ..estimate import LIMIT_BURSTS, LONGEST_KEEP, bucket_length
from .forwarder import ForwarderSettings
from .planner import PlannerSettings

WAITS = 0.7  # of the forwarders' wait, for a planner's own wait on the counter: its answer comes in time


def shapes_of(settings):
    """(plan, by dispatches out) -> (length in tenths of a millisecond, limit in units), from the settings the decisions
    read; the same as their tallies (a test holds the two together)."""
    shapes = {}
    for number, plan in enumerate(settings.plans):
        if plan.rate:
            shapes[number, 0] = bucket_length(plan.rate, plan.burst), LIMIT_BURSTS * plan.burst
        if plan.open:
            length = min(LONGEST_KEEP // 3, 2 * max(f.timeout for f in settings.frontends))
            shapes[number, 1] = length, float(plan.open)
    return shapes


def planner_settings(settings, incarnation, lease):
    """`incarnation`: a number no other start of a planner has; `lease` in tenths of a millisecond."""
    return PlannerSettings(shapes_of(settings), incarnation, lease, int(WAITS * settings.count_timeout))


def forwarder_settings(settings, name, planners, forwarders, fallback, lease):
    """`planners`: their addresses; `fallback`: the part of a limit that all `forwarders` together may pass without a
    planner's word."""
    return ForwarderSettings(
        name, shapes_of(settings), tuple(planners), forwarders, fallback, lease, max(200, settings.count_timeout)
    )


def slack(limit, fallback):
    """Units in one bucket, over all forwarders, that can pass beyond the limit: what forwarders pass while a planner is
    silent, and nothing else (docs/planners.md)."""
    return fallback * limit
