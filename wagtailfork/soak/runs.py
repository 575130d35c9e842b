"""Answers of backend servers that have run the request."""

import asyncio
from typing import Final

from .reply import Play, Reply, render_head, render_success, reset

_COPY_DELAY_S: Final = 0.06
_MAX_LATE_S: Final = 3.0
_CUT_BODY_BYTES: Final = 7
_CUT_HEAD_BYTES: Final = 30
_GARBAGE: Final = b'\x00\x17no answer at all\r\n\r\n'


async def serve(reply: Reply) -> None:
    """Run the request and answer with success."""
    await reply.run()
    reply.sent(200, stated=False, named=True)
    reply.writer.write(render_success(reply))


def run_and_say(status: str, extra: str = '') -> Play:
    """Return a play that runs the request and answers with a status."""

    async def play(reply: Reply) -> None:
        await reply.run()
        stated = 'Not-Executed: 1' in extra
        reply.sent(int(status[:3]), stated=stated, named=True)
        reply.writer.write(render_head(reply, status, 0, extra=extra))

    return play


async def lose(reply: Reply) -> None:
    """Run the request and reset the connection."""
    await reply.run()
    reset(reply.writer)


async def stay_silent(reply: Reply) -> None:
    """Run the request and never answer."""
    await reply.run()


async def cut_body(reply: Reply) -> None:
    """End the connection within the body of a success."""
    await reply.run()
    reply.sent(200, stated=False, named=True)
    reply.writer.write(render_success(reply)[:-_CUT_BODY_BYTES])
    reply.writer.close()


async def cut_head(reply: Reply) -> None:
    """End the connection within the head of a success."""
    await reply.run()
    reply.writer.write(render_success(reply)[:_CUT_HEAD_BYTES])
    reply.writer.close()


async def serve_late(reply: Reply) -> None:
    """Answer with success some seconds after the run."""
    await reply.run()
    await asyncio.sleep(_MAX_LATE_S * reply.rng.random())
    reply.sent(200, stated=False, named=True)
    reply.writer.write(render_success(reply))


async def serve_twice(reply: Reply) -> None:
    """Send a success twice at once."""
    await reply.run()
    reply.sent(200, stated=False, named=True)
    raw = render_success(reply)
    reply.writer.write(raw + raw)


async def serve_again(reply: Reply) -> None:
    """Send a success once more, later."""
    await serve(reply)
    await reply.writer.drain()
    await asyncio.sleep(_COPY_DELAY_S * reply.rng.random())
    reply.writer.write(render_success(reply))


async def send_garbage(reply: Reply) -> None:
    """Run the request and send bytes that are no answer."""
    await reply.run()
    reply.writer.write(_GARBAGE)


async def serve_unsized(reply: Reply) -> None:
    """Send a success that ends with its connection."""
    await reply.run()
    reply.sent(200, stated=False, named=True)
    reply.writer.write(render_head(reply, '200 OK', None) + reply.body())
    reply.writer.close()


async def serve_with_trailer(reply: Reply) -> None:
    """Send a success with a refusal as its trailer."""
    await reply.run()
    reply.sent(200, stated=False, named=True)
    body = reply.body()
    head = render_head(
        reply, '200 OK', None, extra='Transfer-Encoding: chunked\r\n'
    )
    reply.writer.write(
        b'%b%x\r\n%b\r\n0\r\nNot-Executed: 1\r\n\r\n' % (head, len(body), body)
    )
