"""The connections of clients: how many there may be, how long one may take over a req, which makes room."""

import asyncio
import errno
import socket
from collections import OrderedDict

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response
from aiohttp.web_server import Server

AT_ONCE = 16                # taken in between two looks at what else is to be done
NEVER = 10.0 ** 6           # the library's own timer; ours bounds more
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Connection(RequestHandler):
    """One connection of a client. `busy`: a req is in hand; `behind`: more came while it was."""

    __slots__ = ("busy", "behind", "since")

    def data_received(self, data):
        if not getattr(self, "busy", False):
            return super().data_received(data)
        # Clients send one req at a time: what comes behind it is not read, and its connection ends.
        self.behind = True
        self.transport.pause_reading()

    def drop(self):
        if self.transport is not None:
            self.transport.close()


class Written(Response):
    """Tells when it was written: until then its connection is not to be closed."""

    def __init__(self, told, **named):
        super().__init__(**named)
        self.told = told

    async def write_eof(self, *data):
        try:
            await super().write_eof(*data)
        finally:
            self.told()


class Connections(Server):
    """Takes connections in. Those with no req in hand make room for new ones: first the oldest that never
    sent a whole req, then the longest unused. Clients that ask once and keep their connection would soon
    have all that clients may have, so only so many stand unused. Harms a client whose first req takes longer
    than `first_room` to come while hundreds connect and say nothing."""

    def __init__(self, handle, request_factory, limits, counts):
        super().__init__(
            handle, request_factory=request_factory, handler_cancellation=True, access_log=None,
            auto_decompress=False, keepalive_timeout=NEVER, lingering_time=0, max_line_size=limits.line,
            max_field_size=limits.line, max_headers=limits.lines)
        self.limits, self.counts, self.loop = limits, counts, asyncio.get_running_loop()
        # By when they came and when they were last used; those with a req in hand are in neither.
        self.fresh, self.unused, self.open = OrderedDict(), OrderedDict(), 0
        self.listener, self.taking, self.sweeper = None, False, None

    def listen(self, host, port):
        self.listener = socket.create_server((host, port), backlog=self.limits.backlog)
        self.listener.setblocking(False)
        self._take()
        self._sweep()

    def __call__(self):
        return Connection(self, loop=self.loop, **self._kwargs)

    def _take(self):
        if not self.taking and self.listener is not None:
            self.taking = True
            self.loop.add_reader(self.listener, self._accept)

    def _wait(self):
        """Takes nothing in until a connection ends or the next sweep."""
        self.taking = False
        self.loop.remove_reader(self.listener)

    def _accept(self):
        for taken in range(AT_ONCE):
            if self.open >= self.limits.clients:
                if taken:       # whether another waits is told anew
                    return
                if not self._make_room():
                    return self._wait()
            try:
                made, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as why:
                if why.errno not in NO_DESCRIPTOR:
                    raise
                self.counts.add("descriptors_out")
                self._make_room()
                return self._wait()
            made.setblocking(False)
            self.open += 1
            self.loop.create_task(self._begin(made))

    async def _begin(self, made):
        try:
            await self.loop.connect_accepted_socket(self, made)
        except OSError:
            self.open -= 1
            made.close()

    def _make_room(self):
        for connections, age in ((self.fresh, self.limits.first_room), (self.unused, 0.0), (self.fresh, 0.0)):
            connection = next(iter(connections), None)
            if connection is not None and self.loop.time() - connection.since >= age:
                self.counts.add("made_room")
                del connections[connection]
                connection.drop()
                return True
        return False

    def _sweep(self):
        """Closes those that took too long over a req, or had none for long."""
        now, limits = self.loop.time(), self.limits
        for connections, longest in ((self.fresh, limits.whole_req), (self.unused, limits.client_idle)):
            while connections and now - (first := next(iter(connections))).since > longest:
                self.counts.add("overlong" if connections is self.fresh else "idle")
                del connections[first]
                first.drop()
        self._take()
        self.sweeper = self.loop.call_later(self.limits.sweep, self._sweep)

    def connection_made(self, connection, transport):
        super().connection_made(connection, transport)
        connection.busy = connection.behind = False
        connection.since = self.loop.time()
        self.fresh[connection] = None

    def connection_lost(self, connection, why=None):
        super().connection_lost(connection, why)
        self.fresh.pop(connection, None)
        self.unused.pop(connection, None)
        self.open -= 1
        self._take()

    def begun(self, connection):
        """A whole req came in on it."""
        connection.busy = True
        self.fresh.pop(connection, None)
        self.unused.pop(connection, None)

    def ended(self, connection):
        """Its req was answered, to the last byte."""
        connection.busy, connection.since = False, self.loop.time()
        if connection.transport is not None:
            self.unused[connection] = None
            if len(self.unused) > self.limits.clients_unused:
                self.counts.add("too_many_unused")
                self.unused.popitem(last=False)[0].drop()

    def drop_unused(self):
        for connection in (*self.fresh, *self.unused):
            connection.drop()
        self.fresh.clear()
        self.unused.clear()

    def stop_listening(self):
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.sweeper.cancel()
            self.listener.close()
            self.listener = None
