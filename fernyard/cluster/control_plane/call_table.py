"""The calls of operators, clients' look-ups, and other processes of the system, in one table (PROTOCOL.md)."""

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

import attrs

MAX_CONFIGURATION_BYTES = 1 << 26


class Bind(Enum):
    """The addresses that calls come to; `control` and `dir` are named so in the settings."""

    CONTROL = "control"
    DIRECTORY = "dir"
    INTERNAL = "internal"


@attrs.frozen
class Call:
    """`path` ends with a slash where a parameter follows; `handler`: a method of `Api`; `body`: bytes at most."""

    method: str
    path: str
    bind: Bind
    handler: str
    body: int = 0


CALLS = (
    Call("PUT", "/-/config", Bind.CONTROL, "put_configuration", MAX_CONFIGURATION_BYTES),
    Call("GET", "/-/config", Bind.CONTROL, "get_configuration"),
    Call("POST", "/-/evacuate/", Bind.CONTROL, "evacuate_zone"),
    Call("DELETE", "/-/evacuate/", Bind.CONTROL, "restore_zone"),
    Call("GET", "/-/status", Bind.CONTROL, "get_status"),
    Call("GET", "/-/resolve", Bind.DIRECTORY, "resolve"),
    Call("POST", "/internal/body", Bind.INTERNAL, "store_body", MAX_CONFIGURATION_BYTES),
    Call("GET", "/internal/body", Bind.INTERNAL, "get_body"),
    Call("GET", "/internal/configuration", Bind.INTERNAL, "get_gateway_configuration"),
    Call("GET", "/internal/registry", Bind.INTERNAL, "get_gateway_registry"),
)


class Match(NamedTuple):
    """`call`: None where the path is known with other methods only. `parameter`: what follows the path."""

    call: Call | None
    parameter: str = ""


def find(method: str, path: str, bind: Bind, calls: Sequence[Call] = CALLS) -> Match | None:
    """The call of a request; None where the path is unknown."""
    is_known = False
    for call in calls:
        if call.bind is not bind or not _matches(call, path):
            continue
        is_known = True
        if call.method == method:
            return Match(call, path[len(call.path) :])
    return Match(None) if is_known else None


def _matches(call: Call, path: str) -> bool:
    if call.path.endswith("/"):
        return path.startswith(call.path) and len(path) > len(call.path)
    return path == call.path
