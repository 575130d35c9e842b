"""Refusals of backend servers that have not run the request."""

import asyncio
from typing import Final

from .reply import STATED, Play, Reply, render_head, render_refusal

_PIECE_DELAY_S: Final = 0.02
_COPY_DELAY_S: Final = 0.06
MISDIRECTED: Final = 421


def refuse_with(status: str) -> Play:
    """Return a play that refuses with a status."""

    async def play(reply: Reply) -> None:
        reply.sent(int(status[:3]), stated=True, named=True)
        reply.writer.write(render_refusal(reply, status))

    return play


async def refuse_twice(reply: Reply) -> None:
    """Refuse and send the refusal once more at once."""
    for _ in range(2):
        reply.sent(503, stated=True, named=True)
        reply.writer.write(render_refusal(reply, '503 Full'))


def refuse_again(*, named: bool) -> Play:
    """Return a play that sends a refusal once more, later."""

    async def play(reply: Reply) -> None:
        reply.sent(503, stated=True, named=True)
        reply.writer.write(render_refusal(reply, '503 Full'))
        await reply.writer.drain()
        await asyncio.sleep(_COPY_DELAY_S * reply.rng.random())
        reply.sent(503, stated=True, named=named)
        reply.writer.write(render_refusal(reply, '503 Full', named=named))

    return play


async def refuse_cut(reply: Reply) -> None:
    """End the connection within a refusal."""
    reply.sent(503, stated=True, named=True)
    raw = render_refusal(reply, '503 Full')
    reply.writer.write(raw[: reply.rng.randrange(1, len(raw))])
    reply.writer.close()


async def refuse_in_pieces(reply: Reply) -> None:
    """Send a refusal in two pieces."""
    reply.sent(503, stated=True, named=True)
    raw = render_refusal(reply, '503 Full')
    middle = reply.rng.randrange(1, len(raw))
    reply.writer.write(raw[:middle])
    await asyncio.sleep(_PIECE_DELAY_S)
    reply.writer.write(raw[middle:])


async def copy_refusal(reply: Reply, status: int) -> None:
    """Send a refusal of an earlier send of the request once more."""
    stated = status != MISDIRECTED
    extra = STATED if stated else ''
    reply.sent(status, stated=stated, named=True)
    reply.writer.write(render_head(reply, f'{status} Again', 0, extra=extra))
    await reply.writer.drain()


async def misdirect(reply: Reply) -> None:
    """Say that the request was meant for another server."""
    reply.sent(MISDIRECTED, stated=False, named=True)
    reply.writer.write(render_head(reply, '421 Misdirected Request', 0))
