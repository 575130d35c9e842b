"""One request at a backend server, and the answers to it as bytes."""

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

_NO_LINGER: Final = struct.pack('ii', 1, 0)
STATED: Final = 'Not-Executed: 1\r\n'


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the option an abort ends it in order."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):  # it has ended already
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


class Reply(Protocol):
    """One request at a server, and the connection for its answer."""

    request_id: str
    writer: asyncio.StreamWriter
    rng: random.Random

    def run(self) -> Awaitable[None]:
        """Begin to run the request; return when the work is done."""

    def sent(self, status: int, *, stated: bool, named: bool) -> None:
        """Count an answer."""

    def body(self) -> bytes:
        """Return the whole body of a success."""

    def mark_endless(self) -> None:
        """Record that the answer will have no end."""

    def load(self) -> str:
        """Return the header with the load of the server."""


Play = Callable[[Reply], Awaitable[None]]


def render_head(
    reply: Reply,
    status: str,
    size: int | None,
    *,
    extra: str = '',
    named: bool = True,
) -> bytes:
    """Render the head of an answer; a body without size ends at the close."""
    named_id = f'Request-Id: {reply.request_id}\r\n' if named else ''
    length = '' if size is None else f'Content-Length: {size}\r\n'
    return (
        f'HTTP/1.1 {status}\r\n{named_id}Server-Signature: soak.1\r\n'
        f'{reply.load()}{extra}{length}\r\n'
    ).encode()


def render_refusal(reply: Reply, status: str, *, named: bool = True) -> bytes:
    """Render an answer that states that the request did not run."""
    return render_head(reply, status, 0, extra=STATED, named=named)


def render_success(reply: Reply) -> bytes:
    """Render a success with its body."""
    body = reply.body()
    return render_head(reply, '200 OK', len(body)) + body
