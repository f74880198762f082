"""The simulator's binary frames: bytes to wire records and orders to bytes."""

import struct

from .. import interface as i


class WireError(Exception):
    """The input is not the wire."""


HEADER = struct.Struct(">IIId")
REPLY = struct.Struct(">III")
ENTRY = struct.Struct(">IdHHfBB")
LAUNCH, POOL, ENDPOINTS, ARRIVAL, INBOX, FINISHED = 1050, 1020, 1100, 1060, 1080, 1070
DOWN, ACK_FIRST, DROPPED, PONG, TALLY_BACK, FIRED = 1090, 1110, 1040, 1030, 1000, 1010

# The fixed part of each event; those of COUNTED end in a count of bytes or of entries of that size.
FIXED = {
    LAUNCH: struct.Struct(">IQI"),
    POOL: struct.Struct(">II"),
    ENDPOINTS: struct.Struct(">IBIQ"),
    ARRIVAL: struct.Struct(">IIBIQdfffH"),
    INBOX: struct.Struct(">IIH"),
    FINISHED: struct.Struct(">IIBHHIBBdB"),
    DOWN: struct.Struct(">I"),
    ACK_FIRST: struct.Struct(">IIBId"),
    DROPPED: struct.Struct(">II"),
    PONG: struct.Struct(">IIBdB"),
    TALLY_BACK: struct.Struct(">IQBfd"),
    FIRED: struct.Struct(">IQ"),
}
COUNTED = {LAUNCH: 1, POOL: ENTRY.size, INBOX: 1, FINISHED: 4, PONG: 4}


def read_frame(source):
    """(number, clock in ms, records) of the next frame, or None at the end of input.

    A record is (code, fixed fields, counted bytes).
    """
    head = _exactly(source, HEADER.size, at_start=True)
    if head is None:
        return None
    number, count, size, clock = HEADER.unpack(head)
    if size < HEADER.size:
        raise WireError(f"frame {number} gives its size as {size}, less than its header")
    body = _exactly(source, size - HEADER.size)
    records, at = [], 0
    for _ in range(count):
        if at + 2 > len(body):
            raise WireError(f"frame {number} ends before its {count} records")
        code = int.from_bytes(body[at : at + 2], "big")
        fixed = FIXED.get(code)
        if fixed is None:
            raise WireError(f"frame {number} holds an unknown record code {code}")
        at += 2
        if at + fixed.size > len(body):
            raise WireError(f"frame {number} ends inside a record of code {code}")
        fields = fixed.unpack_from(body, at)
        at += fixed.size
        extra = b""
        if code in COUNTED:
            end = at + fields[-1] * COUNTED[code]
            if end > len(body):
                raise WireError(f"frame {number} ends inside a record of code {code}")
            extra, at = body[at:end], end
        records.append((code, fields, extra))
    if at != len(body):
        raise WireError(f"frame {number} has {len(body) - at} bytes after its last record")
    return number, clock, records


def _exactly(source, size, at_start=False):
    data = source.read(size)
    if not data and at_start:
        return None
    if len(data) < size:
        raise WireError(f"input ends after {len(data)} of {size} bytes")
    return data


def floats(extra):
    return struct.unpack(f">{len(extra) // 4}f", extra)


def entries(extra):
    return ENTRY.iter_unpack(extra)


def _ms(tenths):
    return tenths / 10.0


def _text(code, who, text, lead=b""):
    data = text[:65535]
    return struct.pack(">HI", code, who) + lead + struct.pack(">H", len(data)) + data


WRITERS = {
    i.Dispatch: lambda w, o: struct.pack(">HIIdI", 1000, w, o.req, _ms(o.limit), o.worker),
    i.Deny: lambda w, o: struct.pack(">HIId", 1010, w, o.req, _ms(o.return_in)),
    i.Abort: lambda w, o: struct.pack(">HII", 1020, w, o.req),
    i.Cancel: lambda w, o: struct.pack(">HIIB", 1030, w, o.req, o.dispatch),
    i.Wake: lambda w, o: struct.pack(">HIdQ", 1040, w, _ms(o.after), o.token),
    i.Probe: lambda w, o: struct.pack(">HII", 1050, w, o.worker),
    i.HangUp: lambda w, o: struct.pack(">HII", 1060, w, o.worker),
    i.Tell: lambda w, o: _text(1070, w, o.text, struct.pack(">H", 65535 if o.peer is None else o.peer)),
    i.Note: lambda w, o: _text(1080, w, o.text.encode()),
    i.Follow: lambda w, o: struct.pack(">HIB", 1100, w, o.on),
    i.Fetch: lambda w, o: struct.pack(">HI", 1110, w),
    i.Add: lambda w, o: struct.pack(">HIQfd", 1120, w, o.name, o.amount, _ms(o.keep)),
}


def order_bytes(who, order):
    return WRITERS[type(order)](who, order)


def fault_bytes(who, text):
    return _text(1090, who, text.encode())


def reply_bytes(number, records):
    body = b"".join(records)
    return REPLY.pack(number, REPLY.size + len(body), len(records)) + body
