"""Responses that their caller does not read take little memory."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

import attrs
import testtools

from ..body import Body
from ..caller import CallerConnection
from ..request import CallerRequest, Limits
from ..response_order import MAX_OVERLAPPING
from ..server import CallerServer
from ..unread import SHARED_LIMIT_BYTES, UNREAD_LIMIT_BYTES
from .test_request_framing import STEPS, Transport, get

REQUESTS: Final = 64
RESPONSE_BYTES: Final = 200000
HIGH_WATER_BYTES: Final = 65536  # of a transport
RESPONSE_SIZE: Final = RESPONSE_BYTES + 100  # with its head
CALLERS: Final = 8
IDLE_S: Final = 1.0
READS: Final = 6
SLOW_BYTES: Final = 65536
LARGER_BYTES: Final = 33554432


@attrs.define(eq=False)
class UnreadTransport(Transport):
    """Keep what is written until the caller reads it."""

    unread: int = 0
    pause: Callable[[], None] = attrs.field(default=lambda: None)

    def get_extra_info(self, _name: str) -> None:
        """Return nothing, as there is no socket."""

    def write(self, raw: bytes) -> None:
        """Append bytes; pause the connection above the high-water mark."""
        super().write(raw)
        self.unread += len(raw)
        if self.unread > HIGH_WATER_BYTES:
            self.pause()

    def get_write_buffer_size(self) -> int:
        """Return what is not read."""
        return self.unread


async def send_larger(req: CallerRequest) -> None:
    """Respond with more than the kernel holds."""
    req.respond(200, [], bytes(LARGER_BYTES))


async def send_large(req: CallerRequest) -> None:
    """Respond as the gateway does."""
    await req.wait_to_respond(RESPONSE_BYTES)
    req.respond(200, [], bytes(RESPONSE_BYTES))


async def settle() -> None:
    """Let the handlers go on."""
    for _ in range(STEPS):
        await asyncio.sleep(0)


@attrs.define(eq=False)
class Caller:
    """Send requests ahead and read the responses late."""

    conn: CallerConnection
    transport: UnreadTransport

    async def send(self) -> None:
        """Send all requests."""
        for number in range(REQUESTS):
            self.conn.data_received(get(b'/%d' % number))
            await settle()

    async def read(self) -> int:
        """Read everything; return the number of whole responses."""
        while self.transport.unread:
            self.transport.unread = 0
            self.conn.resume_writing()
            await settle()
        self.conn.connection_lost(None)
        bodies = self.transport.written.count(bytes(RESPONSE_BYTES))
        return min(bodies, self.transport.written.count(b'HTTP/1.1 200 '))


def connect(server: CallerServer) -> Caller:
    """Connect a caller that reads nothing yet."""
    conn = CallerConnection(server)
    transport = UnreadTransport(pause=conn.pause_writing)
    conn.connection_made(transport)
    return Caller(conn, transport)


class TestUnreadResponses(testtools.TestCase):
    """Few responses are fetched for callers that do not read them."""

    def _read_late(self, callers: int, *, overlapping: bool) -> int:
        """Return the most bytes that were unread at once."""

        async def play() -> int:
            server = CallerServer(send_large, Limits, lambda _req: overlapping)
            connected = [connect(server) for _ in range(callers)]
            for caller in connected:
                await caller.send()
            unread = sum(caller.transport.unread for caller in connected)
            for caller in connected:
                self.assertEqual(REQUESTS, await caller.read())
            self.assertEqual(0, server.unread.size)
            return unread

        return asyncio.run(play())

    def test_one_connection(self) -> None:
        """Regression: all requests were run, and their responses kept."""
        unread = self._read_late(1, overlapping=False)
        self.assertLessEqual(unread, UNREAD_LIMIT_BYTES + RESPONSE_SIZE)

    def test_side_by_side(self) -> None:
        """Regression: those that ran beside one another were kept as well."""
        unread = self._read_late(1, overlapping=True)
        limit_bytes = UNREAD_LIMIT_BYTES + MAX_OVERLAPPING * RESPONSE_SIZE
        self.assertLessEqual(unread, limit_bytes)

    def test_many_connections(self) -> None:
        """Regression: the sum over all connections had no bound."""
        unread = self._read_late(CALLERS, overlapping=True)
        begun = (CALLERS + MAX_OVERLAPPING) * RESPONSE_SIZE
        self.assertLessEqual(unread, SHARED_LIMIT_BYTES + begun)

    def test_streamed_response(self) -> None:
        """Its source is paused; the pieces are not kept."""
        pauses: list[bool] = []

        async def play() -> int:
            body = Body(pause_source=lambda *, pause: pauses.append(pause))
            server = CallerServer(
                lambda req: req.stream_response(200, [], body), Limits
            )
            caller = connect(server)
            caller.conn.data_received(get(b'/'))
            while not pauses:
                body.feed(bytes(RESPONSE_BYTES))
                await settle()
            caller.conn.connection_lost(None)
            return caller.transport.unread

        unread = asyncio.run(play())
        self.assertEqual([True], pauses)
        self.assertLessEqual(unread, HIGH_WATER_BYTES + RESPONSE_SIZE)

    def test_caller_that_never_reads(self) -> None:
        """Regression: its responses were kept while it was connected."""
        self.assertTrue(asyncio.run(self._read_slowly(0)))

    def test_slow_caller(self) -> None:
        """A response that is being read is not cut."""
        self.assertFalse(asyncio.run(self._read_slowly(1)))

    async def _read_slowly(self, size: int) -> bool:
        """Read so many bytes at a time; return whether the caller is cut."""
        limits = Limits(idle_timeout_s=IDLE_S)
        caller = connect(CallerServer(send_large, lambda: limits))
        caller.conn.data_received(get(b'/'))
        for _ in range(READS):
            await asyncio.sleep(IDLE_S / 2)
            caller.transport.unread -= size
        caller.conn.connection_lost(None)
        return caller.transport.ended

    def test_slow_caller_of_a_large_response(self) -> None:
        """Regression: a caller was cut while the kernel's buffer emptied."""
        self.assertTrue(asyncio.run(self._read_from_kernel()))

    async def _read_from_kernel(self) -> bool:
        """Read slowly from a socket; return whether it stays open."""
        limits = Limits(idle_timeout_s=IDLE_S)
        server = CallerServer(send_larger, lambda: limits)
        await server.listen('127.0.0.1', 0)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BYTES)
        sock.connect(('127.0.0.1', server.port()))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=SLOW_BYTES
        )
        writer.write(get(b'/'))
        pieces = []
        for _ in range(READS):
            await asyncio.sleep(IDLE_S / 2)
            pieces.append(await reader.readexactly(SLOW_BYTES))
        writer.close()
        server.stop_listening()
        return len(pieces) == READS and len(server.connections) == 1
