"""A connection from a caller: its requests in, one answer each out."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

import attrs
import httptools

from ..core.clock import now_s
from .body import Body
from .headers import CRLF, Header, header_value, render_chunk, render_head

_LINGER_S: Final = 1.0  # time for a caller to read an answer sent early
_QUEUED_REQUESTS: Final = 8  # requests sent ahead before reading pauses
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_TIMER_STEP_S: Final = 0.25  # resolution of the idle and header time limits
_STATUS_LINES: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'.encode()
    for status in HTTPStatus
}


@attrs.frozen(kw_only=True)
class Limits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False)
class CallerRequest:
    """Hold one request as it arrives, and the way to answer it."""

    conn: 'CallerConnection'
    arrived_s: float
    method: bytes = b''
    target: bytes = b''
    headers: list[Header] = attrs.field(factory=list)
    body: Body = attrs.field(factory=Body)
    keep_alive: bool = True
    answered: bool = False

    def find(self, name: bytes) -> bytes | None:
        """Give the first value of a header, by its lower-case name."""
        return header_value(self.headers, name)

    def answer(
        self,
        status: int,
        headers: list[Header],
        payload: bytes = b'',
    ) -> None:
        """Send a whole answer."""
        head = [*headers, (b'Content-Length', str(len(payload)).encode())]
        shown = b'' if self.method == b'HEAD' else payload
        self.conn.start_answer(self, status, head, shown)
        self.conn.end_answer(self)

    async def stream_answer(
        self,
        status: int,
        headers: list[Header],
        body: Body,
    ) -> None:
        """Send an answer whose end is not known yet; raise ``BodyBroken``."""
        head = [*headers, (b'Transfer-Encoding', b'chunked')]
        self.conn.start_answer(self, status, head, b'')
        async for piece in body.read():
            await self.conn.write_piece(render_chunk(piece))
        await self.conn.write_piece(b'0' + CRLF + CRLF)
        self.conn.end_answer(self)

    def break_off(self) -> None:
        """Close the connection so that no answer looks whole."""
        self.conn.abort()


Handler = Callable[[CallerRequest], Awaitable[None]]


class CallerServer:
    """Serve the connections of one listening address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
    ) -> None:
        """Prepare a server without a socket."""
        self.handler = handler
        self.limits = limits
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=1024,
        )

    def port(self) -> int:
        """Give the port that is listened on."""
        if self._server is None:
            return 0
        number: int = self._server.sockets[0].getsockname()[1]
        return number

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections on which no request waits."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def busy(self) -> int:
        """Count connections on which a request is under way."""
        return sum(1 for conn in self.connections if not conn.idle)


