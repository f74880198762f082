"""What every server of clients' requests does alike: how a body is read, how a request that is none is refused, what a
fault of our own answers, which answer is the last on its connection."""

import asyncio

# `aiohttp.web` would bring in all that applications use: a fifteenth of the start.
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest

from .connections import Connections, Written
from .read import Malformed

NO_REQUEST = (Malformed, HTTPRequestEntityTooLarge, RequestPayloadError)  # what makes a request none of ours


async def ask_for_body(request):
    """A client that waits for a word to send its body gets that."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0


class RequestServer:
    """Serves requests with `_serve(request)`, which gives the response; `_fault` tells of an error in it."""

    def __init__(self, limits, report, counts):
        self.limits, self.report, self.counts = limits, report, counts
        self.number, self.waiting, self.stopping, self.connections = 0, {}, False, None

    def _open(self, host, port):
        self.connections = Connections(self._handle, self._request, self.limits, self.counts)
        self.connections.listen(host, port)

    def _request(self, message, payload, protocol, writer, task):
        if message.method == "UNKNOWN":  # what the library makes of bytes that are no message
            self.counts.add("malformed", "message")
        return BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=self.limits.body
        )

    async def _handle(self, request):
        try:
            return await self._serve(request)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            self.counts.add("faults")
            self._fault()
            return self._response(500)

    @staticmethod
    async def _body(request):
        """The whole body."""
        await ask_for_body(request)
        return await request.read() if request.body_exists else b""

    def _refused(self, why):
        """What is no request ends its connection: nothing behind it is read."""
        self.counts.add("malformed", str(why) if isinstance(why, Malformed) else "body")
        response = self._response(getattr(why, "status", 400))
        response.force_close()
        return response

    def _response(self, status, body=b"", headers=None, written=lambda: None):
        """`written` is called once the answer is out."""
        response = Written(written, status=status, body=body, headers=headers)
        if self.stopping:
            response.force_close()
        return response
