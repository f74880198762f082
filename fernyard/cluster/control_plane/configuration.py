"""The operator's configuration: read and checked with pyserde, and turned into the plan that gateways follow.

What `read` takes, every gateway can read: its types are those of the classes below, and its plan comes through the gateways' decoder
unchanged. The fields of the classes below are those of the operators' pages (PROTOCOL); times are seconds.
"""

import re
from typing import Any

import msgspec
from serde import SerdeError, disabled, field, from_dict, serde

from ..common.errors import ConfigurationError
from ..common.messages import (
    ConfigurationUpdate,
    Plan,
    Route,
    Service,
    Tenant,
    decode_configuration_update,
    encode,
)
from .state import ConfigurationId
from .strict_types import find_mismatch

KINDS = ("idempotent", "mutating", "egress")
VERSION = re.compile("[0-9a-fA-F]{8}")
MAX_NUMBER = 2.0**53  # of all numbers: whole ones are exact up to here, in JSON as in a double


@serde(rename_all="camelcase", type_check=disabled)  # `strict_types` checks
class Svc:
    """A service. `cold_s`, `cold_rate_s`: its workers' slow start."""

    name: str
    health_path: str = "/healthz"
    max_conns: int = 100
    cold_s: float = 0.0
    cold_rate_s: float = 0.0


@serde(rename_all="camelcase", type_check=disabled)
class Caps:
    """Bounds on what a client may send, in bytes, and on how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@serde(rename_all="camelcase", type_check=disabled)
class Account:
    """A tenant, its keys and its quota."""

    name: str
    apikeys: list[str] = field(default_factory=list)
    prio: int | None = None
    rate_per_s: float = 0.0
    burst_max: float = 0.0
    home_regions: list[str] = field(default_factory=list)


@serde(rename_all="camelcase", type_check=disabled)
class Share:
    """The weight of one service in the split of a route."""

    svc: str
    weight: float


@serde(rename_all="camelcase", type_check=disabled)
class Path:
    """A route of a host: `timeout_s` for an answer, `target_s` the latency target."""

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


@serde(rename_all="camelcase", type_check=disabled)
class Vhost:
    """A host and its routes."""

    host: str
    paths: list[Path] = field(default_factory=list)


@serde(rename_all="camelcase", type_check=disabled)
class Configuration:
    """One configuration, complete."""

    ver: str
    svcs: list[Svc]
    vhosts: list[Vhost]
    caps: Caps = field(default_factory=Caps)
    accounts: list[Account] | None = None


def read(body: bytes) -> tuple[ConfigurationId, Configuration]:
    """A configuration as an operator sends it (JSON), checked completely; the verdict on the same bytes is always the same.

    Raises ConfigurationError, which says what is wrong with it.
    """
    value = _decode(body)
    mismatch = find_mismatch(value, Configuration)
    if mismatch is not None:
        raise ConfigurationError(f"not {mismatch.expected}", mismatch.where or "the whole")
    id, configuration = _parse(body, value)
    _check_services(configuration.svcs)
    _check_caps(configuration.caps)
    _check_accounts(configuration.accounts or [])
    _check_routes(configuration.vhosts, {service.name for service in configuration.svcs})
    check_plan(plan_of(id, configuration))
    return id, configuration


def parse(body: bytes) -> tuple[ConfigurationId, Configuration]:
    """The same without the checks, for a body that was acknowledged before: it stays in force, also where an earlier
    build of this program checked less."""
    return _parse(body, _decode(body))


def check_plan(plan: Plan) -> None:
    """Raises ConfigurationError for a plan that a gateway would not read as it is."""
    update = ConfigurationUpdate(0, plan, [])
    try:
        if decode_configuration_update(encode(update)) == update:
            return
        complaint = "gateways would read it differently"
    except (msgspec.MsgspecError, ValueError, TypeError, OverflowError) as error:
        complaint = f"gateways could not read it: {str(error)[:200]}"
    raise ConfigurationError(complaint)


def _decode(body: bytes) -> Any:
    """The value of JSON bytes. Raises ConfigurationError for what is cut short or no JSON."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _unreadable(error) from error


def _parse(body: bytes, value: Any) -> tuple[ConfigurationId, Configuration]:
    try:
        configuration = from_dict(Configuration, value)
        is_numbered = VERSION.fullmatch(configuration.ver) is not None
    except (SerdeError, ValueError, TypeError, AttributeError, LookupError, RecursionError) as error:
        raise _unreadable(error) from error
    if not is_numbered:
        raise ConfigurationError("ver is not of eight hexadecimal digits", configuration.ver)
    return ConfigurationId.of(int(configuration.ver, 16), body), configuration


def _unreadable(error: Exception) -> ConfigurationError:
    return ConfigurationError(f"cannot be read whole: {str(error)[:200]}")


