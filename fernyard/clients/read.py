"""What the decisions need of a req, taken out of it; the rest stays as it came."""

import math
import re
from urllib.parse import unquote

from ..interface import Repeat

CUSTOMER = re.compile(r"[0-9A-Fa-f]{16}")
MOST_CUSTOMER = 1 << 33
ID, PLAN, LEFT, KEY, QUOTA = "X-Correlation-Id", "Plan", "X-Time-Left", "Idempotency-Key", "Quota-Info"
# Of one connection or of ours alone: these go on neither way, all others do.
OWN = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"host", b"content-length", b"expect", b"x-time-left",
    b"x-backend-load", b"x-unprocessed", b"date", b"server"))


class Malformed(Exception):
    """No req of ours: answered with `status`, never passed on and never denied."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Reader:
    def __init__(self, config):
        self.frontends, self.plans = config.frontends, config.plans
        self.repeats = [frontend.repeat for frontend in config.settings.frontends]
        self.longest = config.limits.longest_wait

    def read(self, method, path, headers):
        """(frontend, plan, customer, tenths of a millisecond left, units, doors)"""
        if not path.startswith("/") or not path.isascii() or "#" in path:
            raise Malformed(400, "path")
        parts = path.partition("?")[0].split("/")
        name = parts[1]
        frontend = self.frontends.get(unquote(name) if "%" in name else name)
        if frontend is None or len(parts) < 3:
            raise Malformed(404, "frontend")
        if not CUSTOMER.fullmatch(parts[-1]) or (customer := int(parts[-1], 16)) >= MOST_CUSTOMER:
            raise Malformed(400, "customer")
        repeat = self.repeats[frontend]
        if method != ("GET" if repeat is Repeat.REPLAYABLE else "POST"):
            raise Malformed(400, "method")
        if not _clean(headers.get(ID)):
            raise Malformed(400, "id")
        key = headers.get(KEY)
        if (key is None and repeat is Repeat.UNIQUED) or (key is not None and not _clean(key)):
            raise Malformed(400, "key")
        plan = self.plans.get(headers.get(PLAN))
        if plan is None:
            raise Malformed(400, "plan")
        try:
            left = _number(headers.get(LEFT))
            quota = dict(part.strip().split("=", 1) for part in headers.get(QUOTA, "").split(",") if part)
            units, doors = _number(quota.get("units", "1")), int(quota.get("spread", "1"))
        except (ValueError, TypeError):
            raise Malformed(400, "figures") from None
        if units < 0 or units > 1e9 or not 0 < doors < 1 << 16:
            raise Malformed(400, "figures")
        return frontend, plan, customer, max(1, int(min(left, self.longest) * 10_000)), units, doors


def passed_on(raw_headers):
    """What goes on, spelt as it came (the library's own mapping spells some names anew)."""
    return [(name.decode(), value.decode()) for name, value in raw_headers
            if name.isascii() and value.isascii() and name.lower() not in OWN]


def _clean(value):
    return value and value.isascii() and value.isprintable()


def _number(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value
