"""Reads an OpenAPI 3.0 or 3.1 description into a `RouteTable`. Whatever is wrong with it is one `BadDescription` that
names the operation; nothing of it is used then.

The description itself is checked with openapi-spec-validator. On each operation, or on its path item for all of them,
stand the vendor extensions that a gatekeeper needs (docs/routes.md):

    x-fernyard-class: ficha          # one of the settings' classes: response target, client timeout, group
    x-fernyard-repeat: replayable    # what the class has to be; a slip between the two is an error
    x-fernyard-units: 1              # what a req takes of the quota; no default, so that none is cheap by mistake
    x-fernyard-variants: [{query: modo, equals: completa, units: 5}]
    x-fernyard-worker-path: /interno/fichas/{isbn}
    x-fernyard-customer: {in: path, name: cliente}     # or once at the top, for all

YAML is read without aliases, tags and repeated keys; sizes and depth are bounded, references stay in the file.
"""

import json
import math
import re
from pathlib import Path
from urllib.parse import unquote, urlsplit

import yaml

from ..errors import FernyardError
from ..interface import Repeat
from .table import Operation, RouteTable, Variant

LARGEST, DEEPEST, MOST_OPERATIONS, MOST_VARIANTS = 4 << 20, 64, 10_000, 64
METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
PARAMETER = re.compile(r"\{([^{}/]+)\}")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
X = "x-fernyard-"


class BadDescription(FernyardError, ValueError):
    """A description that cannot be used."""

    DO = "mend the description; the one read before stays in use, and at start none does"


class BadOperation(FernyardError, ValueError):
    """One operation, or one of its parts, that cannot be used; told as a `BadDescription` with its place."""


class Loader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """Safe, and stricter: of a key that stands twice, which cost holds? So it is an error."""

    def construct_mapping(self, node, deep=False):
        keys = {}
        for key, _ in node.value:
            name = self.construct_object(key, deep=True)
            if not isinstance(name, (str, int, float, bool)):
                raise yaml.YAMLError(f"line {key.start_mark.line + 1}: a key that is no text")
            if str(name) in keys:
                raise yaml.YAMLError(f"line {key.start_mark.line + 1}: {name!r} stands twice")
            keys[str(name)] = None
        return {str(key): value for key, value in super().construct_mapping(node, deep).items()}


