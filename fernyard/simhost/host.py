"""Hosts one set of decisions for each gatekeeper the simulator runs; turns the wire's words into ours."""

import sys
import traceback

from .. import interface as i
from ..decide import Gatekeeper
from ..settings import BadSettings, read_settings, tenths
from . import codec

ENDS = {
    0: i.End.PASSED,
    255: i.End.ERROR,
    254: i.End.FULL,
    253: i.End.TIMEOUT,
    252: i.End.NO_CONNECTION,
    251: i.End.RESET,
    250: i.End.CANCELLED,
    249: i.End.UNSENT,
}
PHASES = {0: i.Phase.GONE, 1: i.Phase.DRAINING, 2: i.Phase.READY}
NEWS = {0: i.News.CHANGES, 1: i.News.WHOLE, 2: i.News.CACHED, 3: i.News.FAILED}


class Host:
    def __init__(self):
        self.lists = {}
        self.gatekeepers = {}

    def play(self, number, clock, records):
        """The reply to one frame."""
        now, out = tenths(clock), []
        for record in records:
            who, orders = self.play_one(now, *record)
            out += [order if isinstance(order, bytes) else codec.order_bytes(who, order) for order in orders]
        return codec.reply_bytes(number, out)

    def play_one(self, now, code, fields, extra):
        if code == codec.POOL:
            self.lists[fields[0]] = tuple(
                i.Machine(worker, tenths(since), cell, zone, word(PHASES, phase, "phase"))
                for worker, since, _kind, cell, _size, zone, phase in codec.entries(extra)
            )
            return 0, ()
        who = fields[0]
        if code == codec.DOWN:
            self.gatekeepers.pop(who, None)
            return who, ()
        if code == codec.LAUNCH:
            try:
                settings = read_settings(extra)
            except BadSettings as why:
                raise codec.WireError(str(why)) from None
            self.gatekeepers[who] = gatekeeper = Gatekeeper()
            return who, self.decide(who, gatekeeper, now, i.Launched(settings, fields[1]))
        gatekeeper = self.gatekeepers.get(who)
        if gatekeeper is None:
            raise codec.WireError(f"a record of code {code} names gatekeeper {who}, which does not run")
        return who, self.decide(who, gatekeeper, now, self.happening(code, fields, extra))

    def decide(self, who, gatekeeper, now, told):
        try:
            return gatekeeper.step(now, told)
        except Exception as why:  # whatever broke in the module is the wire's own fault report
            traceback.print_exc(file=sys.stderr)
            return [codec.fault_bytes(who, f"{type(why).__name__}: {why}")]

    def happening(self, code, fields, extra):
        if code == codec.ARRIVAL:
            _, ref, frontend, plan, customer, left, units, doors, _first, _flags = fields
            return i.Arrived(ref, frontend, plan, customer, tenths(left), units, max(1, int(doors)))
        if code == codec.FINISHED:
            _, ref, shot, _use, units, worker, closed, end, took, _n = fields
            return i.Ended(
                ref,
                shot,
                worker,
                bool(closed),
                word(ENDS, end, "outcome"),
                tenths(took),
                float(units),
                codec.floats(extra),
            )
        if code == codec.TALLY_BACK:
            _, name, end, total, took = fields
            return i.Counted(name, word(ENDS, end, "outcome"), total, tenths(took))
        if code == codec.FIRED:
            return i.Woke(fields[1])
        if code == codec.DROPPED:
            return i.Left(fields[1])
        if code == codec.ENDPOINTS:
            news = word(NEWS, fields[1], "list kind")
            if news is i.News.FAILED:
                return i.Roster(news)
            if fields[2] not in self.lists:
                raise codec.WireError(f"list {fields[2]} is used but was never given")
            return i.Roster(news, self.lists[fields[2]])
        if code == codec.ACK_FIRST:
            return i.Streaming(fields[1], fields[2])
        if code == codec.PONG:
            _, worker, end, took, _n = fields
            return i.Probed(worker, word(ENDS, end, "outcome"), tenths(took), codec.floats(extra))
        return i.Heard(fields[1], extra)


def word(table, value, what):
    if value not in table:
        raise codec.WireError(f"unknown {what} {value}")
    return table[value]


def main(source, sink):
    host = Host()
    try:
        while (frame := codec.read_frame(source)) is not None:
            sink.write(host.play(*frame))
            sink.flush()
    except codec.WireError as why:
        print(f"fernyard: not the simulator's wire: {why}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0
