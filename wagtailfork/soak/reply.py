"""One request at a backend server, and the answers to it as bytes."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

STATED: Final = 'Not-Executed: 1\r\n'


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
