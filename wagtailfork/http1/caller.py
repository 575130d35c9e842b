"""Server side of a connection from a caller."""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final, Protocol

import httptools

from ..core.clock import now_s
from ..core.logs import log_event, log_warning
from .body import Body
from .headers import WHITE_SPACE, Header, render_head, stripped, without
from .idle_watch import TimeoutMonitor
from .read_ahead import ReadAhead
from .request import CallerRequest, Limits
from .request_framing import RequestFraming
from .response_order import ResponseOrder
from .unread import UnreadResponses, UnreadTotal, kernel_queue_bytes

_LINGER_S: Final = 1.0  # for a caller to read an early response
# Unanswered requests before reading is paused. A caller that disconnects is
# noticed only while its connection is read.
_MAX_PIPELINED: Final = 64
_MAX_WITH_BODIES: Final = 8  # if their bodies are large together
_LARGE_BYTES: Final = 524288
_LONG_HEAD: Final = 'head too long'
_LONG_BODY: Final = 'body too long'
_CODING: Final = 'transfer coding'
_CALLBACK_FAILED: Final = 'callback_failed'
_CONNECT: Final = b'CONNECT'
_logger = logging.getLogger(__name__)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_STATUS_LINES: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'.encode()
    for status in HTTPStatus
}


class HeadUnsuitable(Exception):
    """Report a head that the parser has to see in other words."""


class ServerContext(Protocol):
    """Server attributes that a connection uses."""

    draining: bool
    connections: 'set[CallerConnection]'
    handler: Callable[[CallerRequest], Awaitable[None]]
    reject: Callable[[CallerRequest], Awaitable[None]]
    limits: Callable[[], Limits]
    may_overlap: Callable[[CallerRequest], bool]
    read_ahead: ReadAhead
    unread: UnreadTotal


