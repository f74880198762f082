"""Bodies of requests and answers in memory: read into one buffer each, within a `MemoryBudget`, and written in slices.

What has no room is not read: the flow control of its connection holds its sender up.
"""

import asyncio
import weakref
from collections.abc import AsyncIterable

import attrs
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

from .memory_budget import SMALL_BODY, Claim, MemoryBudget, NoRoomError

SLICE = 1 << 18  # bytes written at once


class TooLongError(Exception):
    """A body is longer than it may be."""


class Body(bytearray):
    """The bytes of a body. Its claim is released when the last reference to it is gone."""

    __slots__ = ("__weakref__",)


@attrs.frozen
class BodyReader:
    """Reads bodies of one kind. `most`: bytes of a body; `patience`: seconds for which one waits for room, None: without end."""

    budget: MemoryBudget
    most: int
    patience: float | None = None

    async def read(self, pieces: AsyncIterable[bytes], length: int | None) -> Body:
        """The whole body. `pieces`: of it, as they come; `length`: bytes, as its head tells; None where it doesn't.

        Raises TooLongError, and NoRoomError where there is no room in time.
        """
        if length is not None and length > self.most:
            raise TooLongError(f"{length} bytes are more than {self.most}")
        held = _HeldClaim(self.budget, await self._claim(SMALL_BODY if length is None else length))
        body = Body(length or 0)
        weakref.finalize(body, held.release).atexit = False
        if length is None:
            await self._read_unknown(pieces, body, held)
        else:
            await _read_known(pieces, body)
        return body

    async def _read_unknown(self, pieces: AsyncIterable[bytes], body: Body, held: "_HeldClaim") -> None:
        """One that doesn't tell its length claims the most that it may have once it is no longer small: several that grew step by step
        could wait for each other."""
        async for piece in pieces:
            if len(body) + len(piece) > self.most:
                raise TooLongError(f"more than {self.most} bytes came")
            if held.claim.is_small and len(body) + len(piece) > SMALL_BODY:
                held.release()
                held.claim = await self._claim(self.most)
            body += piece
        self.budget.shrink(held.claim, len(body))

    async def _claim(self, size: int) -> Claim:
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_granted() -> None:
            if not granted.done():
                granted.set_result(None)

        claim = self.budget.claim(size, on_granted)
        if claim.is_granted:
            return claim
        try:
            async with asyncio.timeout(self.patience):
                await granted
        except TimeoutError:
            self.budget.release(claim)
            raise NoRoomError(f"no room for {size} bytes within {self.patience} s") from None
        except asyncio.CancelledError:
            self.budget.release(claim)
            raise
        return claim


@attrs.define
class _HeldClaim:
    """The claim of one body, which may be another one later."""

    budget: MemoryBudget
    claim: Claim

    def release(self) -> None:
        self.budget.release(self.claim)


async def _read_known(pieces: AsyncIterable[bytes], body: Body) -> None:
    """Into a buffer that has the length of all, so that nothing is copied as it grows."""
    end = 0
    async for piece in pieces:
        body[end : end + len(piece)] = piece
        end += len(piece)
    del body[end:]


class BodyPayload(Payload):
    """Writes a body in slices, so that no second copy of it waits to be written."""

    _default_content_type = "application/octet-stream"

    def __init__(self, body: bytes | bytearray) -> None:
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """The body as text."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Called by aiohttp to write the body."""
        view = memoryview(self._value)
        for begin in range(0, len(view), SLICE):
            await writer.write(view[begin : begin + SLICE])
