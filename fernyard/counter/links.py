"""Calls to the shared counter in RESP2, written one behind another on a few connections that stay open."""

import asyncio
import math
from collections import deque
from dataclasses import dataclass

import hiredis
import structlog

from ..errors import FernyardError
from ..interface import End

log = structlog.get_logger(__name__)
REFUSALS = {"BUSY": End.FULL, "ERR": End.UNSENT}  # in both nothing was added


@dataclass(slots=True)
class Total:
    """What came of one call."""

    name: int
    end: End
    total: float
    took: int


class BadAnswer(FernyardError, ValueError):
    """What the counter said is no total and no refusal."""


class Counter:
    """All calls of one name go over one connection, so their answers come in the order of the calls."""

    def __init__(self, address, limits, report):
        self.limits, self.report, self.old, self.next = limits, report, [], []
        self.links = [Link(address, limits, self._over) for _ in range(limits.counters)]

    def start(self):
        for link in self.links:
            link.open()

    def move(self, address):
        """Calls go to `address` once its connections are up; what is out on the old ones is waited for."""
        for link in self.next:
            link.close()
        self.next = []
        if address != self.links[0].address:
            self.next = [Link(address, self.limits, self._over, self._up) for _ in self.links]
            for link in self.next:
                link.open()

    def _up(self):
        if self.next and all(link.transport is not None for link in self.next):
            self.old, self.links, self.next = self.old + self.links, self.next, []
            for link in self.old:
                link.retire()

    def call(self, name, amount, keep):
        self.old = [link for link in self.old if not link.closed]
        # Behind a call of its name that is out still: else the answers would change places.
        links = [link for link in self.old if link.awaits(name)]
        link = links[0] if links else self.links[name % len(self.links)]
        link.call(Call(name, amount, keep))

    def _over(self, call, end, total=0.0):
        """The first end of a call counts; what comes later is dropped."""
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
            took = int((asyncio.get_running_loop().time() - call.began) * 10_000)
            self.report(Total(call.name, end, total, took))

    def close(self):
        for link in self.links + self.next + self.old:
            link.close()


class Call:
    __slots__ = ("name", "bytes", "began", "timer")

    def __init__(self, name, amount, keep):
        self.name = name
        life = max(1, keep // 10)
        self.bytes = hiredis.pack_command(("CNT.ADD", str(name), repr(float(amount)), str(life)))


class Link(asyncio.Protocol):
    """One connection. `sent` holds the calls written, in order; `held` those that wait for it to come up."""

    def __init__(self, address, limits, over, up=lambda: None):
        self.address, self.limits, self.over, self.up, self.retired = address, limits, over, up, False
        self.sent, self.held, self.transport, self.opening, self.closed = deque(), deque(), None, None, False
        self.reader, self.heard, self.made, self.pause, self.warned = None, 0.0, 0.0, None, 0.0
        self.hasty = False  # the connection before this one was soon lost

    def call(self, call):
        loop = asyncio.get_running_loop()
        call.began = loop.time()
        call.timer = loop.call_later(self.limits.count, self._late, call)
        if self.transport is not None:
            self.sent.append(call)
            self.transport.write(call.bytes)
        elif self.pause is not None:
            self.over(call, End.NO_CONNECTION)
        else:
            self.held.append(call)
            self.open()

    def awaits(self, name=None):
        """A call out, of that name if one is given, can still be answered in time."""
        return any(call.timer is not None and name in (None, call.name) for call in self.sent)

    def retire(self):
        """Takes no new calls; ends when none that is out can be answered in time any more."""
        self.retired = True
        self.held, held = deque(), self.held
        for call in held:
            self.over(call, End.NO_CONNECTION)
        self._end_retired()

    def _end_retired(self):
        if self.retired and not self.awaits():
            self.close()

    def _late(self, call):
        if call in self.held:
            self.held.remove(call)
            return self.over(call, End.NO_CONNECTION)
        self.over(call, End.TIMEOUT)
        if self.retired:
            return self._end_retired()
        if self.transport is not None and self.reader.has_data():  # part of an answer, and never the rest
            return self.transport.abort()
        # A machine that is cut off says nothing, and its connection stays open.
        silent = asyncio.get_running_loop().time() - self.limits.counter_silence
        if self.sent and (max(self.heard, self.sent[0].began) < silent or len(self.sent) > self.limits.counter_owed):
            self.transport.abort()

    def open(self):
        if self.opening is None and self.transport is None and self.pause is None and not self.closed:
            self.opening = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self):
        try:
            async with asyncio.timeout(self.limits.connect):
                await asyncio.get_running_loop().create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self._wait()
            while self.held:
                self.over(self.held.popleft(), End.NO_CONNECTION)
        finally:
            self.opening = None

    def _wait(self):
        """Until the next try, calls end at once: nothing of them is written."""

        def over():
            self.pause = None
            self.open()

        self.pause = asyncio.get_running_loop().call_later(self.limits.counter_pause, over)

    def connection_made(self, transport):
        self.transport, self.reader = transport, hiredis.Reader()
        self.heard = self.made = asyncio.get_running_loop().time()
        self.sent.extend(self.held)
        if self.held:
            transport.write(b"".join(call.bytes for call in self.held))
        self.held.clear()
        self.up()

    def data_received(self, data):
        self.heard = asyncio.get_running_loop().time()
        try:
            self.reader.feed(data)
            while (answer := self.reader.gets()) is not False:
                if not self.sent:
                    raise hiredis.ProtocolError("an answer to no call")
                told = self._read(answer)
                self.over(self.sent.popleft(), *told)
            self._end_retired()
        except (hiredis.ProtocolError, ValueError, TypeError) as why:
            if self.heard - self.warned > 1.0:
                self.warned = self.heard
                log.warning("counter_answer_unread", why=str(why))
            self.transport.abort()

    @staticmethod
    def _read(answer):
        if isinstance(answer, hiredis.ReplyError):
            end = REFUSALS.get(str(answer).partition(" ")[0])
            if end is None:
                raise BadAnswer(answer)
            return (end,)
        total = float(answer)
        if not math.isfinite(total):
            raise BadAnswer(answer)
        return End.PASSED, total

    def connection_lost(self, why):
        self.transport = None
        while self.sent:
            self.over(self.sent.popleft(), End.RESET)
        soon = asyncio.get_running_loop().time() - self.made < self.limits.counter_pause
        if self.closed or self.retired:
            self.closed = True
        elif soon and self.hasty:
            self._wait()
        else:
            self.hasty = soon
            self.open()

    def close(self):
        self.closed = True
        if self.opening is not None:
            self.opening.cancel()
        if self.transport is not None:
            self.transport.close()
