"""The calls of workers, clients' look-ups and operators, in one table (PROTOCOL.md)."""

import attrs


@attrs.frozen
class Call:
    """`path` ends with a slash where a last part follows; `serves`: the bind that it comes to; `handler`: a method of `Api`; `body`: bytes at most."""

    method: str
    path: str
    serves: str
    handler: str
    body: int = 0


CALLS = (
    Call("PUT", "/-/config", "control", "put_config", 1 << 26),
    Call("GET", "/-/config", "control", "get_config"),
    Call("POST", "/-/evacuate/", "control", "evacuate"),
    Call("DELETE", "/-/evacuate/", "control", "take_back"),
    Call("GET", "/-/status", "control", "status"),
    Call("GET", "/-/resolve", "dir", "resolve"),
    Call("POST", "/internal/body", "internal", "store_body", 1 << 26),
    Call("GET", "/internal/body", "internal", "body"),
    Call("GET", "/internal/configuration", "internal", "gateway_configuration"),
    Call("GET", "/internal/registry", "internal", "gateway_registry"),
)


def find(method, path, serves, calls=CALLS):
    """(Call, last part of the path) or None; a path known with other methods gives (None, '')."""
    known = False
    for call in calls:
        exact = path == call.path
        below = call.path.endswith("/") and path.startswith(call.path) and len(path) > len(call.path)
        if call.serves == serves and (exact and not call.path.endswith("/") or below):
            known = True
            if call.method == method:
                return call, path[len(call.path) :]
    return (None, "") if known else None
