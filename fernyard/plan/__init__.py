"""Two levels: thin forwarders that spend leases of units, and a few planners that grant them on the shared counter.
`planner.py` and `forwarder.py` decide, free of I/O; `wire.py`, `server.py` and `client.py` carry what they say."""

from .forwarder import Forwarder, ForwarderSettings, Granted, Heard, Lost, Reach, Want
from .planner import Ask, Grant, Planner, PlannerSettings
from .shape import forwarder_settings, planner_settings, shapes_of, slack

__all__ = [
    "Ask",
    "Forwarder",
    "ForwarderSettings",
    "Grant",
    "Granted",
    "Heard",
    "Lost",
    "Planner",
    "PlannerSettings",
    "Reach",
    "Want",
    "forwarder_settings",
    "planner_settings",
    "shapes_of",
    "slack",
]
