"""Read HTTP messages as the stand-ins of a soak do."""

import asyncio
from typing import Final

import attrs

_LINE_END: Final = b'\r\n'
_HEAD_END: Final = b'\r\n\r\n'
_HEX: Final = 16


@attrs.frozen
class Head:
    """Hold the first line and the headers of a message."""

    first: str
    headers: dict[str, str]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(' ')[1])

    @property
    def chunked(self) -> bool:
        """Return whether the body comes in chunks."""
        return 'chunked' in self.headers.get('transfer-encoding', '')

    @property
    def body_size(self) -> int | None:
        """Return the length of the body, None if it is not stated."""
        if self.chunked:
            return None
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    raw = await reader.readuntil(_HEAD_END)
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        name = name.strip().lower()
        # A header that came twice must not pass for one that came once.
        before = f'{headers[name]},' if name in headers else ''
        headers[name] = before + text.strip()
    return Head(first, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body that follows a head."""
    if head.body_size is not None:
        return await reader.readexactly(head.body_size)
    pieces = []
    while True:
        line = await reader.readuntil(_LINE_END)
        size = int(line.split(b';')[0], _HEX)
        if not size:
            break
        piece = await reader.readexactly(size + len(_LINE_END))
        pieces.append(piece[: -len(_LINE_END)])
    await reader.readuntil(_LINE_END)  # no stand-in reads trailers
    return b''.join(pieces)