class CallerConnection(asyncio.Protocol):
    """Parse requests strictly and respond to them in order.

    Requests that may overlap are handled side by side.
    """

    def __init__(self, server: ServerContext) -> None:
        """Initialize the state of an unconnected protocol."""
        self._server = server
        self._transport: Any = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._incoming: CallerRequest | None = None
        self._queue: deque[CallerRequest] = deque()
        self._order = ResponseOrder(self._write)
        self._closing = False
        self._reads_requests = True  # none has been said to be the last
        self._pauses: set[str] = set()  # why nothing is read
        self._resumed_s = 0.0
        self._framing = RequestFraming()
        self._reading_head = False
        self._trailer_bytes = 0
        self._timeouts = TimeoutMonitor(self, server.limits)
        self._unread = UnreadResponses(server.unread)
        self._written_bytes = 0
        self._drained = asyncio.Event()
        self._drained.set()

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Register the connection and start its timeouts."""
        self._transport = transport
        self._server.connections.add(self)
        self._timeouts.start()

    def data_received(self, raw: bytes) -> None:
        """Parse received bytes."""
        self._timeouts.record_activity()
        start = 0
        while start < len(raw) and self._accepts_requests():
            end = self._framing.piece_end(raw, start)
            self._parse(raw[start:end])
            start = end

    def eof_received(self) -> None:
        """Abort the connection, as the caller has closed its side."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a disconnected caller."""
        self._closing = True
        self._server.connections.discard(self)
        self._drained.set()
        self._unread.update(0)
        self._timeouts.stop()
        self._order.cancel_all()
        self._drop_unstarted()

    def pause_writing(self) -> None:
        """Pause responses to a slow caller."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Resume responses."""
        self._drained.set()
        self._unread.update(0)
        self._start_requests()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._reads_requests or self._incoming is not None:
            return
        self._reading_head = True
        self._trailer_bytes = 0
        self._incoming = CallerRequest(
            self,
            now_s(),
            body=Body(
                pause_source=self._pause, read_ahead=self._server.read_ahead
            ),
        )

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._incoming is not None:
            self._incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        if self._incoming is None:
            return
        if self._reading_head:
            self._incoming.headers.append((name, value))
            return
        # A trailer must not pass for a header.
        self._trailer_bytes += len(name) + len(value) + 4
        if self._trailer_bytes > self._header_limit():
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, _LONG_HEAD)

    def on_headers_complete(self) -> None:
        """Queue the request whose head is complete."""
        req = self._incoming
        if req is None or self._closing:
            return
        req.method = self._parser.get_method()
        if self._misreads_body(req):
            raise HeadUnsuitable
        self._reading_head = False
        if req.method == _CONNECT:
            self._reject(HTTPStatus.BAD_REQUEST, 'tunnel')
            return
        req.keep_alive = self._parser.should_keep_alive()
        req.headers = stripped(req.headers)
        req.use_origin_form()
        codings = _transfer_codings(req)
        if codings and codings[-1] != b'chunked':
            self._reject(HTTPStatus.BAD_REQUEST, _CODING)
            return
        if codings[:-1]:
            # The body would be forwarded without them.
            self._reject(HTTPStatus.NOT_IMPLEMENTED, _CODING)
            return
        length = _body_length(req)
        if (length or 0) > self._server.limits().max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, _LONG_BODY)
            return
        self._framing.start_body(length)
        req.overlaps = self._server.may_overlap(req)
        self._queue.append(req)
        self._start_requests()

    def on_chunk_header(self) -> None:
        """Count the chunk whose size was read."""
        self._framing.start_chunk()

    def on_body(self, piece: bytes) -> None:
        """Feed a piece to the request body."""
        req = self._incoming
        if req is None:
            return
        req.body.feed(piece)
        if req.body.size > self._server.limits().max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, _LONG_BODY)

    def on_message_complete(self) -> None:
        """Complete the request body."""
        self._framing.finish()
        req = self._incoming
        if req is None:
            return
        self._incoming = None
        req.body.finish()
        self._reads_requests = self._reads_requests and req.keep_alive
        self._start_requests()

    # Interface for the timeout monitor.

    @property
    def head_started_s(self) -> float | None:
        """Return when the incomplete head began to arrive, if any."""
        if self._incoming is None or not self._reading_head:
            return None
        if self._pauses or self._order.front is not None:
            return None
        return max(self._incoming.arrived_s, self._resumed_s)

    @property
    def receiving(self) -> bool:
        """Return whether the caller has to complete a request."""
        if self._incoming is None or self._pauses:
            return False
        alone = self._order.front is None
        return alone or self._order.is_open(self._incoming)

    @property
    def unread_bytes(self) -> int:
        """Return what was written and has not been sent."""
        size: int = self._transport.get_write_buffer_size()
        return size

    @property
    def sent_bytes(self) -> int:
        """Return what the caller's side has taken since the start."""
        waiting = self.unread_bytes + kernel_queue_bytes(self._transport)
        return self._written_bytes - waiting

    def abort_unread(self) -> None:
        """Abort the connection of a caller that does not read."""
        log_event(
            _logger,
            'caller_not_reading',
            unread_bytes=self.unread_bytes,
            open=len(self._order),
            waiting=len(self._queue),
        )
        self.abort()

    def expire(self) -> None:
        """Close an idle connection or reject a stalled request."""
        if self._incoming is None:
            self.close_if_idle()
            return
        self._reject(HTTPStatus.REQUEST_TIMEOUT, 'incomplete')

    # Interface for requests.

    @property
    def idle(self) -> bool:
        """Return whether no request is incomplete or in progress."""
        waiting = self._queue or self._incoming is not None
        return self._order.front is None and not waiting

    @property
    def finished(self) -> bool:
        """Return whether it is idle and the caller was sent every byte.

        The transport may hold the end of a response after its handler ended.
        """
        return self.idle and not self.unread_bytes

    def start_response(
        self,
        req: CallerRequest,
        status: int,
        headers: list[Header],
        payload: bytes,
    ) -> None:
        """Write the head of a response and the bytes that follow it."""
        req.response_started = True
        if not self._order.is_open(req):
            return
        # While the server is draining, those that were started are answered.
        ending = self._server.draining or self._order.closing
        ends = ending and self._order.is_last(req)
        if ends or not req.body.complete:
            req.keep_alive = False
        if not req.keep_alive:
            headers = [*headers, (b'Connection', b'close')]
            self._order.close_after(req)
            self._stop_reading_requests()
        line = _STATUS_LINES.get(status) or b'HTTP/1.1 %d Status' % status
        self._order.write(req, render_head(line, headers) + payload)

    async def write_piece(self, req: CallerRequest, piece: bytes) -> None:
        """Write a piece of a body, with flow control."""
        await self._order.wait_to_write(req, len(piece))
        self._order.write(req, piece)
        await self._drained.wait()

    def end_response(self, req: CallerRequest) -> None:
        """Close the connection after its last response."""
        self._order.end_response(req)
        self._close_if_ended()

    def abort_response(self, req: CallerRequest) -> None:
        """Abort the connection once earlier responses are sent."""
        self._order.abort(req)
        self._stop_reading_requests()
        self._close_if_ended()

    async def wait_to_respond(self, req: CallerRequest, size: int) -> None:
        """Wait until a response of this size may be sent or held."""
        await self._order.wait_to_write(req, size)

    async def wait_turn(self, req: CallerRequest) -> None:
        """Wait until all responses to earlier requests are sent."""
        await self._order.wait_turn(req)

    def abort(self) -> None:
        """Abort the connection."""
        self._closing = True
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.idle and not self._closing:
            self._closing = True
            self._transport.close()

    # Internals.

    def _write(self, raw: bytes) -> None:
        self._transport.write(raw)
        self._written_bytes += len(raw)
        if not self._drained.is_set():
            self._unread.update(self.unread_bytes)

    def _header_limit(self) -> int:
        return self._server.limits().max_header_bytes

    def _accepts_requests(self) -> bool:
        return self._reads_requests and not self._closing

    def _parse(self, piece: bytes) -> None:
        """Parse a piece of one request, or of what precedes it."""
        size = self._framing.take(piece, self._header_limit())
        self._feed(piece[:size])
        if size < len(piece):
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, _LONG_HEAD)
        elif self._framing.excessive:
            self._reject(HTTPStatus.BAD_REQUEST, 'framing too long')

    def _feed(self, raw: bytes) -> None:
        try:
            self._parser.feed_data(raw)
        except httptools.HttpParserCallbackError as exc:
            # The parser sets the exception of a callback as the context.
            if isinstance(exc.__context__, HeadUnsuitable):
                self._parse_again()
            else:
                self._reject_failed(repr(exc.__context__))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._reject(HTTPStatus.BAD_REQUEST, type(exc).__name__, repr(exc))

    def _misreads_body(self, req: CallerRequest) -> bool:
        """Return whether the parser takes a body for something else."""
        if self._parser.should_upgrade():
            return req.method != _CONNECT
        # The parser may take white space for a part of the coding.
        return any(
            key.lower() == b'transfer-encoding'
            and value != value.strip(WHITE_SPACE)
            for key, value in req.headers
        )

    def _parse_again(self) -> None:
        """Parse the head of a request in words that the parser knows."""
        req = self._incoming
        if req is None:
            return
        version = self._parser.get_http_version().encode()
        line = b'%b %b HTTP/%b' % (req.method, req.target, version)
        headers = stripped(without(req.headers, b'upgrade'))
        req.target = b''
        req.headers.clear()
        self._parser = httptools.HttpRequestParser(self)
        self._feed(render_head(line, headers))

    def _reject_failed(self, error: str) -> None:
        """Respond to a request that an error of ours made unreadable."""
        log_warning(_logger, _CALLBACK_FAILED, error=error)
        self._reject(HTTPStatus.INTERNAL_SERVER_ERROR, _CALLBACK_FAILED, error)

    def _reject(self, status: HTTPStatus, why: str, error: str = '') -> None:
        """Respond to an unreadable request in its turn and close.

        One whose head was accepted is left to its handler, which finds the
        body broken.
        """
        if not self._accepts_requests():
            return
        log_event(
            _logger,
            'request_rejected',
            status=status.value,
            why=why,
            error=error or 'none',
            open=len(self._order),
            waiting=len(self._queue),
            head_bytes=self._framing.head_bytes,
            head_complete=not self._reading_head,
        )
        self._reads_requests = False
        req = self._incoming or CallerRequest(self, now_s())
        self._incoming = None
        req.body.fail()
        self._pause_for('body', pause=False)
        if not (self._order.is_open(req) or req in self._queue):
            req.rejected_with = status
            req.rejected_why = why
            self._queue.append(req)
            self._start_requests()

    def _linger(self) -> None:
        # An immediate close would reset the connection if the caller has sent
        # more, and it would lose the responses that it has not read yet.
        self._closing = True
        self._drop_unstarted()
        self._schedule_abort()
        with contextlib.suppress(OSError):
            # The caller may have reset the connection already.
            self._transport.write_eof()

    def _schedule_abort(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_S, self._abort_when_sent)

    def _abort_when_sent(self) -> None:
        if self._transport.get_write_buffer_size():
            self._schedule_abort()
        else:
            self._transport.abort()

    def _start_requests(self) -> None:
        """Start the queued requests that need not wait."""
        while self._queue and not self._closing:
            if not self._may_start(self._queue[0]):
                break
            req = self._queue.popleft()
            turn = self._order.open(req)
            self._send_continue(req)
            turn.task = asyncio.ensure_future(self._serve(req))
        self._pause_for('queue', pause=self._queue_is_full())

    def _queue_is_full(self) -> bool:
        count = len(self._queue) + len(self._order)
        if not self._queue or count <= _MAX_WITH_BODIES:
            return False
        size = sum(req.body.size for req in self._queue)
        return count > _MAX_PIPELINED or size > _LARGE_BYTES

    def _may_start(self, req: CallerRequest) -> bool:
        alone = self._order.front is None
        paused = not self._drained.is_set()
        if self._unread.excessive and (paused or not alone):
            return False
        if alone:
            return not self._order.closing
        if self._server.draining or paused:
            return False
        return self._order.may_overlap(req)

    def _send_continue(self, req: CallerRequest) -> None:
        """Ask for the body of a request, which is the first one by now."""
        expected = (req.find(b'expect') or b'').lower() == b'100-continue'
        if expected and not req.body.complete:
            self._write(_CONTINUE)

    async def _serve(self, req: CallerRequest) -> None:
        try:
            await self._handle(req)
        except Exception as exc:
            # A fault in one request must not leave its caller without an
            # answer, nor end anything else.
            log_warning(_logger, 'handler_failed', error=repr(exc))
            self._respond_failed(req)
        finally:
            req.body.release()
            self._timeouts.record_activity()
            self._finish(req)

    async def _handle(self, req: CallerRequest) -> None:
        if req.rejected_with is None:
            await self._server.handler(req)
            return
        req.keep_alive = False
        await self._server.reject(req)

    def _finish(self, req: CallerRequest) -> None:
        self._order.finish(req)
        if self._order.closing:
            self._stop_reading_requests()
        self._close_if_ended()
        self._start_requests()

    def _close_if_ended(self) -> None:
        """Close the connection after the last response that it carries."""
        front = self._order.front
        if self._closing:
            return
        if front is None:
            if self._order.closing:
                self._linger()
        elif front.aborted or front.response_ended and not front.req.keep_alive:
            # The framing of an aborted response shows that it is incomplete.
            self._linger()

    def _stop_reading_requests(self) -> None:
        """Ignore what follows the request whose response closes."""
        if self._incoming is None or not self._order.is_open(self._incoming):
            self._reads_requests = False
            self._drop_unstarted()

    def _drop_unstarted(self) -> None:
        if self._incoming is not None:
            self._incoming.body.fail()
            self._incoming.body.release()
            self._incoming = None
        for queued in self._queue:
            queued.body.release()
        self._queue.clear()
        self._pause_for('body', pause=False)
        self._pause_for('queue', pause=False)

    def _respond_failed(self, req: CallerRequest) -> None:
        if not req.response_started and not self._closing:
            req.keep_alive = False
            req.respond(HTTPStatus.INTERNAL_SERVER_ERROR, [])

    def _pause(self, *, pause: bool) -> None:
        self._pause_for('body', pause=pause)

    def _pause_for(self, reason: str, *, pause: bool) -> None:
        """Read only while there is no reason not to."""
        if pause == (reason in self._pauses) or self._transport.is_closing():
            return
        if pause:
            self._pauses.add(reason)
            self._transport.pause_reading()
            return
        self._pauses.remove(reason)
        if not self._pauses:
            self._resumed_s = now_s()
            self._timeouts.record_activity()
            self._transport.resume_reading()


def _transfer_codings(req: CallerRequest) -> list[bytes]:
    """Return the transfer codings of a body in the order of their use."""
    codings: list[bytes] = []
    for key, value in req.headers:
        if key.lower() == b'transfer-encoding':
            parts = value.lower().split(b',')
            codings.extend(part.strip(WHITE_SPACE) for part in parts)
    return [coding for coding in codings if coding]


def _body_length(req: CallerRequest) -> int | None:
    """Return the length of a body, None if it is chunked."""
    length = req.find(b'content-length')
    if length is None:
        return 0 if req.find(b'transfer-encoding') is None else None
    return int(length)
