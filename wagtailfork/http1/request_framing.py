"""Ends of requests within the bytes of a connection, and their overhead."""

from typing import Final

import attrs

# Blank lines between requests, chunk sizes with extensions and trailers.
MAX_OVERHEAD_BYTES: Final = 65536
_CHUNK_FRAMING_BYTES: Final = 8  # allowed for each byte of a chunk
_SIZE_BASE: Final = 16  # of the size of a chunk
_BLANK: Final = b'\r\n'
_HEAD_END: Final = b'\r\n\r\n'


@attrs.define
class RequestFraming:
    """Cut received bytes into pieces that belong to one request each.

    The parser doesn't tell where in its input a request ends. What has no known
    length ends with a line, so it is cut into lines.

    >>> framing = RequestFraming()
    >>> raw = b'GET /a HTTP/1.1' + _HEAD_END + b'GET /b'
    >>> framing.piece_end(raw, 0), framing.piece_end(raw, 19), len(raw)
    (19, 25, 25)
    >>> framing.take(b'GET /b', limit_bytes=10)
    6
    >>> framing.take(b' HTTP/1.1', limit_bytes=10), framing.head_bytes
    (4, 15)
    """

    head_bytes: int = 0  # of the incomplete head
    _chunked: bool = False  # within a chunked body
    _left: int = 0  # of a body of known length, or of a chunk
    _line: bytearray = attrs.field(factory=bytearray)  # of a chunked body
    _overhead_bytes: int = 0

    @property
    def excessive(self) -> bool:
        """Return whether too much of what was received carries nothing."""
        return self._overhead_bytes > MAX_OVERHEAD_BYTES

    def piece_end(self, raw: bytes, start: int) -> int:
        """Return where the piece that begins at ``start`` ends."""
        if self._left:
            return min(start + self._left, len(raw))
        between = not (self._chunked or self.head_bytes)
        if between and raw[start] not in _BLANK:
            end = raw.find(_HEAD_END, start)
            if end >= 0:
                return end + len(_HEAD_END)
        return raw.find(b'\n', start) + 1 or len(raw)

    def take(self, piece: bytes, limit_bytes: int) -> int:
        """Count a piece; return how much of it a head may still have.

        All of a piece that belongs to no head may be parsed.
        """
        size = len(piece)
        if self._left:
            self._left -= size
            self._overhead_bytes -= _CHUNK_FRAMING_BYTES * size
            return size
        if self._chunked:
            if self._line.endswith(b'\n'):
                self._line.clear()
            self._line += piece
            self._overhead_bytes += size
            return size
        blank = 0
        if not self.head_bytes:
            blank = size - len(piece.lstrip(_BLANK))
            self._overhead_bytes += blank
        room = limit_bytes - self.head_bytes
        self.head_bytes += size - blank
        return min(blank + room, size)

    def start_body(self, length: int | None) -> None:
        """Count a body of this length, or a chunked one, after its head."""
        self.head_bytes = 0
        self._overhead_bytes = 0
        self._line.clear()
        self._chunked = length is None
        self._left = length or 0

    def start_chunk(self) -> None:
        """Count a chunk, whose size is in the last line."""
        self._left = int(self._line.partition(b';')[0], _SIZE_BASE)

    def finish(self) -> None:
        """Expect the next request."""
        self.start_body(0)
