"""A gateway on loopback sockets between a scripted client and stand-in workers: its own process code, without datagrams."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from fernyard.cluster.common import settings
from fernyard.cluster.common.messages import NO_VERSION, ConfigurationUpdate, RegistryUpdate, Worker
from fernyard.cluster.data_plane import events
from fernyard.cluster.data_plane.process import DataPlane
from fernyard.lab.runner import free_port

from .test_configuration import SETTINGS_FIELDS
from .test_router import plan, route

HOST = "127.0.0.1"
OK = "HTTP/1.1 200 OK"


def head(status_line, id, *headers):
    """The beginning of a worker's answer."""
    lines = [status_line, f"Attempt-Id: {id}", *headers] if id is not None else [status_line, *headers]
    return "\r\n".join(lines).encode() + b"\r\n"


def answer(id, body=None, status="200 OK", *headers):
    """A worker's whole answer; its body names the request, so that a wrong one shows."""
    body = f"body of {id}".encode() if body is None else body
    seal = ("Worker-Seal: s",) if status.startswith("2") else ()
    return head(f"HTTP/1.1 {status}", id, *seal, f"Content-Length: {len(body)}", *headers) + b"\r\n" + body


class Request:
    """What a stand-in worker read."""

    def __init__(self, lines, body):
        self.method, self.path, _ = lines[0].split(" ", 2)
        self.headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        self.id, self.body = self.headers["Attempt-Id"], body


class StandInWorker:
    """Answers by `script(worker, request, writer)`, a coroutine that says how the connection goes on: False ends it."""

    def __init__(self, script):
        self.script, self.requests, self.ran, self.connections, self.writers = script, [], [], 0, []

    async def open(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        writer.number, writer.reader = self.connections, reader
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                length = next((int(line[15:]) for line in lines if line.lower().startswith("content-length:")), 0)
                request = Request(lines, await reader.readexactly(length))
                self.requests.append(request)
                if await self.script(self, request, writer) is False:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Gateway:
    """`ask` sends one request on a connection of its own or on a kept one."""

    def __init__(self, workers, limits, memory_mb=300.0):
        self.limits = limits
        caps = {"linkMbps": 1000.0, "maxFds": 1000, "memMb": memory_mb}
        told = settings.parse({**SETTINGS_FIELDS, "caps": caps, "zones": {"z": "r"}})
        self.plane, self.port, self.workers, self.number = DataPlane(told), free_port(), workers, 0

    def configure(self, version=5, **fields):
        self.plane.handle_event(events.ConfigurationChanged(ConfigurationUpdate(version, plan(version, **fields), [])))

    def start(self):
        # Without a rest after each answer: else whether a connection is used again goes by time.
        self.plane.workers.limits = replace(self.plane.limits, worker_rest=0.0, **self.limits)
        self.plane.workers.start()
        self.plane.listener.listen((HOST, self.port))
        hosts = {"h.example": [route("read", "/r/"), route("write", "/w/", "mutating")]}
        self.configure(hosts=hosts, keys={"k": 0})
        known = {f"w{n}": Worker(f"w{n}", "s", f"{HOST}:{w.port}", "z", 50, False) for n, w in enumerate(self.workers)}
        self.plane.handle_event(events.RegistryChanged(RegistryUpdate(NO_VERSION, (1, 1), known, {}, self.plane.now())))

    def head(self, id, path, method="POST", body=b"", left=2000, **headers):
        told = {"Host": "h.example", "Attempt-Id": id, "Deadline-Ms": left, "Key": "k", "Content-Length": len(body)}
        told |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in told.items() if value is not None)
        return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body

    async def ask(self, id=None, path="/w/x", connection=None, **fields):
        """(status, headers, body); status 0 where the connection ended without a whole answer."""
        self.number += 1
        reader, writer = connection or await asyncio.open_connection(HOST, self.port)
        writer.write(self.head(id or f"id-{self.number}", path, **fields))
        try:
            return await read_answer(reader, fields.get("method"))
        finally:
            if connection is None:
                writer.close()


async def read_answer(reader, method=None):
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:] if line)}
        length = 0 if method == "HEAD" else int(headers.get("content-length", 0))
        return int(lines[0].split()[1]), headers, await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        return 0, {}, b""


@asynccontextmanager
async def gateway(*scripts, memory_mb=300.0, **limits):
    """A gateway that serves, with a worker for each script; `limits`: those of connections to workers that differ."""
    workers = [await StandInWorker(script).open() for script in scripts]
    made = Gateway(workers, limits, memory_mb)
    made.start()
    try:
        yield made
    finally:
        for worker in workers:
            worker.server.close()
            for writer in worker.writers:
                writer.close()
        await made.plane.listener.close(made.plane.now())
        await made.plane.workers.close()