def _require(holds: bool, complaint: str, where: str) -> None:
    if not holds:
        raise ConfigurationError(complaint, where)


def _require_above_zero(field_name: str, value: float, where: str) -> None:
    _require(0 < value <= MAX_NUMBER, f"{field_name} is not above 0 and finite", where)


def _require_zero_or_more(field_name: str, value: float, where: str) -> None:
    _require(0 <= value <= MAX_NUMBER, f"{field_name} is below 0 or not finite", where)


def _check_services(services: list[Svc]) -> None:
    names: set[str] = set()
    for service in services:
        _require(service.name not in names, "two services have this name", service.name)
        names.add(service.name)
        _require_above_zero("maxConns", service.max_conns, service.name)
        _require_zero_or_more("coldS", service.cold_s, service.name)
        _require_zero_or_more("coldRateS", service.cold_rate_s, service.name)


def _check_caps(caps: Caps) -> None:
    _require_above_zero("headerBytes", caps.header_bytes, "caps")
    _require_zero_or_more("bodyBytes", caps.body_bytes, "caps")
    _require_above_zero("headerTimeoutS", caps.header_timeout_s, "caps")
    _require_above_zero("idleTimeoutS", caps.idle_timeout_s, "caps")


def _check_accounts(accounts: list[Account]) -> None:
    names: set[str] = set()
    owners: dict[str, str] = {}
    for account in accounts:
        _require(account.name not in names, "two accounts have this name", account.name)
        names.add(account.name)
        _require_zero_or_more("ratePerS", account.rate_per_s, account.name)
        _require_zero_or_more("burstMax", account.burst_max, account.name)
        if account.prio is not None:
            _require_zero_or_more("prio", account.prio, account.name)
        for key in account.apikeys:
            _require(key != "", "a key is empty", account.name)
            # The key itself is a secret: the complaint names its two owners.
            owner = owners.setdefault(key, account.name)
            _require(owner == account.name, f"one of its keys is also a key of {owner}", account.name)


def _check_routes(vhosts: list[Vhost], services: set[str]) -> None:
    seen: set[tuple[str, str]] = set()
    for vhost in vhosts:
        for path in vhost.paths:
            host_and_prefix = (vhost.host.lower(), path.prefix)
            _require(host_and_prefix not in seen, f"another route has the host and prefix {path.prefix}", path.name)
            seen.add(host_and_prefix)
            _check_route(path, services)


def _check_route(path: Path, services: set[str]) -> None:
    _require(path.prefix.startswith("/"), "prefix does not begin with a slash", path.name)
    _require(path.kind in KINDS, f"kind is none of {', '.join(KINDS)}", path.name)
    _require_above_zero("timeoutS", path.timeout_s, path.name)
    _require_above_zero("targetS", path.target_s, path.name)
    _require_above_zero("tries", path.tries, path.name)
    _require_zero_or_more("prio", path.prio, path.name)
    _require(path.svc is not None or bool(path.split), "neither svc nor split", path.name)
    if path.split:
        _check_weights([share.weight for share in path.split], path.name)
    for named in ([path.svc] if path.svc is not None else []) + [share.svc for share in path.split]:
        _require(named in services, f"names an unknown service {named}", path.name)


def _check_weights(weights: list[float], where: str) -> None:
    for weight in weights:
        _require(0 <= weight <= MAX_NUMBER, "a weight is below 0 or not finite", where)
    _require(sum(weights) > 0, "all weights are 0", where)


def plan_of(id: ConfigurationId, configuration: Configuration) -> Plan:
    """What gateways need of a configuration."""
    accounts = configuration.accounts or []
    hosts: dict[str, list[Route]] = {}
    for vhost in configuration.vhosts:
        hosts.setdefault(vhost.host.lower(), []).extend(_route(path) for path in vhost.paths)
    return Plan(
        id=str(id),
        services=[Service(svc.name, svc.cold_s, svc.cold_rate_s, svc.max_conns) for svc in configuration.svcs],
        hosts=hosts,
        tenants=[Tenant(a.name, a.prio, a.rate_per_s, a.burst_max, a.home_regions) for a in accounts],
        keys={key: index for index, account in enumerate(accounts) for key in account.apikeys},
        keyed=configuration.accounts is not None,
        header_bytes=configuration.caps.header_bytes,
        body_bytes=configuration.caps.body_bytes,
        header_timeout=configuration.caps.header_timeout_s,
        idle_timeout=configuration.caps.idle_timeout_s,
    )


def _route(path: Path) -> Route:
    return Route(
        name=path.name,
        prefix=path.prefix,
        kind=path.kind,
        timeout=path.timeout_s,
        target=path.target_s,
        prio=path.prio,
        split=[(share.svc, share.weight) for share in path.split] or [(path.svc or "", 1.0)],
        tries=max(1, path.tries),
        public=path.public,
        homes=path.home_regions,
    )