class CallerConnection(asyncio.Protocol):
    """Parse requests strictly and answer them in order."""

    def __init__(self, server: CallerServer) -> None:
        """Prepare an unconnected protocol."""
        self._server = server
        self._transport: Any = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._incoming: CallerRequest | None = None
        self._queue: deque[CallerRequest] = deque()
        self._current: CallerRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._header_bytes = 0
        self._reading_head = False
        self._last_activity = now_s()
        self._timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._drained.set()

    # The transport's side.

    def connection_made(self, transport: Any) -> None:
        """Register the connection and watch its idle time."""
        self._transport = transport
        self._server.connections.add(self)
        self._arm_timer()

    def data_received(self, raw: bytes) -> None:
        """Parse what came."""
        self._last_activity = now_s()
        if self._closing:
            return
        try:
            self._parser.feed_data(raw)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)
        if self._reading_head and self._header_bytes + len(raw) > self._most():
            if self._incoming is None or not self._incoming.headers:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def eof_received(self) -> None:
        """Take a caller that closes as gone."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work for a caller that has left."""
        self._closing = True
        self._server.connections.discard(self)
        self._drained.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._incoming is not None:
            self._incoming.body.fail()
        if self._task is not None:
            self._task.cancel()
        self._queue.clear()

    def pause_writing(self) -> None:
        """Hold back answers to a slow reader."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Let answers go on."""
        self._drained.set()

    # The parser's side.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading_head = True
        self._header_bytes = 0
        self._incoming = CallerRequest(
            self,
            now_s(),
            body=Body(pause_source=self._pause),
        )

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may come in parts."""
        if self._incoming is not None:
            self._incoming.target += url
            self._count_header(len(url))

    def on_header(self, name: bytes, found: bytes) -> None:
        """Collect one header."""
        if self._incoming is not None:
            self._incoming.headers.append((name, found))
            self._count_header(len(name) + len(found) + 4)

    def on_headers_complete(self) -> None:
        """Queue the request once its head is whole."""
        req = self._incoming
        if req is None or self._closing:
            return
        self._reading_head = False
        req.method = self._parser.get_method()
        req.keep_alive = self._parser.should_keep_alive()
        length = req.find(b'content-length')
        if (
            length is not None
            and int(length) > self._server.limits().max_body_bytes
        ):
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if (req.find(b'expect') or b'').lower() == b'100-continue':
            self._transport.write(_CONTINUE)
        self._queue.append(req)
        if len(self._queue) > _QUEUED_REQUESTS:
            self._transport.pause_reading()
        self._start_next()

    def on_body(self, piece: bytes) -> None:
        """Pass a piece of the body on."""
        req = self._incoming
        if req is None:
            return
        req.body.feed(piece)
        if req.body.size > self._server.limits().max_body_bytes:
            req.body.fail()
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """End the body."""
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None

    # The request's side.

    @property
    def idle(self) -> bool:
        """Tell whether no request waits or arrives."""
        return self._current is None and self._incoming is None

    def start_answer(
        self,
        req: CallerRequest,
        status: int,
        headers: list[Header],
        payload: bytes,
    ) -> None:
        """Write the head of an answer and the bytes that follow it."""
        req.answered = True
        if self._server.leaving or not req.body.complete:
            req.keep_alive = False
        if not req.keep_alive:
            headers = [*headers, (b'Connection', b'close')]
        line = _STATUS_LINES.get(status) or b'HTTP/1.1 %d Status' % status
        self._transport.write(render_head(line, headers) + payload)

    async def write_piece(self, piece: bytes) -> None:
        """Write a piece of a body as fast as the caller reads."""
        self._transport.write(piece)
        await self._drained.wait()

    def end_answer(self, req: CallerRequest) -> None:
        """Close the connection after its last answer."""
        if req.keep_alive:
            return
        if req.body.complete:
            self._closing = True
            self._transport.close()
        else:
            self._linger()

    def abort(self) -> None:
        """Drop the connection at once."""
        self._closing = True
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way."""
        if self.idle:
            self._closing = True
            self._transport.close()

    # Inside.

    def _most(self) -> int:
        return self._server.limits().max_header_bytes

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._most():
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _reject(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read, unless one is under way."""
        if self._closing:
            return
        self._closing = True
        if self._current is None or self._current.answered:
            head = render_head(
                _STATUS_LINES[status.value],
                [(b'Content-Length', b'0'), (b'Connection', b'close')],
            )
            self._transport.write(head)
            self._linger()
            return
        self._transport.abort()

    def _linger(self) -> None:
        # An immediate close would reset what the caller has not read yet.
        self._closing = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_S, self._transport.abort)

    def _start_next(self) -> None:
        if self._current is not None or not self._queue or self._closing:
            return
        req = self._queue.popleft()
        self._current = req
        self._task = asyncio.ensure_future(self._serve(req))

    async def _serve(self, req: CallerRequest) -> None:
        try:
            await self._server.handler(req)
        finally:
            self._current = None
            self._task = None
            self._last_activity = now_s()
        if not req.answered:
            self.abort()
        self._transport.resume_reading()
        self._start_next()

    def _pause(self, *, pause: bool) -> None:
        if self._transport.is_closing():
            return
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _arm_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._wait_s(), self._check_time)

    def _wait_s(self) -> float:
        limits = self._server.limits()
        if self._incoming is not None:
            return _TIMER_STEP_S
        passed = now_s() - self._last_activity
        longest = min(limits.idle_timeout_s - passed, limits.header_timeout_s)
        return max(_TIMER_STEP_S, longest)

    def _check_time(self) -> None:
        if self._closing:
            return
        limits = self._server.limits()
        now = now_s()
        req = self._incoming
        if req is not None and self._reading_head:
            if now - req.arrived_s > limits.header_timeout_s:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
                return
        elif now - self._last_activity > limits.idle_timeout_s:
            self._expire()
            return
        self._arm_timer()

    def _expire(self) -> None:
        if self._incoming is not None:
            # A body that stopped: its request ends without its last bytes.
            self._incoming.body.fail()
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
            return
        if self._current is None:
            self._closing = True
            self._transport.close()
            return
        self._arm_timer()
