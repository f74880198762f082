"""The settings file that FERNYARD_BOOT names (DEPLOY.md): unknown fields are ignored, known ones are checked."""

import os
import tomllib
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from .errors import SettingsError

Address = tuple[str, int]  # (ip, port)
Figure = float | bool
TRUTH_VALUES = {"true": True, "false": False}
T = TypeVar("T")


class InvalidFieldError(ValueError):
    """What is wrong with a field."""

    def __init__(self, field: str, complaint: str) -> None:
        super().__init__(f"{field} {complaint}")


@attrs.frozen
class Settings:
    """Addresses are (ip, port); times are seconds; `bounds` maps names to numbers or truth values.

    `ports`: the first and the last that the process may use; `zones`: {zone: region}; `binds`: {name: address to serve at};
    `cloud`: the platform, None where the file names none; `cloud_rate`: calls a second that it takes from all.
    """

    node: str
    ip: str
    zone: str
    region: str
    ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    voting: bool
    zones: dict[str, str]
    binds: dict[str, Address]
    bounds: dict[str, Figure]
    faults: dict[str, Any]
    data_dir: str
    memory_mb: float
    descriptors: int
    link_mbps: float
    cloud: Address | None
    cloud_rate: float

    @property
    def internal(self) -> Address:
        """Where the system's own processes reach this one, over UDP and TCP alike."""
        return self.ip, self.ports[0]

    def bound(self, name: str, default: Figure) -> Figure:
        """The figure of that name, or the default."""
        return self.bounds.get(name, default)


def read(path: str | None = None) -> Settings:
    """The settings as checked. Raises SettingsError, which says which field is wrong."""
    path = path or os.environ.get("FERNYARD_BOOT", "")
    if not path:
        raise SettingsError("FERNYARD_BOOT is not set")
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except OSError as error:
        raise SettingsError(error.strerror or "cannot be read", path) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), path) from error
    return parse(fields, path)


def parse(fields: Mapping[str, Any], where: str = "settings") -> Settings:
    """The settings of a file that was read; `where`: its path. Raises SettingsError."""
    try:
        return _parse(_Fields(fields))
    except InvalidFieldError as error:
        raise SettingsError(str(error), where) from error


def _parse(fields: "_Fields") -> Settings:
    caps, cloud = fields.section("caps"), fields.section("cloud")
    return Settings(
        ports=_port_range(fields.take("portRange", list)),
        seeds=tuple(_address("seedAddrs", text) for text in fields.take("seedAddrs", list)),
        binds={name: _address("binds", text) for name, text in fields.take("binds", dict, {}).items()},
        bounds=_bounds(fields.take("bounds", list, [])),
        cloud=_address("cloud", cloud.values["addr"]) if "addr" in cloud.values else None,
        cloud_rate=cloud.number("ratePerS", 10.0),
        node=fields.take("node", str),
        ip=fields.take("ip", str),
        zone=fields.take("zone", str),
        region=fields.take("region", str),
        bootstrap=fields.take("bootstrap", bool, False),
        voting=fields.take("voting", bool, False),
        zones=fields.take("zones", dict, {}),
        faults=fields.take("faults", dict, {}),
        data_dir=fields.take("dataDir", str, ""),
        memory_mb=caps.number("memMb", 256.0),
        descriptors=int(caps.number("maxFds", 1024.0)),
        link_mbps=caps.number("linkMbps", 1000.0),
    )


@attrs.frozen
class _Fields:
    """The fields of the file, or of one table in it (`name`)."""

    values: Mapping[str, Any]
    name: str = ""

    def take(self, field: str, kind: type[T], default: T | None = None) -> T:
        value = self.values.get(field, default)
        if value is None:
            raise InvalidFieldError(field, "is missing")
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise InvalidFieldError(field, f"is not as it should be: {value!r}")
        return value

    def section(self, field: str) -> "_Fields":
        return _Fields(self.take(field, dict, {}), field)

    def number(self, field: str, default: float) -> float:
        try:
            return float(self.values.get(field, default))
        except (TypeError, ValueError) as error:
            raise InvalidFieldError(self.name, str(error)) from error


def _address(field: str, text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise InvalidFieldError(field, f"no address: {text!r}")
    return host, int(port)


def _port_range(ports: list[Any]) -> tuple[int, int]:
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports) or ports[0] > ports[1]:
        raise InvalidFieldError("portRange", "is no pair of ports")
    return ports[0], ports[1]


def _bounds(texts: list[Any]) -> dict[str, Figure]:
    """Figures by name, from texts such as "ackS=8,strictRevoke=false"."""
    bounds: dict[str, Figure] = {}
    for text in texts:
        for assignment in str(text).split(","):
            name, _, value = assignment.partition("=")
            bounds[name.strip()] = _figure(value.strip())
    return bounds


def _figure(text: str) -> Figure:
    if text in TRUTH_VALUES:
        return TRUTH_VALUES[text]
    try:
        return float(text)
    except ValueError as error:
        raise InvalidFieldError("bounds", str(error)) from error
