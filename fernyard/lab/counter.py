"""An emulated shared counter on loopback, speaking RESP2 as the protocol page gives it: `CNT.ADD NAME AMOUNT
LIFE_MS` answers the new total as a bulk string; `PING`, `CLIENT` and `SELECT` cost nothing.

Its trouble is scripted: lost (connections refused), silent (calls read, never answered), slow (answers held
`delay` s), busy (`-BUSY`), fresh (an empty one in its place), stale (back with the values of an earlier
snapshot). A partition is two emulators, each seen by part of the fleet. Calls are parsed with hiredis.
"""

import asyncio
from dataclasses import dataclass, field

import hiredis

from .loopback import HOST

LONGEST_LIFE = 60.0


@dataclass(slots=True)
class CounterStore:
    """Totals by name, each with the time it lapses; free of I/O. Times in seconds, lives in milliseconds."""

    totals: dict = field(default_factory=dict)  # name -> [total, lapses at]
    generation: int = 0
    added: float = 0.0  # every amount added, for the runner's reckoning

    def add(self, now, name, amount, life_ms):
        """Adds `amount` to `name`; a lapsed or new name starts from 0 and lives `life_ms` (1 to 60,000)."""
        kept = self.totals.get(name)
        if kept is None or kept[1] <= now:
            kept = self.totals[name] = [0.0, now + min(max(life_ms, 1), LONGEST_LIFE * 1000) / 1000]
        kept[0] = round(kept[0] + amount, 7)
        self.added += amount
        return kept[0]

    def snapshot(self):
        return {name: list(kept) for name, kept in self.totals.items()}

    def restore(self, snapshot):
        self.totals = {name: list(kept) for name, kept in snapshot.items()}
        self.generation += 1

    def forget(self):
        self.totals = {}
        self.generation += 1


class EmulatedCounter:
    """A RESP2 counter at `HOST:port`. `mode` is one of "up", "lost", "silent", "slow", "busy"; `delay` is the
    hold of "slow" in seconds. `calls` counts CNT.ADD calls answered."""

    def __init__(self, port=0, store=None):
        self.port, self.store = port, store or CounterStore()
        self.mode, self.delay, self.calls = "up", 0.0, 0
        self.server, self.writers = None, set()

    async def start(self):
        await self._listen()
        return self

    async def _listen(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def set_mode(self, mode, delay=0.0):
        """Changes the counter's trouble; "lost" closes the listener and every connection."""
        if mode not in ("up", "lost", "silent", "slow", "busy"):
            raise ValueError(f"unknown counter mode {mode!r}")
        before, self.mode, self.delay = self.mode, mode, delay
        if mode == "lost" and before != "lost":
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
        elif before == "lost" and mode != "lost":
            await self._listen()

    def fresh(self):
        """An empty counter takes this one's place: every total starts anew."""
        self.store.forget()

    def stale(self, snapshot):
        """Back with old values: the totals of `snapshot` (from `store.snapshot()`)."""
        self.store.restore(snapshot)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        parser = hiredis.Reader()
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (call := parser.gets()) is not False:
                    answer = self._answer(loop.time(), call)
                    if self.mode == "silent":
                        continue
                    if self.mode == "slow" and self.delay > 0:
                        await asyncio.sleep(self.delay)
                    writer.write(answer)
        except (hiredis.ProtocolError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _answer(self, now, call):
        if not isinstance(call, list) or not call:
            return b"-ERR not a call\r\n"
        verb = call[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb != b"CNT.ADD" or len(call) != 4:
            return b"-ERR unknown call\r\n"
        if self.mode == "busy":
            return b"-BUSY\r\n"
        try:
            amount, life = float(call[2]), int(call[3])
        except ValueError:
            return b"-ERR bad number\r\n"
        self.calls += 1
        total = self.store.add(now, call[1].decode("latin-1"), amount, life)
        text = repr(total).encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)

    async def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
