"""What the decisions need of a req, taken out of it; the rest stays as it came."""

import re
from urllib.parse import unquote

from ..interface import Repeat

CUSTOMER = re.compile(r"[0-9A-Fa-f]{16}")
NUMBER, WHOLE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?"), re.compile(r"[0-9]{1,9}")
MOST_CUSTOMER = 1 << 33
ID, PLAN, LEFT, KEY, QUOTA = "X-Correlation-Id", "Plan", "X-Time-Left", "Idempotency-Key", "Quota-Info"
ONCE = (ID, PLAN, LEFT, KEY, QUOTA, "Content-Length", "Transfer-Encoding", "Host")
# Of one connection or of ours alone: these go on neither way, all others do.
OWN = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"expect",
        b"x-time-left",
        b"x-backend-load",
        b"x-unprocessed",
        b"date",
        b"server",
    )
)


class Malformed(Exception):
    """No req of ours: answered with `status`, never passed on and never denied."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class BadFigure(ValueError):
    """A header that holds no such number; its req is malformed."""


class Reader:
    def __init__(self, config, routes=None, unmatched=None):
        """`routes`: a `RouteTable` in place of the protocol's own paths; `unmatched`: (frontend, units) of a req that it
        does not know, else such a req is refused."""
        self.routes, self.unmatched = routes, unmatched
        self.frontends, self.plans = config.frontends, config.plans
        self.repeats = [frontend.repeat for frontend in config.settings.frontends]
        self.longest, self.body = config.limits.longest_wait, config.limits.body
        self.most_units, self.gatekeepers = config.limits.units, config.settings.gatekeepers

    def read(self, method, path, headers):
        """(frontend, plan, customer, tenths of a millisecond left, units, doors, path to a worker)"""
        self._framing(method, headers)
        if not path.startswith("/") or not path.isascii() or "#" in path:
            raise Malformed(400, "path")
        frontend, named, cost, path = self._route(method, path, headers)
        if not CUSTOMER.fullmatch(named) or (customer := int(named, 16)) >= MOST_CUSTOMER:
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
            units = _number(quota.get("units", "1")) if cost is None else cost
            doors, first = _whole(quota.get("spread", "1")), _whole(quota.get("first", "0"))
        except (ValueError, TypeError):
            raise Malformed(400, "figures") from None
        # Units out of range, in a usual customer's name, would stand in that customer's counts.
        if not 0 < units <= self.most_units or not 0 < doors <= self.gatekeepers or first >= self.gatekeepers:
            raise Malformed(400, "figures")
        return frontend, plan, customer, max(1, int(min(left, self.longest) * 10_000)), units, doors, path

    def _route(self, method, path, headers):
        """(frontend, the customer's name, units or None where the client tells them, path to a worker)"""
        if self.routes is not None:
            found = self.routes.find(method, path, headers)
            if not isinstance(found, tuple):
                return self.frontends[found.operation.frontend], found.customer or "", found.units, found.path
            if self.unmatched is None or found:
                # A path that is known with other methods is no req of another kind.
                raise Malformed(405 if found else 404, "route")
            return self.unmatched[0], path.partition("?")[0].rpartition("/")[2], self.unmatched[1], path
        parts = path.partition("?")[0].split("/")
        name = parts[1]
        frontend = self.frontends.get(unquote(name) if "%" in name else name)
        if frontend is None or len(parts) < 3:
            raise Malformed(404, "frontend")
        return frontend, parts[-1], None, path

    def _framing(self, method, headers):
        """One length, told in one way: else another req may hide in the body."""
        check_framing(headers, ONCE)
        length = int(headers.get("Content-Length", "0"))
        if method == "GET" and (length or "Transfer-Encoding" in headers):
            raise Malformed(400, "framing")
        if length > self.body:
            raise Malformed(413, "body")


def check_framing(headers, once):
    """The body has one length, told in one way, and each of the headers `once` stands there once at most: else two
    readers of the request could take it for different ones."""
    if any(len(headers.getall(name, ())) > 1 for name in once):
        raise Malformed(400, "told_twice")
    coded, length = headers.get("Transfer-Encoding"), headers.get("Content-Length", "0")
    if coded is not None and ("Content-Length" in headers or coded.lower() != "chunked"):
        raise Malformed(400, "framing")
    if not WHOLE.fullmatch(length):
        raise Malformed(400, "framing")


def passed_on(raw_headers):
    """What goes on, spelt as it came (the library's own mapping spells some names anew)."""
    return [
        (name.decode(), value.decode())
        for name, value in raw_headers
        if name.isascii() and value.isascii() and name.lower() not in OWN
    ]


def _clean(value):
    return value and value.isascii() and value.isprintable()


def _number(text):
    if not NUMBER.fullmatch(text):
        raise BadFigure(text)
    return float(text)


def _whole(text):
    if not WHOLE.fullmatch(text):
        raise BadFigure(text)
    return int(text)
