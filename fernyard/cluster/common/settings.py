"""The settings file that FERNYARD_BOOT names (DEPLOY.md): unknown fields are passed over, known ones are checked."""

import os
import tomllib

import attrs

from .errors import SettingsError

KINDS = {"true": True, "false": False}


class BadField(ValueError):
    """What is wrong with a field; `parse` says which field."""


def _address(text):
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise BadField(f"no address: {text!r}")
    return host, int(port)


def _figure(text):
    if text in KINDS:
        return KINDS[text]
    return float(text)


@attrs.frozen
class Settings:
    """Addresses are (ip, port); times are seconds; `bounds` maps names to numbers or truth values."""

    node: str
    ip: str
    zone: str
    region: str
    ports: tuple
    seeds: tuple
    bootstrap: bool
    voting: bool
    zones: dict
    binds: dict
    bounds: dict
    faults: dict
    data_dir: str
    memory_mb: float
    descriptors: int
    link_mbps: float
    cloud: tuple
    cloud_rate: float

    @property
    def internal(self):
        """Where the system's own processes reach this one, over UDP and TCP alike."""
        return self.ip, self.ports[0]

    def bound(self, name, default):
        return self.bounds.get(name, default)


def read(path=None):
    """The settings as checked; SettingsError says which field is wrong."""
    path = path or os.environ.get("FERNYARD_BOOT", "")
    if not path:
        raise SettingsError("FERNYARD_BOOT is not set")
    try:
        with open(path, "rb") as file:
            told = tomllib.load(file)
    except OSError as why:
        raise SettingsError(why.strerror or "cannot be read", path) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as why:
        raise SettingsError(str(why), path) from None
    return parse(told, path)


def parse(told, where="settings"):
    field = ""

    def take(name, kind, default=None):
        nonlocal field
        field = name
        value = told.get(name, default)
        if value is None:
            raise BadField("is missing")
        if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
            raise BadField(f"is not as it should be: {value!r}")
        return value

    try:
        ports = tuple(take("portRange", list))
        if len(ports) != 2 or not all(isinstance(port, int) for port in ports) or ports[0] > ports[1]:
            raise BadField("is no pair of ports")
        seeds = tuple(_address(text) for text in take("seedAddrs", list))
        binds = {name: _address(text) for name, text in take("binds", dict, {}).items()}
        bounds = {}
        for text in take("bounds", list, []):
            for part in str(text).split(","):
                name, _, value = part.partition("=")
                bounds[name.strip()] = _figure(value.strip())
        caps, cloud = take("caps", dict, {}), take("cloud", dict, {})
        field, cloud = (
            "cloud",
            (_address(cloud["addr"]) if "addr" in cloud else None, float(cloud.get("ratePerS", 10.0))),
        )
        return Settings(
            node=take("node", str),
            ip=take("ip", str),
            zone=take("zone", str),
            region=take("region", str),
            ports=ports,
            seeds=seeds,
            bootstrap=take("bootstrap", bool, False),
            voting=take("voting", bool, False),
            zones=take("zones", dict, {}),
            binds=binds,
            bounds=bounds,
            faults=take("faults", dict, {}),
            data_dir=take("dataDir", str, ""),
            memory_mb=float(caps.get("memMb", 256)),
            descriptors=int(caps.get("maxFds", 1024)),
            link_mbps=float(caps.get("linkMbps", 1000.0)),
            cloud=cloud[0],
            cloud_rate=cloud[1],
        )
    except (ValueError, TypeError) as why:
        raise SettingsError(f"{field} {why}", where) from None
