"""Pipelined requests that run side by side, answered in their order.

The load: one connection sends up to 25 requests before the first response, of
which one takes until the test lets it end.
"""

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import testtools
import uvloop

from ...core.clock import now_s
from ..body import Body
from ..request import CallerRequest, Limits
from ..response_order import HELD_LIMIT_BYTES, MAX_OVERLAPPING
from ..server import CallerServer

LIMIT_S = 10.0  # for all steps of a test
IDLE_S = 0.4
PAUSE_S = 0.05
BIG_BYTES = 200000
STREAM_PIECES = 20  # of BIG_BYTES, more than may be held
LIMITS = Limits(idle_timeout_s=IDLE_S, header_timeout_s=IDLE_S)
SLOW = '/slow/0'


def get(path: str, extra: str = '') -> bytes:
    """Render a request without a body."""
    return f'GET {path} HTTP/1.1\r\nHost: a\r\n{extra}\r\n'.encode()


@attrs.define(eq=False)
class Scene:
    """Run a server whose handler does what the path says, and a caller."""

    release: asyncio.Event = attrs.field(factory=asyncio.Event)
    started: dict[str, float] = attrs.field(factory=dict)  # and arrived
    ended: list[str] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    server: CallerServer = attrs.field(init=False)
    reader: asyncio.StreamReader = attrs.field(init=False)
    writer: asyncio.StreamWriter = attrs.field(init=False)

    async def open(self) -> None:
        """Start the server and connect to it."""
        self.server = CallerServer(
            self._handle,
            lambda: LIMITS,
            lambda req: not req.target.startswith(b'/once'),
        )
        await self.server.listen('127.0.0.1', 0)
        port = self.server.port()
        streams = await asyncio.open_connection('127.0.0.1', port)
        self.reader = streams[0]
        self.writer = streams[1]

    def send(self, *paths: str) -> None:
        """Send requests in one write."""
        self.writer.write(b''.join(map(get, paths)))

    async def receive(self) -> str:
        """Read one sized response; return its body without filler."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        size = int(head.lower().split(b'content-length: ')[1].split()[0])
        return (await self.reader.readexactly(size)).decode().strip()

    async def receive_all(self) -> list[str]:
        """Read sized responses until the end."""
        bodies = []
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                bodies.append(await self.receive())
        return bodies

    async def receive_stream(self) -> int:
        """Read one chunked response; return its size."""
        await self.reader.readuntil(b'\r\n\r\n')
        size = 0
        while length := int(await self.reader.readline(), 16):
            size += len(await self.reader.readexactly(length))
            await self.reader.readline()
        await self.reader.readline()
        return size

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition."""
        while not condition():
            await asyncio.sleep(PAUSE_S / 10)

    def held_bytes(self) -> int:
        """Return what the connections hold."""
        return sum(one._order.held_bytes for one in self.server.connections)

    async def _handle(self, req: CallerRequest) -> None:
        path = req.target.decode()
        self.started[path] = req.arrived_s
        try:
            await self._serve(req, path, path.split('/')[1])
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        self.ended.append(path)

    async def _serve(self, req: CallerRequest, path: str, kind: str) -> None:
        await req.body.wait_buffered()
        if kind in {'slow', 'once-slow'}:
            await self.release.wait()
        if kind in {'abort', 'close'}:
            await asyncio.sleep(PAUSE_S)  # those behind it start meanwhile
        if kind == 'abort':
            req.abort()
        elif kind == 'stream':
            body = Body()
            for _ in range(STREAM_PIECES):
                body.feed(bytes(BIG_BYTES))
            body.finish()
            await req.stream_response(200, [], body)
        elif kind == 'big':
            await req.wait_to_respond(BIG_BYTES)
            req.respond(200, [], path.encode().ljust(BIG_BYTES))
        else:
            req.keep_alive = req.keep_alive and kind != 'close'
            req.respond(200, [], path.encode())