# Dates and the like stay text: a description knows JSON's types alone.
Loader.yaml_implicit_resolvers = {
    first: [(tag, pattern) for tag, pattern in resolvers if not tag.endswith((":timestamp", ":merge"))]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def _once(pairs):
    told = dict(pairs)
    if len(told) < len(pairs):
        names = [name for name, _ in pairs]
        raise BadOperation(f"{next(n for n in names if names.count(n) > 1)!r} stands twice")
    return told


def _scanned(text):
    """Read as events first: aliases (a few lines can stand for millions of nodes) and depth are found before anything
    is built, which goes a call deeper for each level."""
    depth = 0
    for event in yaml.parse(text, Loader):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise yaml.YAMLError(f"line {line}: aliases are not read")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > DEEPEST:
                raise yaml.YAMLError(f"line {line}: nested deeper than {DEEPEST}")
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
    return text


def read_text(text, where="description"):
    """The document that JSON or YAML text holds: objects, lists and scalars, bounded in size and depth."""
    if len(text) > LARGEST:
        raise BadDescription(f"over {LARGEST} bytes", where)
    try:
        if text.lstrip()[:1] == "{":
            try:
                told = json.loads(text, object_pairs_hook=_once)
            except json.JSONDecodeError:
                told = yaml.load(_scanned(text), Loader)  # YAML may begin with a brace too
        else:
            told = yaml.load(_scanned(text), Loader)
    except yaml.MarkedYAMLError as why:
        line = why.problem_mark.line + 1 if why.problem_mark else "?"
        raise BadDescription(f"line {line}: {why.problem}", where) from None
    except (yaml.YAMLError, ValueError, TypeError) as why:
        raise BadDescription(f"{' '.join(str(why).split())}", where) from None
    except RecursionError:
        raise BadDescription("nested too deep", where) from None
    if not isinstance(told, dict):
        raise BadDescription("no object", where)
    _bounded(told, where)
    return told


def _bounded(told, where):
    """No deeper than `DEEPEST`, no number that is none, and no reference out of the file."""
    stack = [(told, 1)]
    while stack:
        value, depth = stack.pop()
        if depth > DEEPEST:
            raise BadDescription(f"nested deeper than {DEEPEST}", where)
        if isinstance(value, dict):
            to = value.get("$ref")
            if isinstance(to, str) and not to.startswith("#/"):
                raise BadDescription(f"$ref {to!r}: only references in the file are followed", where)
            stack += [(inner, depth + 1) for inner in value.values()]
        elif isinstance(value, list):
            stack += [(inner, depth + 1) for inner in value]
        elif isinstance(value, float) and not math.isfinite(value):
            raise BadDescription("a number that is none", where)


def load_description(path, frontends, repeats, most_units, text=None):
    """The table of the description at `path` (or of the `text` that stood there); arguments as `read_description`'s."""
    path = Path(path)
    if text is not None:
        return read_description(read_text(text, str(path)), frontends, repeats, most_units, str(path))
    try:
        if path.stat().st_size > LARGEST:
            raise BadDescription(f"over {LARGEST} bytes", path)
        text = path.read_text()
    except OSError as why:
        raise BadDescription(f"cannot be read: {why.strerror}", path) from None
    except UnicodeDecodeError:
        raise BadDescription("not UTF-8", path) from None
    return read_description(read_text(text, str(path)), frontends, repeats, most_units, str(path))


def read_description(told, frontends, repeats, most_units, where="description"):
    """A `RouteTable` from a document. `frontends`: the settings' classes by name; `repeats`: their `Repeat`, in the
    order of the settings; `most_units`: the most a req may take. BadDescription names the operation at fault."""
    _valid(told, where)
    try:
        operations = _operations(told, frontends, repeats, most_units)
        if not operations:
            raise BadOperation("no operation")
        return RouteTable(operations)
    except ValueError as why:
        raise BadDescription(str(why), where) from None


def _valid(told, where):
    from openapi_spec_validator import OpenAPIV30SpecValidator, OpenAPIV31SpecValidator

    version = str(told.get("openapi", ""))
    kind = {"3.0": OpenAPIV30SpecValidator, "3.1": OpenAPIV31SpecValidator}.get(version[:3])
    if kind is None:
        raise BadDescription(f"openapi {version!r}: 3.0 and 3.1 are read", where)
    try:
        # The first error alone: past one, the validator walks into what it has just found to be no object.
        error = next(kind(told).iter_errors(), None)
    except RecursionError:
        raise BadDescription("references lead round in a circle", where) from None
    except Exception as why:
        # Whatever the library meets in a document that is none, the document is at fault.
        raise BadDescription(f"no valid description ({type(why).__name__}: {why})", where) from None
    if error is not None:
        at = " ".join(str(part) for part in getattr(error, "absolute_path", ())) or "top"
        message = " ".join(str(getattr(error, "message", error)).split())[:200]
        raise BadDescription(f"{at}: {message}", where)


def _operations(told, frontends, repeats, most_units):
    base = _base(told)
    operations = []
    for path, item in told.get("paths", {}).items():
        if path.startswith("x-"):
            continue
        item = _resolved(told, item)
        for method in METHODS:
            if method not in item:
                continue
            key = f"{method.upper()} {path}"
            operation = item[method]
            own = {
                name: operation.get(name, item.get(name))
                for name in (X + "class", X + "repeat", X + "units", X + "variants", X + "worker-path", X + "customer")
            }
            try:
                operations.append(
                    _operation(
                        key,
                        method.upper(),
                        base + _template(path),
                        own,
                        _parameters(told, item, operation),
                        told,
                        frontends,
                        repeats,
                        most_units,
                    )
                )
            except ValueError as why:
                raise BadOperation(f"{key}: {why}") from None
            if len(operations) > MOST_OPERATIONS:
                raise BadOperation(f"more than {MOST_OPERATIONS} operations")
    return operations


def _operation(key, method, template, own, parameters, told, frontends, repeats, most_units):
    frontend = own[X + "class"]
    if frontend is None:
        raise BadOperation(f"no {X}class")
    if not isinstance(frontend, str) or frontend not in frontends:
        raise BadOperation(f"{X}class {frontend!r} is none of {', '.join(sorted(frontends))}")
    repeat = repeats[frontends[frontend]]
    if own[X + "repeat"] not in (None, repeat.value):
        raise BadOperation(f"{X}repeat is {own[X + 'repeat']!r}, but class {frontend} is {repeat.value}")
    if (repeat is Repeat.REPLAYABLE) != (method in ("GET", "HEAD")):
        raise BadOperation(f"class {frontend} is {repeat.value} and does not go with {method}")
    if method not in ("GET", "POST"):
        raise BadOperation("only GET and POST are spoken here")
    if own[X + "units"] is None:
        raise BadOperation(f"no {X}units")
    units = _units(own[X + "units"], most_units, X + "units")
    variants = own[X + "variants"] or ()
    if not isinstance(variants, list | tuple) or len(variants) > MOST_VARIANTS:
        raise BadOperation(f"{X}variants is no list of {MOST_VARIANTS} at most")
    return Operation(
        key,
        method,
        template,
        frontend,
        units,
        _customer(own[X + "customer"] or told.get(X + "customer"), template),
        tuple(_variant(variant, units, most_units, parameters) for variant in variants),
        _worker_path(own[X + "worker-path"], template),
    )


def _units(value, most, name):
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= most:
        raise BadOperation(f"{name} {value!r} is no number above 0 and at most {most:g}")
    return float(value)


def _variant(told, units, most, parameters):
    if not isinstance(told, dict) or not {"query", "units"} <= set(told) <= {"query", "equals", "units"}:
        raise BadOperation(f"{X}variants: {told!r} has not query, units and perhaps equals")
    query, equals = told["query"], told.get("equals")
    if ("query", query) not in parameters:
        raise BadOperation(f"{X}variants: no query parameter {query!r} is described")
    if equals is not None and not isinstance(equals, str):
        raise BadOperation(f"{X}variants: equals {equals!r} is no text")
    dear = _units(told["units"], most, f"{X}variants: units")
    if dear < units:
        raise BadOperation(f"{X}variants: {dear:g} units are fewer than the {units:g} of the operation")
    return Variant(query, equals, dear)


def _customer(told, template):
    if not isinstance(told, dict) or set(told) != {"in", "name"} or told["in"] not in ("path", "header", "query"):
        raise BadOperation(f"no {X}customer with in (path, header or query) and name")
    place, name = told["in"], told["name"]
    if not isinstance(name, str) or not TOKEN.fullmatch(name):
        raise BadOperation(f"{X}customer: {name!r} is no name")
    if place == "path" and (name,) not in template:
        raise BadOperation(f"{X}customer: the path has no parameter {name!r}")
    return place, name


def _template(path):
    """Segments of a path template. A parameter is a whole segment."""
    if not path.startswith("/"):
        raise BadOperation(f"path {path!r} does not begin with a slash")
    template = []
    for segment in path[1:].split("/"):
        parameter = PARAMETER.fullmatch(segment)
        if parameter is None and ("{" in segment or "}" in segment):
            raise BadOperation(f"segment {segment!r}: a parameter is a whole segment here")
        template.append((parameter[1],) if parameter else unquote(segment))
    names = [segment for segment in template if isinstance(segment, tuple)]
    if len(set(names)) < len(names):
        raise BadOperation(f"path {path!r} has a parameter twice")
    return tuple(template)


def _worker_path(told, template):
    if told is None:
        return None
    if not isinstance(told, str) or "?" in told or "#" in told or not told.isascii():
        raise BadOperation(f"{X}worker-path {told!r} is no path")
    path = _template(told)
    for segment in path:
        if isinstance(segment, tuple) and segment not in template:
            raise BadOperation(f"{X}worker-path: the path has no parameter {segment[0]!r}")
    return path


def _base(told):
    """The path that the description's first server puts before every path."""
    servers = told.get("servers") or [{"url": "/"}]
    path = urlsplit(str(servers[0].get("url", "/"))).path.rstrip("/")
    if "{" in path:
        raise BadOperation("servers: variables in the path are not read")
    return _template(path) if path else ()


def _resolved(told, value, steps=8):
    """What a reference in the file stands for."""
    while isinstance(value, dict) and "$ref" in value:
        if not steps:
            raise BadOperation(f"$ref {value['$ref']!r} leads round in a circle")
        steps -= 1
        at = told
        for part in value["$ref"][2:].split("/"):
            part = unquote(part).replace("~1", "/").replace("~0", "~")
            if not isinstance(at, dict) or part not in at:
                raise BadOperation(f"$ref {value['$ref']!r} leads nowhere")
            at = at[part]
        value = at
    if not isinstance(value, dict):
        raise BadOperation("a path item that is no object")
    return value


def _parameters(told, item, operation):
    """(in, name) of every parameter described."""
    found = {}
    for parameter in [*item.get("parameters", ()), *operation.get("parameters", ())]:
        parameter = _resolved(told, parameter)
        found[parameter.get("in"), parameter.get("name")] = None
    return found
