"""What a Eureka registry says, JSON or XML, read strictly into plain values. Free of I/O.

From its public REST description: `applications` holds `apps__hashcode` ("DOWN_1_UP_2_": how many instances have which
status) and `application`s of `instance`s; in JSON one element may stand in place of a list of one. A delta's instances
carry an `actionType`. Entries that cannot be read spoil the whole answer: half a list is not a list.
"""

import json
import math
from dataclasses import dataclass

from defusedxml import ElementTree
from defusedxml.common import DefusedXmlException

from ...errors import FernyardError

STATUSES = ("UP", "DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN")
ACTIONS = ("ADDED", "MODIFIED", "DELETED")
MOST_INSTANCES = 20_000


class BadListing(FernyardError, ValueError):
    """Bytes that are no answer of a registry."""


@dataclass(frozen=True, slots=True)
class Instance:
    """`stamp`: when the registry or the instance last changed it, Unix milliseconds (0: not told); `started`: when it
    came up, likewise; `zone` and `cell` as its metadata or data centre has them (None: not told)."""

    app: str
    id: str
    address: str
    status: str
    zone: str | None = None
    cell: int = 0
    started: int = 0
    stamp: int = 0
    action: str = "ADDED"
    reported: str = ""  # its own status where an override holds another: the registry's hashcode counts these

    @property
    def key(self):
        return f"{self.app}/{self.id}"


@dataclass(frozen=True, slots=True)
class Listing:
    hashcode: str
    instances: tuple[Instance, ...]


def hashcode(statuses):
    """A registry's own: each status there is, in order, with how many instances have it."""
    counts = {}
    for status in statuses:
        counts[status] = counts.get(status, 0) + 1
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))


def read_listing(data, kind, zone_key="zone", cell_key="cell"):
    """A `Listing` from the body of `/apps` or `/apps/delta`; `kind`: its content type. `zone_key`, `cell_key`: where in
    an instance's metadata they stand."""
    try:
        told = _from_xml(data) if "xml" in kind else json.loads(data)
        top = told["applications"]
        instances = []
        for app in _many(top.get("application")):
            for entry in _many(app.get("instance")):
                instances.append(_instance(app, entry, zone_key, cell_key))
                if len(instances) > MOST_INSTANCES:
                    raise BadListing(f"more than {MOST_INSTANCES} instances")
        return Listing(str(top.get("apps__hashcode") or ""), tuple(instances))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
        DefusedXmlException,
        ElementTree.ParseError,
    ) as why:
        raise BadListing(f"{type(why).__name__}: {' '.join(str(why).split())}") from None


def _many(value):
    """A list of one may come as the one."""
    if value is None or value == "":
        return ()
    return value if isinstance(value, list) else (value,)


def _instance(app, entry, zone_key, cell_key):
    name = _text(entry.get("app") or app.get("name")).upper()
    metadata = entry.get("metadata") or {}
    metadata = metadata if isinstance(metadata, dict) else {}
    centre = (entry.get("dataCenterInfo") or {}).get("metadata") or {}
    lease = entry.get("leaseInfo") or {}
    status = reported = _text(entry["status"])
    override = entry.get("overriddenstatus") or entry.get("overriddenStatus") or "UNKNOWN"
    # A registry that holds an override says so beside the instance's own status; the override is what counts.
    status = override if override in STATUSES and override != "UNKNOWN" else status
    if status not in STATUSES or reported not in STATUSES:
        raise BadListing(f"status {status!r}")
    action = entry.get("actionType") or "ADDED"
    if action not in ACTIONS:
        raise BadListing(f"actionType {action!r}")
    zone = metadata.get(zone_key) or (centre.get("availability-zone") if isinstance(centre, dict) else None)
    return Instance(
        name,
        _text(entry.get("instanceId") or entry.get("hostName")),
        _address(entry),
        status,
        str(zone) if zone else None,
        _whole(metadata.get(cell_key) or 0),
        _whole(lease.get("serviceUpTimestamp") or lease.get("registrationTimestamp") or 0),
        max(_whole(entry.get("lastUpdatedTimestamp") or 0), _whole(entry.get("lastDirtyTimestamp") or 0)),
        action,
        "" if reported == status else reported,
    )


def _address(entry):
    host = _text(entry.get("ipAddr") or entry.get("hostName"))
    port = entry.get("port")
    port = _whole(port["$"] if isinstance(port, dict) else port)
    if not 0 < port < 65536 or any(c in host for c in "/@?# \t\r\n"):
        raise BadListing(f"address {host!r}:{port}")
    return f"{host}:{port}"


def _text(value):
    if not isinstance(value, str) or not value or len(value) > 256 or not value.isprintable():
        raise BadListing(f"{value!r} is no name")
    return value


def _whole(value):
    number = float(value)
    if isinstance(value, bool) or not math.isfinite(number) or not 0 <= number < 1 << 53:
        raise BadListing(f"{value!r} is no number")
    return int(number)


def _from_xml(data):
    """The XML form as the JSON one has it."""
    root = ElementTree.fromstring(data)
    if root.tag != "applications":
        raise BadListing(f"<{root.tag}>")
    top = {"apps__hashcode": root.findtext("apps__hashcode"), "application": []}
    for app in root.findall("application"):
        top["application"].append(
            {"name": app.findtext("name"), "instance": [_element(instance) for instance in app.findall("instance")]}
        )
    return {"applications": top}


def _element(element, depth=0):
    if depth > 8:
        raise BadListing("nested too deep")
    return {child.tag: _element(child, depth + 1) if len(child) else (child.text or "") for child in element}