def played(scenario: Callable[[Any, Scene], Awaitable[None]]) -> Any:
    """Play a scenario on a new connection, on both event loops."""

    @functools.wraps(scenario)
    def test(case: testtools.TestCase) -> None:
        for factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            with asyncio.Runner(loop_factory=factory) as runner:
                runner.run(play(case))

    async def play(case: testtools.TestCase) -> None:
        scene = Scene()
        await scene.open()
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario(case, scene)
        finally:
            scene.writer.transport.abort()
            scene.server.stop_listening()

    return test


class TestPipelining(testtools.TestCase):
    """Responses keep the order; the requests behind a slow one do not wait."""

    @played
    async def test_fast_requests_do_not_wait_for_a_slow_one(
        self, scene: Scene
    ) -> None:
        """They were started only after it had been answered."""
        paths = [SLOW, *[f'/fast/{number}' for number in range(1, 20)]]
        scene.send(*paths)
        await scene.until(lambda: len(scene.ended) == MAX_OVERLAPPING - 1)
        await asyncio.sleep(2 * IDLE_S)  # no timeout may end it
        self.assertEqual(paths[:MAX_OVERLAPPING], list(scene.started))
        scene.release.set()
        self.assertEqual(paths, [await scene.receive() for _ in paths])

    @played
    async def test_request_that_runs_once_waits(self, scene: Scene) -> None:
        """It runs alone: after those before it and before those behind it."""
        paths = [SLOW, '/fast/1', '/once/2', '/fast/3']
        scene.send(*paths)
        sent_s = now_s()
        await scene.until(lambda: '/fast/1' in scene.ended)
        await asyncio.sleep(2 * PAUSE_S)
        self.assertEqual(paths[:2], list(scene.started))
        scene.release.set()
        self.assertEqual(paths, [await scene.receive() for _ in paths])
        # Its deadline begins when its head arrives, not when it starts.
        self.assertTrue(scene.started['/once/2'] - sent_s < PAUSE_S)
        scene.release.clear()
        scene.send('/once-slow/4', '/fast/5')
        await scene.until(lambda: '/once-slow/4' in scene.started)
        await asyncio.sleep(PAUSE_S)
        self.assertNotIn('/fast/5', scene.started)

    @played
    async def test_closing_response_ends_what_is_behind(
        self, scene: Scene
    ) -> None:
        """Requests behind it ran, or bytes there reset those before it."""
        paths = [SLOW, '/big/1', '/close/2', '/slow/3', '/once/4']
        scene.send(*paths)
        await scene.until(lambda: '/slow/3' in scene.cancelled)
        scene.writer.write(b'no request\r\n\r\n')  # counts as not read
        scene.release.set()
        self.assertEqual(paths[:3], await scene.receive_all())
        self.assertNotIn('/once/4', scene.started)

    @played
    async def test_caller_asks_to_close(self, scene: Scene) -> None:
        """Bytes behind its last request aborted the responses before it."""
        last = get('/fast/1', 'Connection: close\r\n')
        scene.writer.write(get(SLOW) + last + get('/fast/2'))
        await scene.until(lambda: '/fast/1' in scene.ended)
        scene.release.set()
        self.assertEqual([SLOW, '/fast/1'], await scene.receive_all())
        self.assertNotIn('/fast/2', scene.started)

    @played
    async def test_abort_spares_earlier_responses(self, scene: Scene) -> None:
        """A broken response took those before it along."""
        paths = [SLOW, '/fast/1', '/abort/2', '/slow/3']
        scene.send(*paths)
        await scene.until(lambda: '/slow/3' in scene.cancelled)
        scene.release.set()
        self.assertEqual(paths[:2], await scene.receive_all())

    @played
    async def test_abort_spares_unread_responses(self, scene: Scene) -> None:
        """A broken response discarded whole ones that were not read yet."""
        # More than both ends of the connection buffer.
        paths = [f'/big/{number}' for number in range(40)]
        scene.send(*paths, '/abort/40')
        await scene.until(lambda: '/abort/40' in scene.ended)
        await asyncio.sleep(PAUSE_S)
        self.assertEqual(paths, await scene.receive_all())

    @played
    async def test_disconnect_cancels_all(self, scene: Scene) -> None:
        """Requests of a caller that has left went on."""
        paths = ['/slow/0', '/slow/1', '/slow/2', '/big/3']
        scene.send(*paths, *[f'/once/{number}' for number in range(20)])
        await scene.until(lambda: '/big/3' in scene.ended)
        scene.writer.close()
        await scene.until(lambda: len(scene.cancelled) == 3)
        self.assertEqual(paths, list(scene.started))
        self.assertEqual(0, scene.server.busy())

    @played
    async def test_stop_answers_what_was_started(self, scene: Scene) -> None:
        """The first response of a stop closed the connection."""
        paths = [SLOW, '/fast/1', '/slow/2', '/once/3', '/fast/4']
        scene.send(*paths)
        await scene.until(lambda: '/fast/1' in scene.ended)
        scene.server.draining = True
        scene.server.close_idle()
        self.assertEqual(1, scene.server.busy())
        scene.send('/fast/5')
        await asyncio.sleep(PAUSE_S)
        scene.release.set()
        self.assertEqual(paths[:3], await scene.receive_all())
        self.assertEqual(paths[:3], list(scene.started))
        await scene.until(lambda: not scene.server.busy())

    @played
    async def test_held_responses_are_bounded(self, scene: Scene) -> None:
        """Sized and streamed responses behind a slow one filled the memory."""
        paths = [SLOW, '/stream/1', '/big/2', '/big/3', '/stream/4']
        scene.send(*paths)
        await scene.until(lambda: len(scene.started) == len(paths))
        await asyncio.sleep(PAUSE_S)
        self.assertTrue(0 < scene.held_bytes() < HELD_LIMIT_BYTES + 1000)
        scene.release.set()
        self.assertEqual(SLOW, await scene.receive())
        whole = STREAM_PIECES * BIG_BYTES
        self.assertEqual(whole, await scene.receive_stream())
        self.assertEqual('/big/2', await scene.receive())
        self.assertEqual('/big/3', await scene.receive())
        self.assertEqual(whole, await scene.receive_stream())
        self.assertEqual(0, scene.held_bytes())

    @played
    async def test_body_is_asked_for_in_turn(self, scene: Scene) -> None:
        """The interim response was written into an earlier response."""
        extra = 'Content-Length: 1\r\nExpect: 100-continue\r\n'
        scene.writer.write(get(SLOW) + get('/fast/1', extra))
        await scene.until(lambda: bool(scene.started))
        scene.release.set()
        self.assertEqual(SLOW, await scene.receive())
        interim = await scene.reader.readuntil(b'\r\n\r\n')
        self.assertEqual(b'HTTP/1.1 100 Continue\r\n\r\n', interim)
        scene.writer.write(b'x')
        self.assertEqual('/fast/1', await scene.receive())

    @played
    async def test_times_out_after_the_responses(self, scene: Scene) -> None:
        """A head in pieces lost the responses to the requests before it."""
        scene.send(SLOW)
        scene.writer.write(b'GET /fast/1 HT')
        await asyncio.sleep(2 * IDLE_S)
        scene.release.set()
        self.assertEqual(SLOW, await scene.receive())
        self.assertIn(b' 408 ', await scene.reader.readuntil(b'\r\n'))

    @played
    async def test_waiting_bodies_are_bounded(self, scene: Scene) -> None:
        """30 bodies of 200 kB behind a slow response filled the memory."""
        head = get('/once/1', f'Content-Length: {BIG_BYTES}\r\n')
        scene.writer.write(get(SLOW) + 30 * (head + bytes(BIG_BYTES)))
        await asyncio.sleep(2 * PAUSE_S)
        conn = next(iter(scene.server.connections))
        self.assertTrue(0 < len(conn._queue) < MAX_OVERLAPPING + 3)
        scene.release.set()
        for _ in range(31):
            await scene.receive()
