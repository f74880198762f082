"""A gateway is told to stop while a request that may run once at most is at its worker. The worker is silent for a moment in the
middle of its answer, well before the deadline; the gateway breaks the request off and answers it with a reply of its own."""

import asyncio
import hashlib
import signal
from dataclasses import dataclass, field
from pathlib import Path

from standins.http import BrokenOffError, Message, call
from standins.programs import BOUNDS
from standins.scene import BROKEN, HELD, HOST, KEY, NotRunError, Scene, main

REQUESTS = 6  # at the gateway when it is told to stop
DEADLINE = 4.0  # seconds that a client waits, and the timeout of the route
WORK = 0.4  # seconds until a worker begins its answer
SILENCE = 0.8  # seconds between the two halves of an answer
TERM_AT = 0.2  # seconds after the requests were sent
BODY = b"the hold is placed\n" * 100
SETTLING = BOUNDS["contactS"] + 1.0


@dataclass
class Answering:
    """What the workers of the second service did."""

    scene: Scene
    silence: float
    seals: dict[str, str] = field(default_factory=dict)

    async def serve(self, worker: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Runs requests and answers each in two halves; a closed connection ends it."""
        try:
            while True:
                id = await self._read(reader)
                await self._answer(worker, id, writer)
                self.scene.record.tell(f"{worker} has written its whole answer to {id}")
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> str:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        await reader.readexactly(int(headers.get("content-length", "0")))
        return headers["attempt-id"]

    async def _answer(self, worker: str, id: str, writer: asyncio.StreamWriter) -> None:
        self.scene.record.tell(f"{worker} runs {id}")
        self.seals[id] = hashlib.sha256(f"{worker} {id}".encode()).hexdigest()[:16]
        await asyncio.sleep(WORK)
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nWorker-Seal: {self.seals[id]}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        half = len(BODY) // 2
        writer.write(head.encode() + BODY[:half])
        await writer.drain()
        await asyncio.sleep(self.silence)
        writer.write(BODY[half:])
        await writer.drain()


async def send(scene: Scene, id: str) -> Message | None:
    """One request that may run once at most; None: no complete answer."""
    headers = {"Host": HOST, "Attempt-Id": id, "Deadline-Ms": str(int(1000 * DEADLINE)), "Key": KEY}
    gateway, sent_at = scene.system.gateways[0], scene.record.now()
    scene.record.tell(f"request {id} to {gateway.name}")
    answer: Message | None = None
    try:
        answer = await call(gateway.at("front"), "POST", f"/hold/{id}", headers, b"one copy", DEADLINE)
    except (OSError, TimeoutError, BrokenOffError) as error:
        scene.record.tell(f"request {id}: {error!r}")
    status = answer.status if answer is not None else "no answer"
    scene.record.tell(f"request {id} is answered {status} after {scene.record.now() - sent_at:.3f} s")
    return answer


async def play(scene: Scene) -> int:
    """What a worker was working on, and the gateway answered by itself, breaks the rule."""
    answering = Answering(scene, SILENCE if scene.trouble else 0.0)
    servers = []
    for number, worker in enumerate(scene.workers):
        if worker.service == "second":
            host, name = scene.system.worker_host(100 + number), f"{worker.id}-2"

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str = name) -> None:
                await answering.serve(name, reader, writer)

            server = await asyncio.start_server(serve, host, 0)
            servers.append(server)
            worker.id, worker.address = name, f"{host}:{server.sockets[0].getsockname()[1]}"
    status, _ = await scene.put(5, "main", hold="second")
    if status != 200:
        raise NotRunError("the configuration was not acknowledged")
    await asyncio.sleep(SETTLING)
    sending = [asyncio.ensure_future(send(scene, f"hold{number:012x}")) for number in range(REQUESTS)]
    await asyncio.sleep(TERM_AT)
    scene.system.gateways[0].send_signal(signal.SIGTERM)
    scene.record.tell(f"{scene.system.gateways[0].name} is told to stop")
    answers = await asyncio.gather(*sending)
    await asyncio.sleep(1.0)
    for server in servers:
        server.close()
    lost = 0
    for number, answer in enumerate(answers):
        id = f"hold{number:012x}"
        if id not in answering.seals:
            raise NotRunError(f"{id} reached no worker")
        complete = answer is not None and answer.status == 200 and answer.body == BODY
        lost += not complete
    scene.record.tell(f"{lost} of {REQUESTS} requests that a worker was working on have not got its answer")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, play)
