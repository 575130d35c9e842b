"""The bytes of a message on their way from one connection to another."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final

import attrs

KEEP_BYTES: Final = 524288  # a body up to here can be sent a second time
HIGH_WATER_BYTES: Final = 131072  # unread bytes beyond which reading pauses


class BodyBroken(Exception):
    """Report that a body ended before it was whole."""


def _ignore(*, pause: bool) -> None:
    """Leave a source that cannot be paused alone."""


@attrs.define(eq=False)
class Body:
    """Buffer a body; keep it whole while it is small, else let it stream.

    >>> body = Body()
    >>> body.feed(b'ab')
    >>> body.finish()
    >>> body.complete, body.size, body.whole()
    (True, 2, b'ab')
    """

    keep_bytes: int = KEEP_BYTES
    pause_source: Callable[..., None] = _ignore
    size: int = 0
    complete: bool = False
    broken: bool = False
    _pieces: list[bytes] = attrs.field(factory=list)
    _taken: int = 0
    _dropped: bool = False
    _paused: bool = False
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be read from its start."""
        return not self._dropped

    def feed(self, piece: bytes) -> None:
        """Add bytes from the source."""
        self._pieces.append(piece)
        self.size += len(piece)
        unread = self.size - max(self._taken, self.keep_bytes)
        if unread > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self.pause_source(pause=True)
        self._changed.set()

    def finish(self) -> None:
        """Mark the body as whole."""
        self.complete = True
        self._changed.set()

    def fail(self) -> None:
        """Mark the body as broken off."""
        self.broken = not self.complete
        self._changed.set()

    def whole(self) -> bytes:
        """Give all bytes of a complete, kept body."""
        return b''.join(self._pieces)

    async def wait_filled(self) -> None:
        """Wait until the body is whole, broken or too large to be kept."""
        while not (self.complete or self.broken):
            if self.size > self.keep_bytes:
                return
            self._changed.clear()
            await self._changed.wait()

    async def read(self) -> AsyncIterator[bytes]:
        """Give the pieces in order; raise ``BodyBroken`` if they end early."""
        if self._dropped:
            raise BodyBroken('the start of the body is no longer kept')
        index = 0
        while True:
            while index < len(self._pieces):
                piece = self._take(index)
                index += 1
                yield piece
            if self.complete:
                return
            if self.broken:
                raise BodyBroken(f'ended after {self.size} bytes')
            self._changed.clear()
            await self._changed.wait()

    def _take(self, index: int) -> bytes:
        piece = self._pieces[index]
        self._taken += len(piece)
        if self.size > self.keep_bytes:
            self._pieces[index] = b''
            self._dropped = True
        if self._paused and self.size - self._taken < HIGH_WATER_BYTES:
            self._paused = False
            self.pause_source(pause=False)
        return piece
