"""The operator's configuration: read and checked with pyserde, and turned into the plan that gateways follow."""

import math

import msgspec
from serde import SerdeError, field, serde
from serde.json import from_json

from ..common.errors import ConfigurationError
from ..common.messages import Plan, Route, Service, Tenant
from .state import ConfigurationId

KINDS = ("idempotent", "mutating", "egress")


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
    """A configuration (bytes of JSON) as (ConfigurationId, Configuration), checked whole; ConfigurationError says what is wrong."""
    try:
        told = from_json(Configuration, _plain(body))
    except (SerdeError, ValueError, TypeError, RecursionError) as why:
        raise ConfigurationError(f"cannot be read whole: {str(why)[:200]}") from None
    if len(told.ver) != 8:
        raise ConfigurationError("ver is not of eight hexadecimal digits", told.ver)
    try:
        version = int(told.ver, 16)
    except ValueError:
        raise ConfigurationError("ver is not of eight hexadecimal digits", told.ver) from None
    known = {service.name for service in told.svcs}
    for vhost in told.vhosts:
        for path in vhost.paths:
            _check(path, known)
    return ConfigurationId.of(version, body), told


def _plain(body):
    """Text of JSON; msgspec refuses what is cut short or no JSON, whatever is lenient further on."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
        return body.decode()
    except (msgspec.MsgspecError, UnicodeDecodeError) as why:
        raise ConfigurationError(f"cannot be read whole: {str(why)[:200]}") from None


def _check(path, known):
    if not path.prefix.startswith("/"):
        raise ConfigurationError("prefix does not begin with a slash", path.name)
    if path.kind not in KINDS:
        raise ConfigurationError(f"kind is none of {', '.join(KINDS)}", path.name)
    if path.svc is None and not path.split:
        raise ConfigurationError("neither svc nor split", path.name)
    for share in path.split:
        if not math.isfinite(share.weight) or share.weight < 0:
            raise ConfigurationError("a weight is below 0", path.name)
    for named in ([path.svc] if path.svc is not None else []) + [share.svc for share in path.split]:
        if named not in known:
            raise ConfigurationError(f"names an unknown service {named}", path.name)


def plan_of(id, told):
    """What gateways need of a configuration; of routes under one prefix the last stands."""
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
