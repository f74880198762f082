"""Version 2 of the messages on planners' WebSockets (`/v1/leases`, subprotocol "fernyard.leases.2"): JSON in binary
messages, read strictly. Beside the asks and grants of version 1, unchanged:

    {"v": 2, "kind": "Planner", "planner": 1}                       a planner says which it is, before all else
    {"v": 2, "kind": "Prepare", "cluster": ..., "ballot": [ROUND, PLANNER, LIFE]}     and so each message of the register
    {"v": 2, "kind": "Summary", "reports": {NAME: [AGE, REPORT]}}
    {"v": 2, "kind": "Follow", "name": "g3", "number": 17, "have": [CLUSTER, VERSION], "report": {...}}
    {"v": 2, "kind": "Standing", "number": 17, "cluster": ..., "version": 9, "age": 812, "beat": 5000, "order": {...}}

Fields as in the dataclasses of those names; times in tenths of a millisecond. A message that is not of this form is refused
whole, and the connection ends.
"""

import dataclasses
import typing
from types import UnionType
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, JsonValue, TypeAdapter, ValidationError, create_model

from ..plan.wire import LARGEST, PROTOCOL_2, BadMessage
from . import register as r
from .follower import Standing

VERSION, PROTOCOL = 2, PROTOCOL_2
Number = Annotated[int, Field(ge=0, lt=1 << 63)]
Text = Annotated[str, Field(max_length=128)]


@dataclasses.dataclass(frozen=True, slots=True)
class Planner:
    planner: int


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """name -> (age, report)"""

    reports: dict[str, tuple[int, dict]]


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    name: str
    number: int
    have: tuple[str, int]
    report: dict


KINDS = {
    kind.__name__: kind
    for kind in (
        Planner,
        Summary,
        Follow,
        Standing,
        r.Hello,
        r.Form,
        r.Prepare,
        r.Promise,
        r.Accept,
        r.Accepted,
        r.Refusal,
        r.Read,
        r.Held,
    )
}


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True, arbitrary_types_allowed=False)
    v: Literal[2]
    kind: str


class OrderModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)
    version: Number
    parts: dict[Text, JsonValue]


def _wired(told):
    """The type of a field as it stands in a message."""
    if told is int:
        return Number
    if told is str:
        return Text
    if told is r.Order:
        return OrderModel
    if told is dict:
        return dict[Text, JsonValue]
    if isinstance(told, UnionType) or typing.get_origin(told) is typing.Union:
        return typing.Union[tuple(_wired(part) for part in typing.get_args(told))]  # noqa: UP007 (made from a list)
    if typing.get_origin(told) is tuple:
        return tuple[tuple(part if part is Ellipsis else _wired(part) for part in typing.get_args(told))]
    if typing.get_origin(told) is dict:
        return dict[tuple(_wired(part) for part in typing.get_args(told))]
    return told


MODELS = {
    name: TypeAdapter(
        create_model(
            f"{name}Message",
            __base__=Strict,
            **{field: (_wired(told), ...) for field, told in typing.get_type_hints(kind).items()},
        )
    )
    for name, kind in KINDS.items()
}
HEAD = TypeAdapter(create_model("Head", __config__=ConfigDict(extra="ignore", strict=True), kind=(str, "")))
ANY = TypeAdapter(dict[str, JsonValue])


def write(message):
    """The bytes of a message of one of `KINDS`."""
    told = {"v": VERSION, "kind": type(message).__name__}
    for name in type(message).__dataclass_fields__:
        value = getattr(message, name)
        told[name] = {"version": value.version, "parts": value.parts} if type(value) is r.Order else value
    return ANY.dump_json(told)


def read(data):
    """The message. BadMessage says what is wrong with it."""
    if len(data) > LARGEST:
        raise BadMessage("too long")
    try:
        head = HEAD.validate_json(data)
        model = MODELS.get(head.kind)
        if model is None:
            raise BadMessage(f"kind {head.kind[:32]!r}")
        told = model.validate_json(data)
    except ValidationError as why:
        first = why.errors()[0]
        raise BadMessage(f"{'.'.join(str(part) for part in first['loc']) or '(top)'}: {first['msg']}") from None
    fields = {name: getattr(told, name) for name in KINDS[head.kind].__dataclass_fields__}
    return KINDS[head.kind](
        **{
            name: r.Order(value.version, value.parts) if isinstance(value, OrderModel) else value
            for name, value in fields.items()
        }
    )
