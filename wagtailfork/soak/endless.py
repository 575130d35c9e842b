"""Answers of backend servers that have no end."""

import asyncio
import contextlib
from typing import Final

from .reply import Play, Reply, render_head

_PER_PIECE: Final = 500
_PIECE_BYTES: Final = 16384
_PIECE: Final = b'x' * _PIECE_BYTES
_INTERIM: Final = b'HTTP/1.1 102 Processing\r\n\r\n'
_HEADERS: Final = b'X-More: 1\r\n' * _PER_PIECE
_CHUNK: Final = b'4000\r\n%b\r\n' % _PIECE
_CHUNKED: Final = 'Transfer-Encoding: chunked\r\n'


async def _send_without_end(reply: Reply, piece: bytes) -> None:
    """Send a piece again and again until the gateway closes."""
    reply.mark_endless()
    with contextlib.suppress(OSError):
        while not reply.writer.transport.is_closing():
            reply.writer.write(piece)
            await reply.writer.drain()
            await asyncio.sleep(0)


def send_endless(start: bytes, piece: bytes) -> Play:
    """Return a play that runs the request, then sends bytes without end."""

    async def play(reply: Reply) -> None:
        await reply.run()
        reply.writer.write(start)
        await _send_without_end(reply, piece)

    return play


def _send_endless_body(status: str, extra: str, piece: bytes) -> Play:
    async def play(reply: Reply) -> None:
        await reply.run()
        reply.sent(int(status[:3]), stated=False, named=True)
        reply.writer.write(render_head(reply, status, None, extra=extra))
        await _send_without_end(reply, piece)

    return play


endless_head = send_endless(b'HTTP/1.1 200 OK\r\nX-Long: ', _PIECE)
endless_headers = send_endless(b'HTTP/1.1 200 OK\r\n', _HEADERS)
endless_interim = send_endless(b'', _INTERIM * _PER_PIECE)
endless_lines = send_endless(b'', b'\r\n' * _PER_PIECE)
endless_garbage = send_endless(b'', _PIECE)
endless_body = _send_endless_body('200 OK', '', _PIECE)
endless_chunks = _send_endless_body('200 OK', _CHUNKED, _CHUNK)
endless_failure = _send_endless_body('500 Failed', _CHUNKED, _CHUNK)
