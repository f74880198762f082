"""Emulated clients, open loop: a late answer delays no other request. They keep connections and use them until the process at the
other end is gone, heed `Connection: close`, try again by the page's rules, and leave at every stage."""

import asyncio
import json
from collections.abc import Callable
from random import Random

import attrs

from .processes import Processes
from .records import Ending, Records, Try
from .schedule import IN_ANSWER, INCOMPLETE, PATIENCE, SENT, STAYS, Arrival
from .workers import body_of, seal_of

HOST_NAME = "soak.example"
KEYS = {"free": "key-of-free", "limited": "key-of-limited"}
REPEATABLE = ("read", "large")
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
MOST_TRIES = 4
CONNECT_LIMIT, RESOLVE_LIMIT = 1.0, 1.0
MIN_BACKOFF = 0.1  # before a try again, where no `Retry-After` says more
MAX_IDLE = 4  # connections that one client keeps
LONGEST_HEAD = 1 << 20  # bytes that are read before an answer's head has to end
BODY = b"what is asked, with a body of its own\n" * 8


class BrokenOffError(Exception):
    """A connection ended without a complete answer."""


@attrs.define(eq=False)
class Connection:
    """One connection of a client to a gateway. `used`: it has carried a request."""

    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False

    def end(self) -> None:
        """Closes it, as one that leaves."""
        self.writer.transport.abort()


