"""Dispatches on aiohttp's client: no redirects, no cookies, nothing decoded, nothing sent a second time."""

import asyncio
from dataclasses import dataclass

import aiohttp
import structlog
from multidict import CIMultiDict
from yarl import URL

from ..interface import End
from .connections import Attempt, Connector, attempt

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class Outcome:
    """How a dispatch ended; times in tenths of a millisecond."""

    number: int
    dispatch: int
    worker: str
    end: End
    took: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()  # as they came
    status: int = 0  # of the worker's answer, 0 where there was none whole
    sent: bool = True  # False: no connection was had, so no byte was written


class Broken(aiohttp.ClientError):
    """A connection broke after it was up: the req may have run. (A class of our own: the client would send
    a replayable req again by itself, had it broken with one of its own.)"""


class NeverUp(aiohttp.ClientError):
    """No connection was had: nothing was written."""


async def _once(request, handler):
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as why:
        raise NeverUp(str(why)) from None
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as why:
        raise Broken(str(why)) from None


class WorkerPool:
    ID_HEADER = None  # names a request on its connection, where the protocol has such a header

    def __init__(self, limits, report):
        self.limits, self.report, self.out = limits, report, {}
        self.connector = self.session = None

    def start(self):
        self.connector = Connector(self.limits, self.ID_HEADER)
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.limits.connect),
            middlewares=(_once,),
            max_line_size=self.limits.answer_head,
            max_field_size=self.limits.answer_head,
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
        )

    def send(self, number, dispatch, worker, address, req, limit):
        """Writes `req` to the worker at `address` and reports one Outcome, after `limit` at the latest."""
        loop = asyncio.get_running_loop()
        began, made = loop.time(), Attempt()
        task = loop.create_task(self._dispatch(number, dispatch, worker, address, req, limit, made))
        timer = loop.call_later(limit / 10_000, self._late, number, dispatch)
        self.out[number, dispatch] = (task, timer, worker, began, made)

    def give_up(self, number, dispatch, end=End.CANCELLED):
        """Stops waiting: the connection is closed."""
        task = self._over(number, dispatch, end)
        if task is not None:
            task.cancel()

    def _late(self, number, dispatch):
        self.give_up(number, dispatch, End.TIMEOUT)

    def _over(self, number, dispatch, end, body=b"", headers=(), status=0):
        """The one place where a dispatch ends: the first to tell of it counts."""
        out = self.out.pop((number, dispatch), None)
        if out is None:
            return None
        task, timer, worker, began, made = out
        timer.cancel()
        took = int((asyncio.get_running_loop().time() - began) * 10_000)
        self.report(Outcome(number, dispatch, worker, end, took, body, headers, status, made.sent))
        return task

    async def _dispatch(self, number, dispatch, worker, address, req, limit, made):
        attempt.set(made)
        headers = self._headers(req, worker, address, limit)
        authority = self.connector.names.authority(worker, address)
        if self.connector.open >= self.limits.workers:
            headers["Connection"] = "close"
        try:
            async with self.session.request(
                req.method,
                URL.build(scheme="http", authority=authority, path=req.path, encoded=True),
                headers=headers,
                data=self._payload(req),
                allow_redirects=False,
            ) as answer:
                body = await self._body(answer)
                end = End.ERROR if body is None else self._end(req, answer)
                if end is End.RESET:  # not this request's answer: nothing of it goes on
                    return self._over(number, dispatch, end)
                self._over(number, dispatch, end, body or b"", answer.raw_headers, 0 if body is None else answer.status)
        except NeverUp:
            self._over(number, dispatch, End.NO_CONNECTION)
        except aiohttp.ClientError:
            self._over(number, dispatch, End.RESET)
        except asyncio.CancelledError:
            self._over(number, dispatch, End.CANCELLED)
            raise
        except Exception:
            log.exception("dispatch_fault", address=address)
            self._over(number, dispatch, End.RESET)

    @staticmethod
    def _payload(req):
        """What is written as the body; nothing for none."""
        return req.body or None

    def _headers(self, req, worker, address, limit):
        """The headers that a worker gets."""
        headers = CIMultiDict(req.headers)
        headers["Host"] = address
        headers["X-Time-Left"] = f"{limit / 10_000:.4f}"
        return headers

    def _end(self, req, answer):
        """How a dispatch with a whole answer ended."""
        if answer.status == 200:
            return End.PASSED
        full = answer.status in (503, 504) and answer.headers.get("X-Unprocessed") == "1"
        return End.FULL if full else End.ERROR

    async def _body(self, answer):
        """The whole body, or nothing where it is longer than may be: its connection is closed."""
        if (answer.content_length or 0) <= self.limits.answer_body:
            chunks, size = [], 0
            while not answer.content.at_eof():
                chunk = await answer.content.readany()
                chunks.append(chunk)
                size += len(chunk)
                if size > self.limits.answer_body:
                    break
            else:
                return chunks[0] if len(chunks) == 1 else b"".join(chunks)
        answer.close()
        return None

    async def close(self):
        await self.session.close()
