"""A body that is too long is refused for good."""

import asyncio
import socket

import testtools
from testtools.matchers import Equals

from fernyard.cluster.common.transport import serve

LIMIT = 1000  # bytes of a body


async def status_of(length: int) -> int:
    """The status of a call with so many bytes at a server that takes `LIMIT`."""

    async def handle(request):
        await request.read()
        return 200, b"", None

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    server = await serve(handle, address, LIMIT)
    reader, writer = await asyncio.open_connection(*address)
    head = f"PUT /-/config HTTP/1.1\r\nHost: operator\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    writer.write(head.encode() + b"x" * length)
    status = int((await reader.readline()).split()[1])
    writer.close()
    server.close()
    return status


class TestBodyLimit(testtools.TestCase):
    def test_a_body_that_is_too_long_gets_413(self):
        """A caller goes on for ever after a 5xx, and ends at once at 413 (PROTOCOL)."""
        for length, status in ((LIMIT, 200), (LIMIT + 1, 413)):
            self.assertThat(asyncio.run(status_of(length)), Equals(status), length)
