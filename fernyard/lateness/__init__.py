"""The gatekeeper's own lateness, and which reqs are denied for it while that costs nothing. Free of I/O."""

from .model import Lag, Lateness, LatenessSettings, Offered

__all__ = ["Lag", "Lateness", "LatenessSettings", "Offered"]
