"""The wire: frames in, replies out, and input that is not the wire."""

import io
import json
import struct
import unittest
from contextlib import redirect_stderr
from unittest import mock

from fernyard import interface as i
from fernyard.simhost import codec, host

SETTINGS = {
    "allowed": {"mostTries": 3, "retryAfter": True, "maxRetryAfterMs": 500.0},
    "balancers": 2,
    "classes": [
        {
            "aimMs": 1200.0,
            "hardLimitMs": 3000.0,
            "keyScope": "all",
            "repeatWindowMs": 5000.0,
            "semantics": "guarded",
            "newKey": 1,
        }
    ],
    "tariffs": [{}],
    "rules": {"coldShare": 0.15, "fallMultiple": 2.0, "warmUpMs": 16000.0},
    "unheardOf": {"x": 1},
}


def frame(*records, number=1, clock=500.0, size=None, count=None):
    body = b"".join(records)
    return (
        codec.HEADER.pack(
            number,
            len(records) if count is None else count,
            codec.HEADER.size + len(body) if size is None else size,
            clock,
        )
        + body
    )


def launch(who=3, text=None):
    text = json.dumps(SETTINGS).encode() if text is None else text
    return struct.pack(">HIQI", 1050, who, 7, len(text)) + text


def pool(number, *workers):
    return struct.pack(">HII", 1020, number, len(workers)) + b"".join(
        codec.ENTRY.pack(w, 0.0, 0, 0, 1.0, 0, 2) for w in workers
    )


def endpoints(number, who=3, form=2):
    return struct.pack(">HIBIQ", 1100, who, form, number, 1)


def arrival(ref, who=3):
    return struct.pack(">HIIBIQdfffH", 1060, who, ref, 0, 0, 9, 2000.0, 1.0, 2.0, 0.0, 0)


def play(data):
    sink, errors = io.BytesIO(), io.StringIO()
    with redirect_stderr(errors):
        code = host.main(io.BytesIO(data), sink)
    return code, sink.getvalue(), errors.getvalue()


class Wire(unittest.TestCase):
    def test_reused_list_number_and_restart_in_one_batch(self):
        down = struct.pack(">HI", 1090, 3)
        code, reply, errors = play(
            frame(
                launch(), pool(0, 11), endpoints(0), arrival(1), down, launch(), pool(0, 12), endpoints(0), arrival(2)
            )
        )
        self.assertEqual((code, errors), (0, ""))
        workers = [
            struct.unpack_from(">II", reply, at + 6)[0:1] + struct.unpack_from(">I", reply, at + 18)
            for at in range(12, len(reply))
            if reply[at : at + 6] == struct.pack(">HI", 1000, 3)
        ]
        self.assertEqual(workers, [(1, 11), (2, 12)])

    def test_order_bytes(self):
        for order, bytes_ in (
            (i.Dispatch(0x5D3A91C4, 0x03124A07, 800), "03e8000000035d3a91c4405400000000000003124a07"),
            (i.Add(0x89F690, 4.0, 30000), "046000000003000000000089f6904080000040a7700000000000"),
            (i.Deny(0x0E6F2B19, 2500), "03f2000000030e6f2b19406f400000000000"),
            (i.Abort(0x0E6F2B19), "03fc000000030e6f2b19"),
            (i.Follow(True), "044c0000000301"),
            (i.Tell(None, b"hi 7"), "042e00000003ffff000468692037"),
            (i.Cancel(0x5D3A91C4, 0), "0406000000035d3a91c400"),
            (i.Wake(2500, 0x4D), "041000000003406f400000000000000000000000004d"),
        ):
            self.assertEqual(codec.order_bytes(3, order).hex(), bytes_)

    def test_not_the_wire(self):
        for data, words in (
            (b"\0\0\0", "input ends after 3 of 20 bytes"),
            (frame(size=10), "less than its header"),
            (frame(struct.pack(">H", 7)), "unknown record code 7"),
            (frame(launch(), count=2), "ends before its 2 records"),
            (frame(launch(), b"xx", count=1), "2 bytes after its last record"),
            (frame(launch()[:40]), "ends inside a record"),
            (frame(launch(text=b"{")), "settings cannot be read"),
            (frame(launch(text=b"{}")), "settings cannot be read"),
            (frame(arrival(1)), "which does not run"),
            (frame(launch(), endpoints(4)), "was never given"),
        ):
            code, _, errors = play(data)
            self.assertEqual((code, errors.count("\n")), (2, 1), errors)
            self.assertIn(words, errors)
        self.assertEqual(play(b"")[0], 0)

    def test_a_broken_module_is_reported_on_the_wire(self):
        with mock.patch.object(host.Gatekeeper, "step", side_effect=IndexError("out of range")):
            code, reply, _ = play(frame(launch()))
        self.assertEqual(code, 0)
        self.assertIn(struct.pack(">HI", 1090, 3) + b"\0\x18IndexError: out of range", reply)

    def test_settings_in_our_words(self):
        told = host.read_settings(json.dumps(SETTINGS).encode())
        self.assertEqual(told.frontends, (i.Frontend(12000, 30000, i.Repeat.UNIQUED, i.Group.ALL, 50000),))
        self.assertEqual((told.longest_return, told.may_count, told.gatekeepers), (5000, False, 2))
