"""Messages between forwarders and planners, version 1: JSON in the binary messages of a WebSocket at `/v1/leases`
(subprotocol "fernyard.leases.1"), read strictly.

    {"v": 1, "forwarder": "g3", "ask": 17, "wants": [[NAME, PLAN, NEED, WANT, BACK], ...]}
    {"v": 1, "ask": 17, "granted": [[NAME, LEASE, UNITS, UNTIL, FULL, AWAY], ...]}

Numbers as in `Want` and `Granted`; times in tenths of a millisecond of Unix time. A message that is not of this form
is refused whole.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from ..errors import FernyardError
from .forwarder import Granted, Want

VERSION, PATH, PROTOCOL = 1, "/v1/leases", "fernyard.leases.1"
PROTOCOL_2 = "fernyard.leases.2"  # version 1 and the messages of `accord.wire` on one connection
MOST_WANTS, LARGEST = 1_000, 256 * 1024  # names in a message, its bytes

Name = Annotated[int, Field(ge=0, lt=1 << 63)]
Units = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
Time = Annotated[int, Field(ge=0, lt=1 << 53)]


class Message(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)
    v: Literal[1]
    ask: Annotated[int, Field(ge=0, lt=1 << 53)]


class AskMessage(Message):
    forwarder: Annotated[str, Field(min_length=1, max_length=64)]
    wants: Annotated[
        list[tuple[Name, Annotated[int, Field(ge=0, lt=10_000)], Units, Units, Units]], Field(max_length=MOST_WANTS)
    ]


class GrantMessage(Message):
    granted: Annotated[
        list[tuple[Name, Annotated[str, Field(max_length=64)], Units, Time, Time, bool]], Field(max_length=MOST_WANTS)
    ]


ASK, GRANT = TypeAdapter(AskMessage), TypeAdapter(GrantMessage)


class BadMessage(FernyardError, ValueError):
    """Bytes that are no message of this version."""


def write_ask(forwarder, ask, wants):
    return ASK.dump_json(
        AskMessage.model_construct(
            v=VERSION,
            forwarder=forwarder,
            ask=ask,
            wants=[(w.name, w.plan, float(w.need), float(w.want), float(w.back)) for w in wants],
        )
    )


def write_grant(ask, granted):
    return GRANT.dump_json(
        GrantMessage.model_construct(
            v=VERSION, ask=ask, granted=[(g.name, g.lease, float(g.units), g.until, g.full, g.away) for g in granted]
        )
    )


def is_version_2(data):
    """Written by `accord.wire`: what is no message is refused by whoever reads it."""
    return data.startswith(b'{"v":2,')


def read_ask(data):
    """(forwarder, ask, wants); a name may stand in it once."""
    told = _read(ASK, data)
    if len({want[0] for want in told.wants}) < len(told.wants):
        raise BadMessage("a name stands in it twice")
    return told.forwarder, told.ask, tuple(Want(*want) for want in told.wants)


def read_grant(data):
    """(ask, granted)"""
    told = _read(GRANT, data)
    return told.ask, tuple(Granted(*granted) for granted in told.granted)


def _read(kind, data):
    if len(data) > LARGEST:
        raise BadMessage("too long")
    try:
        return kind.validate_json(data)
    except ValidationError as why:
        first = why.errors()[0]
        raise BadMessage(f"{'.'.join(str(part) for part in first['loc']) or '(top)'}: {first['msg']}") from None
