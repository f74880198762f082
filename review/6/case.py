"""A gateway gets SIGTERM while its workers pause for a second between two parts of their answers. TROUBLE=0: they don't pause."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from around_term import holds_around_term  # noqa: E402
from stage2 import TROUBLE, Run, Worker, main  # noqa: E402

WORK = 0.3  # seconds until the first part of an answer
SILENCE = 1.0 if TROUBLE else 0.0  # from there to the rest


class StreamingWorker(Worker):
    """Sound: tells the length, writes the first half of an answer, and the rest after `SILENCE`. It never breaks off."""

    async def work(self, run: Run, writer: asyncio.StreamWriter) -> None:
        body = self.body(run) * 20
        await asyncio.sleep(WORK)
        head = [f"Attempt-Id: {run.id}", f"Worker-Seal: {self.seal(run)}", f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *head]).encode() + b"\r\n\r\n" + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(SILENCE)
        writer.write(body[len(body) // 2 :])
        await writer.drain()


main(lambda: holds_around_term(Path(__file__).resolve().parent, StreamingWorker))
