"""Plays happenings to one gatekeeper and prints its decisions; compares them with a trace kept in tests/traces.

With KEEP_TRACES set the traces are written instead: read the difference before you commit it.
"""

import difflib
import os
import unittest
from pathlib import Path

from fernyard import interface as i
from fernyard.decide import Gatekeeper

TRACES = Path(__file__).parent / "traces"
MS = 10
REPLAYABLE = i.Frontend(1000 * MS, 3000 * MS, i.Repeat.REPLAYABLE, i.Group.CELL, 0)
UNIQUED = i.Frontend(1000 * MS, 3000 * MS, i.Repeat.UNIQUED, i.Group.CELL, 800 * MS)
ONCE = i.Frontend(1000 * MS, 3000 * MS, i.Repeat.NON_REPLAYABLE, i.Group.CELL, 0)
BY_RATE = i.Plan(rate=4.0, burst=4.0, open=0, ceiling_rate=0, ceiling_depth=0)
BY_OPEN = i.Plan(rate=0, burst=0, open=2, ceiling_rate=0, ceiling_depth=0)
CEILING = i.Plan(rate=40.0, burst=40.0, open=0, ceiling_rate=4.0, ceiling_depth=4.0)
FREE = i.Plan(rate=0, burst=0, open=0, ceiling_rate=0, ceiling_depth=0)
BOTH = i.Plan(rate=4.0, burst=4.0, open=2, ceiling_rate=0, ceiling_depth=0)


def settings(**other):
    return i.Settings(**{**dict(
        frontends=(REPLAYABLE, UNIQUED, ONCE), plans=(BY_RATE, BY_OPEN, CEILING, FREE, BOTH), gatekeepers=2,
        zone=0, must_follow=False, max_dispatches=3, may_count=True, count_timeout=30 * MS, settles=False,
        longest_return=0, cold_share=0.2, fall_multiple=2.0, warm_up=10000 * MS), **other})


def machine(worker, cell=0, started=0, phase=i.Phase.READY):
    return i.Machine(worker, started, cell, 0, phase)


class Play(unittest.TestCase):
    maxDiff = None

    def launch(self, *machines, **other):
        self.gatekeeper, self.now, self.lines, self.wakes, self.names = Gatekeeper(), 1_000_000, [], [], {}
        self.calls, self.sent, self.begun = [], {}, 1_000_000
        self.tell(i.Launched(settings(**other), 7))
        self.tell(i.Roster(i.News.CACHED, machines or (machine(1), machine(2, cell=1))))

    def tell(self, told, words=None):
        if words:
            self.lines.append(f"{(self.now - self.begun) / MS:8.1f}  {words}")
        for order in self.gatekeeper.step(self.now, told):
            self.print(order)

    def print(self, order):
        if isinstance(order, i.Wake):
            self.wakes.append((self.now + order.after, order.token))
            return
        if isinstance(order, i.Add):
            name = self.names.setdefault(order.name, f"name {chr(97 + len(self.names))}")
            self.calls.append(order.name)
            words = f"add {order.amount:+g} to {name}"
        elif isinstance(order, i.Dispatch):
            self.sent[order.req] = self.sent.get(order.req, -1) + 1
            words = f"dispatch req {order.req} to worker {order.worker}"
        elif isinstance(order, i.Deny):
            words = f"deny req {order.req}" + (f", return in {order.return_in / MS:g} ms" * bool(order.return_in))
        elif isinstance(order, i.Abort):
            words = f"abort req {order.req}"
        else:
            words = str(order)
        self.lines.append(f"{'':8}      -> {words}")

    def after(self, ms):
        """Time passes; timers that come due are told."""
        end = self.now + int(ms * MS)
        while due := sorted(w for w in self.wakes if w[0] <= end):
            self.wakes.remove(due[0])
            self.now = max(self.now, due[0][0])
            mark = len(self.lines)
            self.tell(i.Woke(due[0][1]))
            if len(self.lines) > mark:
                self.lines.insert(mark, f"{(self.now - self.begun) / MS:8.1f}  a timer")
        self.now = end

    def arrive(self, req, plan=3, frontend=0, left=3000, units=1.0, customer=5, doors=2):
        kind = ("replayable", "uniqued", "non-replayable")[frontend]
        self.tell(i.Arrived(req, frontend, plan, customer, left * MS, units, doors),
                  f"{kind} req {req} of customer {customer}, {units:g} units, {left} ms left")

    def count(self, total=0.0, end=i.End.PASSED):
        name = self.calls.pop(0)
        words = f"total {total:g}" if end is i.End.PASSED else end.value
        self.tell(i.Counted(name, end, total, 20), f"{self.names[name]}: {words}")

    def answer(self, *totals):
        """The counter answers the calls out, one after another, while there are any."""
        for total in totals:
            if self.calls:
                self.count(total)

    def end(self, req, end=i.End.PASSED, worker=1, units=0.0, took=1000):
        closed = end is i.End.PASSED
        self.tell(i.Ended(req, self.sent[req], worker, closed, end, took, units),
                  f"req {req} at worker {worker}: {end.value}")

    def roster(self, *machines, news=i.News.CHANGES):
        told = ", ".join(f"{m.worker} {m.phase.value}" for m in machines)
        self.tell(i.Roster(news, machines), f"roster ({news.value}): {told}")

    def kept(self, name):
        path, text = TRACES / f"{name}.txt", "\n".join(self.lines) + "\n"
        if os.environ.get("KEEP_TRACES"):
            path.write_text(text)
        before = path.read_text()
        if text != before:
            self.fail("\n".join(difflib.unified_diff(before.splitlines(), text.splitlines(), "kept", "now")))
