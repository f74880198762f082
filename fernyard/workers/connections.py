"""The connections to workers: each belongs to one worker, and an answer on it is read to its last byte and no
further. What comes behind, or with no req out, is nobody's answer: its connection is not used again."""

import re
import socket
from collections import deque
from contextvars import ContextVar

import aiohttp
from aiohttp.abc import AbstractResolver
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

from ..sockets import bound, unread

LENGTH = re.compile(rb"\r\nContent-Length:[ \t]*([0-9]{1,15})[ \t]*(?=\r\n)", re.IGNORECASE)
CODED = re.compile(rb"\r\nTransfer-Encoding:", re.IGNORECASE)
EARLY = re.compile(rb"HTTP/1\.1 1(?!01)[0-9][0-9] ")  # more is to come, with no time told
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")
NO_BODY = re.compile(rb"HTTP/1\.[01] (?:204|304)")
LAST_CHUNK = b"\r\n\r\n"  # how every chunked body ends
IDS_KEPT = 64  # ids of requests that one connection remembers to have carried


def ends_chunks(data):
    """A chunked body ends there, and nothing that came with it stands behind."""
    return data.endswith(LAST_CHUNK)


class Attempt:
    """What is known of one request on its way to a worker. `sent`: a connection was had, so bytes may be out; `connection`:
    that connection."""

    __slots__ = ("connection", "sent")

    def __init__(self):
        self.sent, self.connection = False, None

    def abort(self):
        """Resets its connection, if it has one: what is not written yet is dropped, where closing would write it first."""
        if self.connection is not None:
            self.connection.abort()


attempt = ContextVar("attempt", default=None)  # of the task that asks for a connection


class Socket(socket.socket):
    """Tells its owner when it is closed, so that the descriptors in use are known."""

    owner = None

    def close(self):
        if self.owner is not None:
            self.owner.open -= 1
            self.owner = None
        super().close()


class Answers(ResponseHandler):
    """What comes on one connection. `due`: an answer is waited for; `left`: bytes of its body to come, as far
    as its head tells; `head`: what came of a head not yet whole."""

    due, used, span = False, 0.0, 0

    def __init__(self, loop, limits, idle):
        super().__init__(loop)
        self.limits, self.idle = limits, idle
        self.ids = deque(maxlen=IDS_KEPT)

    def set_response_params(self, **told):
        super().set_response_params(**told)
        self.due, self.left, self.head, self.end = True, None, b"", b""

    def data_received(self, data):
        if not data:  # the library reads on in what it holds
            return super().data_received(data)
        if not self.due:
            if self.used:
                self.idle.stray(self._loop.time(), self._loop.time() - self.used)
            return self.transport is None or self.transport.abort()
        while data and self.due:
            data = self._read_head(data) if self.left is None else self._read_body(data)
        # Where a bound is set, an answer that has begun and pauses for longer has lost its end.
        has_begun = self.due and (self.head or self.left is not None)
        self.read_timeout = (self.limits.answer or None) if has_begun else None
        self.start_timeout()
        if not self.due:
            self.used = self._loop.time()
            self.idle.tell(self.span, False)
        if self._exception is not None and self._payload is not None:
            # The library tells those who read the body nothing of what cannot be read further on.
            set_exception(self._payload, aiohttp.ClientPayloadError("unreadable"))
        if not self.due and data:
            self.force_close()

    def _read_head(self, data):
        self.head += data
        end = self.head.find(b"\r\n\r\n") + 4
        if end < 4:
            if len(self.head) > self.limits.answer_head or self.head[:7] != b"HTTP/1."[: len(self.head)]:
                self.due = False
                super().data_received(b"\0")  # no head: the library fails the dispatch and closes
            return b""
        head, data, self.head = self.head[:end], self.head[end:], b""
        if len(STATUS_LINE.findall(head)) != 1:
            head = b"\0"  # the beginning of one answer and the rest of another: whose it is cannot be told
        super().data_received(head)
        if not EARLY.match(head):
            self.left = self._body_length(head)
            self.due = self.left > 0 and self._exception is None
        return data

    def _body_length(self, head):
        """Bytes of the body to come, as far as the head tells."""
        if self._skip_payload or NO_BODY.match(head):
            return 0
        lengths = LENGTH.findall(head)
        told = len(lengths) == 1 and not CODED.search(head)
        return int(lengths[0]) if told else float("inf")

    def _read_body(self, data):
        piece = data if self.left >= len(data) else data[: self.left]
        super().data_received(piece)
        self.left -= len(piece)
        if self.left == float("inf") and self._payload is not None and self._payload.is_eof():
            # The last chunk came. Without this its connection stayed due, failed while idle, and the next request on it with it.
            self.left = 0
            if not ends_chunks(self.end + piece):
                self.force_close()  # the library read part of something behind it
        self.end = piece[-len(LAST_CHUNK) :]
        self.due = self.left > 0 and self._exception is None
        return data[len(piece) :]

    def connection_lost(self, why):
        if self.due and why is not None:
            self.due = False
            self.idle.tell(self.span, True)
        super().connection_lost(why)

    def resting(self):
        """A second answer to the req before may still come: it would be taken for the next req's."""
        now = self._loop.time()
        return bool(self.used) and now - self.used < self.idle.rest(now)

    def usable(self):
        """Nothing came on it, not even its end, that was not read; and it stood idle for no longer than goes
        well."""
        self.span = self.idle.span(self._loop.time() - self.used) if self.used else 0
        return not (self.span and self.idle.shuns(self.span)) and not unread(self.transport)


