"""Buffered message bodies, streamed between two connections."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Final

import attrs

from .read_ahead import ReadAhead

REPLAY_LIMIT_BYTES: Final = 524288  # larger bodies cannot be resent
# Unread, before the source is paused, or bytes of a shared buffer are taken.
HIGH_WATER_BYTES: Final = 131072
MIN_PIECE_BYTES: Final = 512  # smaller pieces are joined, to bound the memory


class BodyTruncated(Exception):
    """Report that a body ended early."""


def _ignore_pause(*, pause: bool) -> None:
    """Do nothing, for a source without flow control."""


@attrs.define(eq=False)
class Body:
    """Buffer a body; keep a small one for replay and stream a large one.

    >>> body = Body()
    >>> body.feed(b'ab')
    >>> body.finish()
    >>> body.complete, body.size, body.payload()
    (True, 2, b'ab')
    """

    replay_limit_bytes: int = REPLAY_LIMIT_BYTES
    pause_source: Callable[..., None] = _ignore_pause
    read_ahead: ReadAhead = attrs.field(factory=lambda: ReadAhead(0))
    size: int = 0
    complete: bool = False
    truncated: bool = False
    _pieces: list[bytes] = attrs.field(factory=list)
    _read_size: int = 0
    _read_pieces: int = 0
    _discarded: bool = False
    _paused: bool = False
    _borrowed: int = 0  # bytes of the shared buffer
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def replayable(self) -> bool:
        """Return whether the body can be read from its start."""
        return not self._discarded

    @property
    def kept(self) -> bool:
        """Return whether it is complete and small enough to be kept whole."""
        small = self.size <= self.replay_limit_bytes
        return small and self.complete and self.replayable

    def feed(self, piece: bytes) -> None:
        """Append bytes from the source."""
        if self._joins_last():
            self._pieces[-1] += piece
        else:
            self._pieces.append(piece)
        self.size += len(piece)
        unread = self.size - max(self._read_size, self.replay_limit_bytes)
        if unread > HIGH_WATER_BYTES and not self._paused:
            self._buffer_more(len(piece))
        self._changed.set()

    def finish(self) -> None:
        """Mark the body as complete; its source may deliver the next one."""
        self.complete = True
        self._resume_source()
        self._changed.set()

    def fail(self) -> None:
        """Mark the body as broken unless it is complete."""
        self.truncated = not self.complete
        self._changed.set()

    def release(self) -> None:
        """Give back what was taken of the shared buffer."""
        self.read_ahead.give_back(self._borrowed)
        self._borrowed = 0

    def payload(self) -> bytes:
        """Return all bytes of a complete, replayable body."""
        return b''.join(self._pieces)

    def start(self) -> Iterator[bytes]:
        """Yield the first bytes, as many as are kept for replay, unread.

        >>> body = Body(replay_limit_bytes=3)
        >>> body.feed(b'abcd')
        >>> list(body.start())
        [b'abc']
        """
        left = self.replay_limit_bytes
        for piece in self._pieces:
            yield piece[:left]
            left -= len(piece)
            if left <= 0:
                return

    async def wait_buffered(self, silence_s: float | None = None) -> None:
        """Wait until the body is complete, broken or too large for replay.

        Raise ``TimeoutError`` if nothing arrives for ``silence_s``.
        """
        while not (self.complete or self.truncated):
            if self.size > self.replay_limit_bytes:
                return
            self._changed.clear()
            async with asyncio.timeout(silence_s):
                await self._changed.wait()

    async def read(self) -> AsyncIterator[bytes]:
        """Yield pieces in order; raise ``BodyTruncated`` at an early end."""
        if self._discarded:
            raise BodyTruncated('the start of the body was already discarded')
        index = 0
        while True:
            while index < len(self._pieces):
                piece = self._read_piece(index)
                index += 1
                yield piece
            if self.complete:
                return
            if self.truncated:
                raise BodyTruncated(
                    f'body ended early, after {self.size} bytes'
                )
            self._changed.clear()
            await self._changed.wait()

    def _joins_last(self) -> bool:
        """Return whether the last piece is small and no reader has it."""
        if len(self._pieces) <= self._read_pieces:
            return False
        return len(self._pieces[-1]) < MIN_PIECE_BYTES

    def _read_piece(self, index: int) -> bytes:
        self._read_pieces = max(self._read_pieces, index + 1)
        piece = self._pieces[index]
        self._read_size += len(piece)
        if self.size > self.replay_limit_bytes:
            self._pieces[index] = b''
            self._discarded = True
        if self.size - self._read_size < HIGH_WATER_BYTES:
            self.release()
            self._resume_source()
        return piece

    def _buffer_more(self, size: int) -> None:
        if self.read_ahead.take(size):
            self._borrowed += size
            return
        self._paused = True
        self.pause_source(pause=True)

    def _resume_source(self) -> None:
        if self._paused:
            self._paused = False
            self.pause_source(pause=False)