@attrs.define
class Answer:
    """A complete answer; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Raises BrokenOffError where the connection ends before the answer does."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(int(lines[0].split()[1]), headers, body)
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError) as error:
        raise BrokenOffError(str(error)) from error


async def http_call(ip: str, port: int, request: bytes) -> Answer:
    """One request on a connection of its own. Raises OSError and BrokenOffError."""
    reader, writer = await asyncio.open_connection(ip, port, limit=LONGEST_HEAD)
    try:
        writer.write(request)
        return await read_answer(reader)
    finally:
        writer.close()


class Client:
    """One client: its connections, and the gateways it was told of."""

    def __init__(self, number: int, run: Processes, records: Records, now: Callable[[], float]) -> None:
        self.number, self.run, self.records, self.now = number, run, records, now
        self.random = Random(f"client {run.description.name} {number}")
        self.idle: list[Connection] = []
        self.gateways: list[str] = []
        self.resolved_until = 0.0
        self.tries = 0

    # Where to go -----------------------------------------------------------------------------------------------------

    async def _resolve(self) -> None:
        """Asks up to three control planes; without an answer the old one stays."""
        if self.now() < self.resolved_until:
            return
        zone = f"z{self.number % 3}"
        controls = self.random.sample(self.run.controls, min(3, len(self.run.controls)))
        for control in controls:
            try:
                answer = await asyncio.wait_for(self._ask(control.ip, zone), RESOLVE_LIMIT)
                told = json.loads(answer.body) if answer.status == 200 else {}
            except (OSError, TimeoutError, BrokenOffError, ValueError):
                continue
            if told.get("addrs"):
                self.gateways = [address.rpartition(":")[0] for address in told["addrs"]]
                self.resolved_until = self.now() + float(told["ttlS"])
                return

    async def _ask(self, ip: str, zone: str) -> Answer:
        path = f"/-/resolve?name={HOST_NAME}&region=r{zone[1:]}&zone={zone}"
        request = f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nConnection: close\r\n\r\n"
        return await http_call(ip, self.run.ports.directory, request.encode())

    async def _connect(self, fresh: bool) -> Connection | None:
        if self.idle and not fresh:
            return self.idle.pop()
        await self._resolve()
        if not self.gateways:
            return None
        gateway = self.random.choice(self.gateways)
        try:
            opening = asyncio.open_connection(gateway, self.run.ports.front)
            reader, writer = await asyncio.wait_for(opening, CONNECT_LIMIT)
        except (OSError, TimeoutError):
            return None
        return Connection(gateway, reader, writer)

    # Requests --------------------------------------------------------------------------------------------------------

    async def play(self, arrival: Arrival) -> None:
        """One request with all of its tries."""
        deadline, fresh, leaves = self.now() + PATIENCE, arrival.fresh, arrival.leaves
        for number in range(MOST_TRIES):
            connection = await self._connect(fresh)
            backoff = MIN_BACKOFF * (number + 1)
            if connection is not None:
                made = await self._try(arrival, connection, deadline, leaves, number > 0)
                if not self._may_try_again(arrival, made):
                    return
                backoff = max(backoff, made.retry_after)
            if self.now() + backoff >= deadline:
                return
            await asyncio.sleep(backoff)
            fresh, leaves = True, STAYS

    def _may_try_again(self, arrival: Arrival, made: Try) -> bool:
        if made.ending is Ending.LEFT or made.status in FINAL or 200 <= made.status < 300:
            return False
        if arrival.kind in REPEATABLE:
            return True
        return made.ending is Ending.ANSWERED and made.status in PROMISES

    async def _try(self, arrival: Arrival, connection: Connection, deadline: float, leaves: str, repeat: bool) -> Try:
        self.tries += 1
        id = f"{self.number:04x}{arrival.number:06x}{self.tries:06x}"
        gateway = next((g.name for g in self.run.gateways if g.ip == connection.gateway), connection.gateway)
        made = Try(id, arrival.kind, arrival.tenant, gateway, self.now(), deadline, connection.used, repeat)
        self.records.tries.append(made)
        connection.used = True
        try:
            await asyncio.wait_for(self._exchange(arrival, made, connection, leaves), max(0.01, deadline - self.now()))
        except TimeoutError:
            self._finish(made, Ending.SILENT, connection)
            made.left_at = made.ended_at
        except (BrokenOffError, OSError):
            self._finish(made, Ending.CLOSED, connection)
        return made

    async def _exchange(self, arrival: Arrival, made: Try, connection: Connection, leaves: str) -> None:
        data = self._request(arrival, made)
        if leaves == INCOMPLETE:
            connection.writer.write(data[:-5])
            await asyncio.sleep(arrival.after / 4)
            self._leave(made, connection)
            return
        connection.writer.write(data)
        await connection.writer.drain()
        made.written_at = self.now()
        answer = await self._await_answer(connection, leaves, arrival.after)
        if answer is None:
            self._leave(made, connection)
        else:
            self._take(made, connection, answer)

    async def _await_answer(self, connection: Connection, leaves: str, patience: float) -> Answer | None:
        """None where the client leaves before it has the complete answer."""
        if leaves == IN_ANSWER:
            if not await connection.reader.read(32):
                raise BrokenOffError("ended before the answer")
            return None
        if leaves != SENT:
            return await read_answer(connection.reader)
        answering = asyncio.ensure_future(read_answer(connection.reader))
        done, _ = await asyncio.wait((answering,), timeout=patience)
        if done:
            return answering.result()
        answering.cancel()
        return None

    def _request(self, arrival: Arrival, made: Try) -> bytes:
        body = BODY if arrival.kind == "write" else b""
        method = "POST" if body or arrival.leaves == INCOMPLETE else "GET"
        body = body or (b"padding" if method == "POST" else b"")
        head = (
            f"{method} /{arrival.kind}/{arrival.number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {made.id}\r\n"
            f"Deadline-Ms: {max(1, int(1000 * (made.deadline_at - self.now())))}\r\nKey: {KEYS[arrival.tenant]}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _leave(self, made: Try, connection: Connection) -> None:
        made.left_at = self.now()
        self._finish(made, Ending.LEFT, connection)

    def _finish(self, made: Try, ending: Ending, connection: Connection) -> None:
        made.ending, made.ended_at = ending, self.now()
        connection.end()

    def _take(self, made: Try, connection: Connection, answer: Answer) -> None:
        made.ending, made.ended_at, made.status = Ending.ANSWERED, self.now(), answer.status
        made.wrong = wrong_with(made, answer)
        made.retry_after = min(float(answer.headers.get("retry-after", "0")), (made.deadline_at - self.now()) / 3)
        if answer.headers.get("connection", "").lower() == "close" or len(self.idle) >= MAX_IDLE:
            connection.end()
        else:
            self.idle.append(connection)

    def close(self) -> None:
        """Ends its connections."""
        for connection in self.idle:
            connection.end()


def wrong_with(made: Try, answer: Answer) -> str:
    """What shows that an answer is not that request's own; empty where nothing does."""
    worker = answer.headers.get("x-worker")
    if not 200 <= answer.status < 300:
        own = answer.headers.get("attempt-id", made.id)
        return "" if own == made.id else f"an answer to {own}"
    if worker is None or answer.headers.get("worker-seal") != seal_of(worker, made.id):
        return "no seal of its own"
    return "" if answer.body == body_of(worker, made.id, made.kind) else "not its own body"
