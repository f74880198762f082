"""From a req's method and path to the operation that it is, its units and its customer. Free of I/O.

Templates are matched a segment at a time; where a literal and a parameter both fit, the literal goes first, as OpenAPI
has it, and the parameter is tried where the literal leads nowhere. Segments are compared decoded; a segment holds no
slash, however it is spelt. Nothing is normalised: "//" and ".." are segments like others.
"""

from dataclasses import dataclass
from urllib.parse import parse_qsl, quote, unquote

from ..errors import FernyardError

MOST_SEGMENTS = 64  # of a req's path; more are no route
MOST_QUERY = 64  # fields of a query that are looked at; a req with more has the dearest variant


class TwiceMatched(FernyardError, ValueError):
    """A req could be either of two operations."""

    DO = "give one of the two another path, or leave it out"


@dataclass(frozen=True, slots=True)
class Variant:
    """A dearer form of an operation: query parameter `query` is there (`equals` None), or has that value."""

    query: str
    equals: str | None
    units: float


@dataclass(frozen=True, slots=True)
class Operation:
    """`template`: segments, parameters as ("name",); `units` of its plain form; `frontend` as the settings name it;
    `customer`: ("path" or "header" or "query", name); `worker_path`: the template of the path that goes to a worker, in
    the same form, None where it goes on as it came; `key`: for messages, "GET /libros/{isbn}"."""

    key: str
    method: str
    template: tuple
    frontend: str
    units: float
    customer: tuple[str, str]
    variants: tuple[Variant, ...] = ()
    worker_path: tuple | None = None

    def cost(self, query):
        """Units of a req with that query string: the dearest variant that fits, never less than the plain form."""
        if not self.variants:
            return self.units
        try:
            fields = parse_qsl(query, keep_blank_values=True, max_num_fields=MOST_QUERY)
        except ValueError:
            return max(self.units, *(variant.units for variant in self.variants))
        fit = [
            variant.units
            for variant in self.variants
            for name, value in fields
            if name == variant.query and variant.equals in (None, value)
        ]
        return max([self.units, *fit])


@dataclass(frozen=True, slots=True)
class Found:
    """`customer`: as the req spells it; `path`: what goes to the worker (the req's own where it is not rewritten)."""

    operation: Operation
    units: float
    customer: str | None
    path: str


class Node:
    __slots__ = ("literals", "parameter", "operations")

    def __init__(self):
        self.literals, self.parameter, self.operations = {}, None, {}


class RouteTable:
    """`operations` in any order. TwiceMatched: two have the same method and the same template but for names."""

    def __init__(self, operations):
        self.root, self.operations = Node(), tuple(operations)
        for operation in self.operations:
            node = self.root
            for segment in operation.template:
                if isinstance(segment, tuple):
                    node.parameter = node.parameter or Node()
                    node = node.parameter
                else:
                    node = node.literals.setdefault(segment, Node())
            if operation.method in node.operations:
                other = node.operations[operation.method]
                raise TwiceMatched(f"{operation.key} and {other.key} match the same paths")
            node.operations[operation.method] = operation

    def find(self, method, target, headers=None):
        """What a req is: `Found`, or the methods its path knows (perhaps none) where it is no operation. `target`: the
        path and query as they came; `headers`: a mapping, for customers named there."""
        path, _, query = target.partition("?")
        if not path.startswith("/"):
            return ()
        raw = path[1:].split("/")
        if len(raw) > MOST_SEGMENTS:
            return ()
        segments = [unquote(segment) if "%" in segment else segment for segment in raw]
        known = {}
        node = self._walk(self.root, segments, 0, method, known)
        if node is None:
            return tuple(sorted(known))
        operation = node.operations[method]
        values = {
            segment[0]: segments[at] for at, segment in enumerate(operation.template) if isinstance(segment, tuple)
        }
        place, name = operation.customer
        if place == "path":
            customer = values[name]
        elif place == "header":
            customer = (headers or {}).get(name)
        else:
            told = [value for key, value in parse_qsl(query, keep_blank_values=True) if key == name]
            customer = told[0] if len(told) == 1 else None
        to_worker = target
        if operation.worker_path is not None:
            to_worker = "".join(
                "/" + quote(values[s[0]] if isinstance(s, tuple) else s, safe="") for s in operation.worker_path
            ) + (f"?{query}" if "?" in target else "")
        return Found(operation, operation.cost(query), customer, to_worker)

    def _walk(self, node, segments, at, method, known):
        if at == len(segments):
            known.update(dict.fromkeys(node.operations))
            return node if method in node.operations else None
        segment = segments[at]
        child = node.literals.get(segment)
        found = self._walk(child, segments, at + 1, method, known) if child is not None else None
        if found is None and node.parameter is not None and segment:
            found = self._walk(node.parameter, segments, at + 1, method, known)
        return found
