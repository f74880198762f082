"""Routes and costs of reqs from an OpenAPI description: reading it (`description.py`) and finding the operation of a req
(`table.py`, free of I/O). The gatekeeper asks `RouteTable.find` before its decisions see a req."""

from .description import BadDescription, load_description, read_description, read_text
from .table import Found, Operation, RouteTable, Variant

__all__ = [
    "BadDescription",
    "Found",
    "Operation",
    "RouteTable",
    "Variant",
    "load_description",
    "read_description",
    "read_text",
]
