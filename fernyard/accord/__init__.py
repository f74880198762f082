"""Planners agree on one standing order, gatekeepers and forwarders follow it (docs/accord.md). `register.py`, `planner.py` and
`follower.py` decide, free of I/O; `store.py` keeps votes; `wire.py`, `node.py` and `client.py` carry messages."""

from .follower import Answered, Follow, Follower, FollowerSettings, Obey, Strange, Unheard
from .register import Order, Unfit

__all__ = ["Answered", "Follow", "Follower", "FollowerSettings", "Obey", "Order", "Strange", "Unfit", "Unheard"]
