"""Failover between zones decided in common (docs/zones.md): `adviser.py` is what planners make of what gatekeepers report,
`filter.py` what a gatekeeper reports and which workers it shows its decisions. Both are free of I/O."""

from .adviser import ZonesAdviser
from .filter import Visible, ZoneFilter

__all__ = ["Visible", "ZoneFilter", "ZonesAdviser"]
