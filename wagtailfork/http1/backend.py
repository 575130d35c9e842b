"""Client side of a connection to a backend server, without pipelining."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import httptools

from ..core.clock import now_s
from .body import Body
from .carried_ids import CarriedIds
from .headers import WHITE_SPACE, Header, render_chunk
from .responses import (
    BackendResponse,
    ConnectionRefused,
    InvalidStatus,
    RequestNotSent,
    ResponseError,
)

_INFORMATIONAL_START: Final = 100
_INFORMATIONAL_END: Final = 200
_BODILESS: Final = frozenset((204, 304))
_LAST_CHUNK: Final = b'0\r\n\r\n'
# Bytes of one exchange that belong to no body: heads, interim responses, blank
# lines, chunk sizes and trailers. Common servers limit a head to 8 to 64 KiB.
MAX_OVERHEAD_BYTES: Final = 65536
# Bodies of responses to other requests, skipped during one exchange.
MAX_SKIPPED_BYTES: Final = 1048576

Accept = Callable[[BackendResponse], bool]


def _accept_all(_response: BackendResponse) -> bool:
    return True


class BackendConnection(asyncio.Protocol):
    """Send requests and parse responses strictly.

    After any unexpected input the connection is not reused.
    """

    def __init__(self) -> None:
        """Initialize the state of an unconnected protocol."""
        self.carried = CarriedIds()
        self.idle_since = now_s()
        self.idle_duration_s = 0.0  # before the current request
        self.keep_alive_s: float | None = None
        self._transport: Any = None
        self._parser: Any = None
        self._waiter: asyncio.Future[BackendResponse] | None = None
        self._response: BackendResponse | None = None
        self._headers: list[Header] = []
        self._reading_head = False
        self._accept: Accept = _accept_all
        self._skipping = False
        self._until_close = False
        self._is_sending = False  # a streamed body is not written completely
        self._head_only = False
        self._reusable = True
        self._response_complete = False
        self._received_bytes = 0  # of the current exchange
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._drained = asyncio.Event()
        self._drained.set()
        # Called when the connection ends, unless its owner closes it.
        self.on_lost: Callable[[], None] | None = None

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, raw: bytes) -> None:
        """Parse received bytes; close on bytes outside a response."""
        if self._parser is None:
            self.close()
            return
        self._received_bytes += len(raw)
        try:
            self._parser.feed_data(raw)
        except httptools.HttpParserUpgrade:
            self._fail('the backend server switched protocols')
        except httptools.HttpParserError as exc:
            self._fail(f'invalid response: {exc!r}')
        self._check_overhead()
        if self._response_complete:
            # The parser must not be released within one of its callbacks.
            self._response_complete = False
            self._parser = None
            self.idle_since = now_s()

    def eof_received(self) -> None:
        """Complete a response delimited by close; fail any other.

        A server that has not read the whole request resets the connection when
        it closes it. The reset may follow an end of the stream, so that is not
        trusted before the request is written completely.
        """
        if self._is_sending or self._transport.get_write_buffer_size():
            self._fail('connection closed within the request')
            return
        if self._until_close and self._response is not None:
            self._reusable = False
            self._response.body.finish()
            self._parser = None
        self._fail('connection closed by the backend server')

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._fail(f'connection lost: {exc!r}')
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Pause sending of the request body."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Resume sending of the request body."""
        self._drained.set()

    # Interface for the owner of the connection.

    @property
    def local_port(self) -> int:
        """Return the local port, 0 if the connection is not open."""
        name = self._transport and self._transport.get_extra_info('sockname')
        return name[1] if name else 0

    @property
    def reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        alive = self._transport is not None and not self._transport.is_closing()
        return self._reusable and alive and self._parser is None

    def close(self) -> None:
        """Abort the connection."""
        self._reusable = False
        self.on_lost = None
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        head: bytes,
        body: Body | None = None,
        accept: Accept = _accept_all,
        *,
        request_id: str | None,
        head_only: bool = False,
    ) -> BackendResponse:
        """Send one request and wait for the head of its response.

        ``accept`` returns whether a response belongs to the request; others
        are skipped. For ``request_id`` see ``CarriedIds``. Raise
        ``RequestNotSent`` or ``ResponseError``.
        """
        if not self.reusable:
            raise RequestNotSent('the connection was closed while idle')
        if not self.carried.may_carry(request_id):
            raise RequestNotSent(f'the connection has carried {request_id!r}')
        self.carried.add(request_id)
        self._start_exchange(accept, head_only=head_only)
        waiter = self._waiter
        assert waiter is not None  # noqa: S101
        body_stream = self._send(head, body)
        if body_stream is None:
            return await self._await_response(waiter)
        send_task = asyncio.ensure_future(body_stream)
        try:
            return await self._await_response(waiter)
        finally:
            if not send_task.done():
                # A partly sent body leaves no boundary for the next request.
                self._reusable = False
                send_task.cancel()

    async def _await_response(
        self, waiter: asyncio.Future[BackendResponse]
    ) -> BackendResponse:
        try:
            return await waiter
        except asyncio.CancelledError:
            self.close()
            raise

    def _start_exchange(self, accept: Accept, *, head_only: bool) -> None:
        self.idle_duration_s = now_s() - self.idle_since
        self._accept = accept
        self._head_only = head_only
        self._until_close = False
        self._is_sending = False
        self._response = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = asyncio.get_running_loop().create_future()

    def _send(self, head: bytes, body: Body | None) -> Any:
        if body is None:
            self._transport.write(head)
            return None
        if body.kept:
            self._transport.write(head + body.payload())
            return None
        return self._stream(head, body)

    async def _stream(self, head: bytes, body: Body) -> None:
        chunked = b'\r\nTransfer-Encoding: chunked\r\n' in head
        self._is_sending = True
        self._transport.write(head)
        try:
            async for piece in body.read():
                self._transport.write(render_chunk(piece) if chunked else piece)
                await self._drained.wait()
        except Exception as exc:
            # The caller aborted the body, so the backend server must not
            # receive a valid end of it.
            self._fail(f'request body: {exc!r}')
            return
        if chunked:
            self._transport.write(_LAST_CHUNK)
        self._is_sending = False

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start the head of a response."""
        if self._response is not None:
            # A second response: the first is complete and stays valid.
            self._reusable = False
            self._skipping = True
        self._reading_head = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        if self._reading_head:
            # A trailer must not pass for a header.
            self._headers.append((name, value.strip(WHITE_SPACE)))

    def on_headers_complete(self) -> None:
        """Pass the response to the waiter if it is accepted."""
        self._reading_head = False
        if self._response is not None:
            return
        status = self._parser.get_status_code()
        if status < _INFORMATIONAL_START:
            self._skipping = True
            self._fail_with(InvalidStatus(status))
            return
        response = BackendResponse(
            status, self._headers, Body(pause_source=self._pause)
        )
        self._skipping = status < _INFORMATIONAL_END
        if not self._skipping and not self._accept(response):
            self._skipping = True
            self._reusable = False
        if self._skipping:
            return
        self._response = response
        self._read_framing(response)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)
        if self._head_only:
            self._reusable = False
            response.body.finish()

    def on_body(self, piece: bytes) -> None:
        """Feed a piece to the response body."""
        if self._skipping or self._response is None:
            self._skipped_bytes += len(piece)
            return
        self._body_bytes += len(piece)
        if not self._head_only:
            self._response.body.feed(piece)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._skipping:
            self._skipping = False
            return
        response = self._response
        if response is None or self._until_close:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._response_complete = True
        response.body.finish()

    def _check_overhead(self) -> None:
        """Fail an exchange that receives bytes of no response without end."""
        body_bytes = self._body_bytes + self._skipped_bytes
        overhead_bytes = self._received_bytes - body_bytes
        # A chunk of a few bytes costs as many to frame.
        if overhead_bytes > MAX_OVERHEAD_BYTES + body_bytes:
            self._fail(f'{overhead_bytes} bytes outside of a response body')
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(f'{self._skipped_bytes} bytes for other requests')

    def _read_framing(self, response: BackendResponse) -> None:
        sized = response.find(b'content-length') is not None
        chunked = response.find(b'transfer-encoding') is not None
        bodiless = response.status in _BODILESS or self._head_only
        self._until_close = not (sized or chunked or bodiless)
        response.until_close = self._until_close
        keep_alive = response.find(b'keep-alive') or b''
        _, _, timeout = keep_alive.partition(b'timeout=')
        digits = timeout.split(b',')[0].strip()
        if digits.isdigit():
            self.keep_alive_s = float(digits)

    def _pause(self, *, pause: bool) -> None:
        if self._transport.is_closing():
            return
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _fail(self, reason: str) -> None:
        self._fail_with(ResponseError(reason))

    def _fail_with(self, error: ResponseError) -> None:
        self._reusable = False
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        if self._response is not None:
            self._response.body.fail()
        if self._transport is not None:
            self._transport.abort()


async def connect(host: str, port: int, timeout_s: float) -> BackendConnection:
    """Open a connection; raise ``RequestNotSent`` on error or timeout.

    Raise its subclass ``ConnectionRefused`` if nothing listens there.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                BackendConnection, host, port
            )
    except ConnectionRefusedError as exc:
        raise ConnectionRefused(f'{host}:{port}: {exc!r}') from exc
    except (OSError, TimeoutError) as exc:
        raise RequestNotSent(f'{host}:{port}: {exc!r}') from exc
    return conn