class Names(AbstractResolver):
    """Each worker is a host of its own: one that comes to the address of another shares no connection."""

    def __init__(self, most):
        self.known, self.addresses, self.most, self.number = {}, {}, most, 0

    def authority(self, worker, address):
        """The host and port that lead to `worker` at `address`."""
        known = self.known.get((worker, address))
        if known is None:
            if len(self.known) >= self.most:
                del self.addresses[self.known.pop(next(iter(self.known))).partition(":")[0]]
            self.number += 1
            host, (far, _, port) = f"worker-{self.number}", address.rpartition(":")
            self.addresses[host] = far
            known = self.known[worker, address] = f"{host}:{port}"
        return known

    async def resolve(self, host, port=0, family=socket.AF_INET):
        return [
            {
                "hostname": host,
                "host": self.addresses[host],
                "port": port,
                "family": family,
                "proto": 0,
                "flags": socket.AI_NUMERICHOST,
            }
        ]

    async def close(self):
        pass


class Idle:
    """How long a connection may have stood idle: workers' machines drop some sooner than told, unheard.
    For each span of idle time: the reqs written after it and those of them that broke, of late. A span is
    shunned while its part is well above that of connections just made or just used."""

    SPANS, FADE, LEAST, WORSE = (0.03, 0.1, 0.3, 1.0, 3.0, 10.0), 0.97, 6.0, 0.08
    LONGEST_REST, REMEMBERED = 0.1, 60.0

    def __init__(self, rest=0.0):
        """`rest`: for how long a connection is let alone after each answer, in seconds, since a second one may come some
        milliseconds behind it; twice the longest seen of late where they come later."""
        self.told, self.least = [[0.0, 0.0] for _ in (*self.SPANS, None)], rest
        self.behind, self.seen = 0.0, 0.0  # the latest second answer, and when one was seen last

    def stray(self, now, behind):
        """Something came on a connection that owed nothing, so long after its answer."""
        self.behind = max(behind, self.behind if now - self.seen < self.REMEMBERED else 0.0)
        self.seen = now

    def rest(self, now):
        late = 2 * self.behind if now - self.seen < self.REMEMBERED else 0.0
        return max(self.least, min(self.LONGEST_REST, late))

    def span(self, idle):
        return sum(idle >= span for span in self.SPANS)

    def tell(self, span, broke):
        told = self.told[span]
        told[0], told[1] = told[0] * self.FADE + 1.0, told[1] * self.FADE + broke

    def shuns(self, span):
        (reqs, broke), (usual, usually) = self.told[span], self.told[0]
        if reqs < self.LEAST or broke / reqs < usually / max(1.0, usual) + self.WORSE:
            return False
        self.told[span] = [reqs * 0.99, broke * 0.99]  # it is tried again at times
        return True


class Connector(aiohttp.TCPConnector):
    """Counts the descriptors it has open; gives out the connection used last, and none on which something
    waits unread or that has stood idle for too long."""

    def __init__(self, limits, id_header=None):
        """`id_header`: names a request; a connection that carried one of that name does not carry another."""
        self.names, self.idle, self.open = Names(limits.workers_known), Idle(limits.worker_rest), 0
        self.buffer, self.id_header = limits.buffer, id_header
        super().__init__(
            limit=0,
            socket_factory=self._socket,
            keepalive_timeout=limits.worker_idle,
            ssl=False,
            family=socket.AF_INET,
            happy_eyeballs_delay=None,
            resolver=self.names,
            use_dns_cache=False,
        )
        # The library has no other way to name it.
        self._factory = lambda: Answers(self._loop, limits, self.idle)

    def _socket(self, info):
        made = Socket(*info[:3])
        made.owner, self.open = self, self.open + 1
        bound(made, self.buffer)
        return made

    async def _get(self, key, traces):
        """The kept connection used last, or the one that has stood longest where that one rests; none where all do."""
        kept = self._conns.get(key)
        if kept:
            kept.rotate(1)  # the library takes the one that has stood longest
            if kept[0][0].resting():
                kept.rotate(-1)
                if kept[0][0].resting():
                    return None  # another is opened
        return await super()._get(key, traces)

    async def connect(self, req, *told, **named):
        id = req.headers.get(self.id_header) if self.id_header else None
        while True:
            connection = await super().connect(req, *told, **named)
            protocol = connection.protocol
            if protocol.usable() and (id is None or id not in protocol.ids):
                break
            connection.close()
        protocol.ids.append(id)
        if (asking := attempt.get()) is not None:
            asking.sent, asking.connection = True, protocol
        return connection
