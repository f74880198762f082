"""The connections of clients: how many there may be, how long one may take over a req, which makes room."""

import asyncio
import errno
import socket
from collections import OrderedDict
from collections.abc import Callable
from itertools import islice
from typing import Any

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from ..sockets import bound, unread

MOST_DROPPED = 1 << 20  # bytes that a client may send behind a request in hand before nothing more is read
AT_ONCE = 16  # taken in between two looks at what else is to be done
LOOKED_AT = 8  # for one to close
NEVER = 10.0**6  # the library's own timer; ours bounds more
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Connection(RequestHandler):
    """One connection of a client. `busy`: a req is in hand; `behind`: bytes that came while it was; `since`: when
    it came, was last used, or began to send what is no whole req yet."""

    __slots__ = ("busy", "behind", "since")

    def data_received(self, data):
        if not self.busy:
            self._manager.reading(self)
            return super().data_received(data)
        # Clients send one req at a time: what comes behind it is dropped, and its connection ends. It is taken off the socket
        # all the same, since the client's leaving stands behind it.
        self.behind += len(data)
        if self.behind > MOST_DROPPED:
            self.transport.pause_reading()

    def silent(self):
        """Nothing was sent that is not read yet, and no request was read that is still to be served."""
        if self.transport is None or self.transport.is_closing():
            return True
        return not self._messages and not unread(self.transport)

    def drop(self):
        if self.transport is not None:
            self.transport.close()


class Written(Response):
    """Tells when it was written: until then its connection is not to be closed."""

    def __init__(self, told: Callable[[], None], **named: Any) -> None:
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
            handle,
            request_factory=request_factory,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=NEVER,
            lingering_time=0,
            max_line_size=limits.line,
            max_field_size=limits.line,
            max_headers=limits.lines,
        )
        self.limits, self.counts, self.loop = limits, counts, asyncio.get_running_loop()
        # Those that sent nothing yet, nothing since their last answer, part of a req; each the longest first.
        self.fresh, self.unused, self.partial, self.open = OrderedDict(), OrderedDict(), OrderedDict(), 0
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
        """Takes in what waits, so many at once at most; whether more may wait."""
        for taken in range(AT_ONCE):
            if self.open >= self.limits.clients:
                if taken:  # whether another waits is told anew
                    return False
                if not self._make_room():
                    return self._wait()
            try:
                made, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as why:
                if why.errno not in NO_DESCRIPTOR:
                    raise
                self.counts.add("descriptors_out")
                self._make_room()
                return self._wait()
            made.setblocking(False)
            bound(made, self.limits.buffer)
            self.open += 1
            self.loop.create_task(self._set_up(made))
        return True

    async def _set_up(self, made):
        try:
            await self.loop.connect_accepted_socket(self, made)
        except OSError:
            self.open -= 1
            made.close()

    def _make_room(self):
        age = self.limits.first_room
        order = (self.fresh, age), (self.unused, 0.0), (self.fresh, 0.0), (self.partial, age)
        return any(self._drop_first(connections, age, "made_room") for connections, age in order)

    def _drop_first(self, connections, age, why):
        """Closes the longest of them if it is of that age; one on which a req waits to be read stays."""
        now = self.loop.time()
        for connection in islice(connections, LOOKED_AT):
            if now - connection.since < age:
                return False
            if connections is self.partial or connection.silent():
                self.counts.add(why)
                del connections[connection]
                connection.drop()
                return True
        return False

    def _sweep(self):
        """Closes those that took too long over a req, or had none for long."""
        limits = self.limits
        for connections, longest, why in (
            (self.fresh, limits.whole_req, "silent"),
            (self.partial, limits.whole_req, "overlong"),
            (self.unused, limits.client_idle, "idle"),
        ):
            while self._drop_first(connections, longest, why):
                pass
        self._take()
        self.sweeper = self.loop.call_later(self.limits.sweep, self._sweep)

    def connection_made(self, connection, transport):
        connection.busy, connection.behind = False, 0
        super().connection_made(connection, transport)
        self._put(connection, self.fresh)

    def connection_lost(self, connection, why=None):
        super().connection_lost(connection, why)
        self._forget(connection)
        self.open -= 1
        self._take()

    def _forget(self, connection):
        for connections in (self.fresh, self.unused, self.partial):
            connections.pop(connection, None)

    def _put(self, connection, connections):
        """From now on it is the newest of these, and none of the others."""
        self._forget(connection)
        connection.since = self.loop.time()
        connections[connection] = None

    def reading(self, connection):
        if connection not in self.partial:
            self._put(connection, self.partial)

    def begun(self, connection):
        """A whole req came in on it."""
        connection.busy = True
        self._forget(connection)

    def ended(self, connection):
        """Its req was answered, to the last byte."""
        connection.busy = False
        if connection.transport is not None:
            self._put(connection, self.unused)
            if len(self.unused) > self.limits.clients_unused:
                self._drop_first(self.unused, 0.0, "too_many_unused")

    def drop_unused(self):
        for connection in (*self.fresh, *self.unused):
            if connection.silent():
                self._forget(connection)
                connection.drop()

    def stop_listening(self):
        if self.listener is not None:
            # What the machine has accepted for us is taken: else the reqs on it would be lost with the listener.
            while self.open < self.limits.clients and self._accept():
                pass
            self.loop.remove_reader(self.listener)
            self.sweeper.cancel()
            self.listener.close()
            self.listener = None
