"""The operator's configuration: read and checked with pyserde, and turned into the plan that gateways follow."""

import re

import msgspec
from serde import SerdeError, field, serde
from serde.json import from_json

from ..common.errors import ConfigurationError
from ..common.messages import Plan, Route, Service, Tenant
from .state import ConfigurationId

KINDS = ("idempotent", "mutating", "egress")
VERSION = re.compile("[0-9a-fA-F]{8}")
LARGEST = 2.0**53  # of all numbers: whole ones are exact up to here, in JSON as in a double


@serde(rename_all="camelcase")
class Svc:
    name: str
    health_path: str = "/healthz"
    max_conns: int = 100
    cold_s: float = 0.0
    cold_rate_s: float = 0.0


@serde(rename_all="camelcase")
class Caps:
    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@serde(rename_all="camelcase")
class Account:
    name: str
    apikeys: list[str] = field(default_factory=list)
    prio: int | None = None
    rate_per_s: float = 0.0
    burst_max: float = 0.0
    home_regions: list[str] = field(default_factory=list)


@serde(rename_all="camelcase")
class Share:
    svc: str
    weight: float


@serde(rename_all="camelcase")
class Path:
    name: str
    prefix: str
    kind: str
    timeout_s: float = 30.0
    target_s: float = 1.0
    prio: int = 1
    svc: str | None = None
    split: list[Share] = field(default_factory=list)
    tries: int = 1
    public: bool = False
    home_regions: list[str] = field(default_factory=list)


@serde(rename_all="camelcase")
class Vhost:
    host: str
    paths: list[Path] = field(default_factory=list)


@serde(rename_all="camelcase")
class Configuration:
    ver: str
    svcs: list[Svc]
    vhosts: list[Vhost]
    caps: Caps = field(default_factory=Caps)
    accounts: list[Account] | None = None


def read(body):
    """An order of the operator (bytes of JSON) as (ConfigurationId, Configuration), checked whole; ConfigurationError says
    what is wrong with it."""
    id, told = parse(body)
    _check_services(told.svcs)
    _check_caps(told.caps)
    _check_accounts(told.accounts or [])
    _check_routes(told.vhosts, {service.name for service in told.svcs})
    return id, told


def parse(body):
    """The same without the checks, for a body that was acknowledged before: it stays in force, also where an earlier
    build of this program checked less."""
    try:
        told = from_json(Configuration, _plain(body))
    except (SerdeError, ValueError, TypeError, RecursionError, OverflowError) as why:
        raise ConfigurationError(f"cannot be read whole: {str(why)[:200]}") from None
    if VERSION.fullmatch(told.ver) is None:
        raise ConfigurationError("ver is not of eight hexadecimal digits", told.ver)
    return ConfigurationId.of(int(told.ver, 16), body), told


def _plain(body):
    """Text of JSON; msgspec refuses what is cut short or no JSON, whatever is lenient further on."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
        return body.decode()
    except (msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise ConfigurationError(f"cannot be read whole: {str(why)[:200]}") from None


def _require(holds, complaint, where):
    if not holds:
        raise ConfigurationError(complaint, where)


def _require_above_zero(field_name, value, where):
    _require(0 < value <= LARGEST, f"{field_name} is not above 0 and finite", where)


def _require_zero_or_more(field_name, value, where):
    _require(0 <= value <= LARGEST, f"{field_name} is below 0 or not finite", where)


def _check_services(services):
    names = set()
    for service in services:
        _require(service.name not in names, "two services have this name", service.name)
        names.add(service.name)
        _require_above_zero("maxConns", service.max_conns, service.name)
        _require_zero_or_more("coldS", service.cold_s, service.name)
        _require_zero_or_more("coldRateS", service.cold_rate_s, service.name)


def _check_caps(caps):
    _require_above_zero("headerBytes", caps.header_bytes, "caps")
    _require_zero_or_more("bodyBytes", caps.body_bytes, "caps")
    _require_above_zero("headerTimeoutS", caps.header_timeout_s, "caps")
    _require_above_zero("idleTimeoutS", caps.idle_timeout_s, "caps")


def _check_accounts(accounts):
    names, owners = set(), {}
    for account in accounts:
        _require(account.name not in names, "two accounts have this name", account.name)
        names.add(account.name)
        _require_zero_or_more("ratePerS", account.rate_per_s, account.name)
        _require_zero_or_more("burstMax", account.burst_max, account.name)
        if account.prio is not None:
            _require_zero_or_more("prio", account.prio, account.name)
        for key in account.apikeys:
            _require(key != "", "a key is empty", account.name)
            # The key itself is a secret: the complaint names its two holders.
            owner = owners.setdefault(key, account.name)
            _require(owner == account.name, f"one of its keys is also a key of {owner}", account.name)


def _check_routes(vhosts, known):
    places = set()
    for vhost in vhosts:
        for path in vhost.paths:
            place = (vhost.host.lower(), path.prefix)
            _require(place not in places, f"another route has the host and prefix {path.prefix}", path.name)
            places.add(place)
            _check_route(path, known)


def _check_route(path, known):
    _require(path.prefix.startswith("/"), "prefix does not begin with a slash", path.name)
    _require(path.kind in KINDS, f"kind is none of {', '.join(KINDS)}", path.name)
    _require_above_zero("timeoutS", path.timeout_s, path.name)
    _require_above_zero("targetS", path.target_s, path.name)
    _require_above_zero("tries", path.tries, path.name)
    _require_zero_or_more("prio", path.prio, path.name)
    _require(path.svc is not None or path.split, "neither svc nor split", path.name)
    if path.split:
        _check_weights([share.weight for share in path.split], path.name)
    for named in ([path.svc] if path.svc is not None else []) + [share.svc for share in path.split]:
        _require(named in known, f"names an unknown service {named}", path.name)


def _check_weights(weights, where):
    for weight in weights:
        _require(0 <= weight <= LARGEST, "a weight is below 0 or not finite", where)
    _require(sum(weights) > 0, "all weights are 0", where)


def plan_of(id, told):
    """What gateways need of a configuration; of routes in one place the last stands."""
    accounts = told.accounts or []
    hosts = {}
    for vhost in told.vhosts:
        routes = hosts.setdefault(vhost.host.lower(), [])
        for path in vhost.paths:
            split = [(share.svc, share.weight) for share in path.split] or [(path.svc, 1.0)]
            routes.append(
                Route(
                    path.name,
                    path.prefix,
                    path.kind,
                    path.timeout_s,
                    path.target_s,
                    path.prio,
                    split,
                    max(1, path.tries),
                    path.public,
                    path.home_regions,
                )
            )
    return Plan(
        id=str(id),
        services=[Service(s.name, s.cold_s, s.cold_rate_s, s.max_conns) for s in told.svcs],
        hosts=hosts,
        tenants=[Tenant(a.name, a.prio, a.rate_per_s, a.burst_max, a.home_regions) for a in accounts],
        keys={key: number for number, account in enumerate(accounts) for key in account.apikeys},
        keyed=told.accounts is not None,
        header_bytes=told.caps.header_bytes,
        body_bytes=told.caps.body_bytes,
        header_timeout=told.caps.header_timeout_s,
        idle_timeout=told.caps.idle_timeout_s,
    )
