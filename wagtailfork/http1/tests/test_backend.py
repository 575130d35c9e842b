"""When an exchange with a backend server counts as not sent."""

import asyncio

import attrs
import testtools

from ..backend import BackendConnection
from ..body import Body
from ..responses import RequestNotSent, ResponseError

HEAD = b'POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n'
ANSWER_LIMIT_S = 1.0  # for an answer that never comes


@attrs.define(eq=False)
class FakeTransport:
    """Record what is written."""

    closing: bool = False
    written: bytes = b''

    def write(self, raw: bytes) -> None:
        """Record bytes."""
        self.written += raw

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.closing

    def abort(self) -> None:
        """Close the connection."""
        self.closing = True


def make_connection() -> tuple[BackendConnection, FakeTransport]:
    """Return a connection and its transport."""
    conn = BackendConnection()
    transport = FakeTransport()
    conn.connection_made(transport)
    return conn, transport


def make_body() -> Body:
    """Return a complete body."""
    body = Body()
    body.feed(b'x')
    body.finish()
    return body


class TestNotSent(testtools.TestCase):
    """``RequestNotSent`` means that no byte was written."""

    def test_unusable_connections_send_nothing(self) -> None:
        """It was closed, got stray bytes, is in use, or has carried the id."""
        asyncio.run(self._use_closed())
        asyncio.run(self._use_after_stray_bytes())
        asyncio.run(self._use_busy())
        asyncio.run(self._use_again())

    def test_loss_after_the_write_is_no_proof(self) -> None:
        """The connection is lost right after the request was written."""
        asyncio.run(self._lose())

    async def _use_closed(self) -> None:
        conn, transport = make_connection()
        transport.closing = True
        await self._assert_not_sent(conn)
        self.assertEqual(b'', transport.written)

    async def _use_after_stray_bytes(self) -> None:
        conn, transport = make_connection()
        conn.data_received(b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n')
        await self._assert_not_sent(conn)
        self.assertEqual(b'', transport.written)

    async def _use_busy(self) -> None:
        conn, transport = make_connection()
        first = asyncio.create_task(
            conn.exchange(HEAD, make_body(), request_id=None)
        )
        await asyncio.sleep(0)
        written = transport.written
        await self._assert_not_sent(conn)
        self.assertEqual(written, transport.written)
        first.cancel()

    async def _use_again(self) -> None:
        conn, transport = make_connection()
        first = asyncio.create_task(
            conn.exchange(HEAD, make_body(), request_id='r1')
        )
        await asyncio.sleep(0)
        conn.data_received(b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n')
        await first
        self.assertTrue(conn.reusable)
        written = transport.written
        await self._assert_not_sent(conn, 'r1')
        self.assertEqual(written, transport.written)

    async def _assert_not_sent(
        self, conn: BackendConnection, request_id: str | None = None
    ) -> None:
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                await conn.exchange(HEAD, make_body(), request_id=request_id)
        except RequestNotSent:
            return
        except TimeoutError:
            self.fail('the exchange was begun and waits for its answer')
        self.fail('the exchange was begun')

    async def _lose(self) -> None:
        conn, transport = make_connection()
        sending = asyncio.create_task(
            conn.exchange(HEAD, make_body(), request_id=None)
        )
        await asyncio.sleep(0)
        self.assertEqual(b'%bx' % HEAD, transport.written)
        conn.connection_lost(None)
        outcome = (await asyncio.gather(sending, return_exceptions=True))[0]
        self.assertIsInstance(outcome, ResponseError)
