"""Stand-in for a backend server of the platform with scripted responses."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs

from ..core.clock import now_s

_HEAD_END: Final = b'\r\n\r\n'
_HEALTH_PATH: Final = '/health'


@attrs.define
class ReceivedRequest:
    """Hold one received request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at_s: float = attrs.field(factory=now_s)  # when it had arrived


Writer = asyncio.StreamWriter
Script = Callable[['ScriptedBackend', ReceivedRequest, Writer], Awaitable[None]]


def render_response(
    req: ReceivedRequest,
    body: bytes = b'done',
    status: str = '200 OK',
    extra: str = '',
) -> bytes:
    """Render a signed response to a request."""
    request_id = req.headers.get('request-id')
    echo = f'Request-Id: {request_id}\r\n' if request_id else ''
    head = (
        f'HTTP/1.1 {status}\r\n{echo}'
        f'Server-Signature: s.1\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('latin-1') + body


async def serve_request(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Run the request and send the response."""
    backend.runs.append(req)
    await asyncio.sleep(backend.service_s)
    writer.write(render_response(req, extra=backend.load_header()))


async def shed_request(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Reject the request and report that it did not run."""
    writer.write(
        render_response(req, b'', '503 Full', 'Not-Executed: 1\r\n'),
    )


async def lose_response(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Run the request and abort the connection without a response."""
    backend.runs.append(req)
    writer.transport.abort()


async def crash_server(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Start the request, then stop the server and abort the connection."""
    await never_respond(backend, req, writer)
    await backend.stop()
    writer.transport.abort()


async def crash_process(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
    *,
    reset: bool = True,
) -> None:
    """Start the request, then end the server and all its connections."""
    backend.runs.append(req)
    await backend.crash()
    if reset:
        writer.transport.abort()
    else:
        writer.close()


def crash_within(answer: bytes, *, reset: bool = True) -> Script:
    """Return a script that ends the server after a part of an answer."""

    async def crash(
        backend: 'ScriptedBackend', req: ReceivedRequest, writer: Writer
    ) -> None:
        request_id = req.headers.get('request-id', '').encode()
        writer.write(answer.replace(b'{id}', request_id))
        await writer.drain()
        await asyncio.sleep(backend.service_s)
        await crash_process(backend, req, writer, reset=reset)

    return crash


def crash_after(delay_s: float, *, reset_first: bool = False) -> Script:
    """Return a script that ends the server later, whoever still waits."""

    async def crash(
        backend: 'ScriptedBackend', req: ReceivedRequest, writer: Writer
    ) -> None:
        backend.runs.append(req)
        if reset_first:
            writer.transport.abort()
        await asyncio.sleep(delay_s)
        await backend.crash()
        writer.transport.abort()

    return crash


async def respond_twice(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Send a second response directly after the expected one."""
    backend.runs.append(req)
    response = render_response(req)
    writer.write(response + render_response(req, b'again'))


async def truncate_response(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Close the connection within the response body."""
    backend.runs.append(req)
    writer.write(render_response(req)[:-2])
    writer.close()


async def never_respond(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Run the request and never respond."""
    backend.runs.append(req)


async def _send_nothing(
    backend: 'ScriptedBackend',
    req: ReceivedRequest,
    writer: Writer,
) -> None:
    """Send nothing before a response."""


@attrs.define(eq=False)
class ScriptedBackend:
    """Serve on loopback; ``script`` handles each request."""

    name: str
    slots: int = 4
    service_s: float = 0.005
    slowness_percent: int = 100
    limit_per_s: float | None = None  # requests a second, if it names a limit
    names_itself: bool = True  # in health checks
    max_connections: int | None = None  # it closes any beyond that
    script: Script = serve_request
    prelude: Script = _send_nothing  # before each response, probes included
    runs: list[ReceivedRequest] = attrs.field(factory=list)
    arrivals: list[ReceivedRequest] = attrs.field(factory=list)
    probes: int = 0
    connections: int = 0
    closed: int = 0
    _server: asyncio.Server | None = None
    _handlers: set['asyncio.Task[Any]'] = attrs.field(factory=set)
    _ended: bool = False

    @property
    def address(self) -> str:
        """Return the listening address; port 1 before the start."""
        if self._server is None:
            return '127.0.0.1:1'
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def load_header(self) -> str:
        """Render the headers for the load and for the limit, if any."""
        load = f'Server-Load: 0,0,{self.slots},{self.slowness_percent}\r\n'
        if self.limit_per_s is None:
            return load
        return f'{load}Server-Limit: {self.limit_per_s}\r\n'

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._handle_connection, '127.0.0.1', 0
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def crash(self) -> None:
        """End as a process does, but for the connection that asks for it."""
        self._ended = True
        await self.stop()
        for handler in self._handlers - {asyncio.current_task()}:
            handler.cancel()

    async def end(self) -> None:
        """Stop listening and end all open connections."""
        self._ended = True
        await self.stop()
        handlers = tuple(self._handlers)
        for handler in handlers:
            handler.cancel()
        await asyncio.gather(*handlers)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        handler = asyncio.current_task()
        assert handler is not None  # noqa: S101
        if len(self._handlers) == self.max_connections:
            writer.transport.abort()
            return
        self.connections += 1
        self._handlers.add(handler)
        try:
            await self._serve_requests(reader, writer)
        except asyncio.CancelledError:
            if not self._ended:
                raise
        finally:
            self._handlers.discard(handler)
            self.closed += 1
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._handle_request(reader, writer)
                await writer.drain()

    async def _handle_request(
        self,
        reader: asyncio.StreamReader,
        writer: Writer,
    ) -> None:
        req = await _read_request(reader)
        await self.prelude(self, req, writer)
        if req.path == _HEALTH_PATH:
            self.probes += 1
            name = f'Instance-Id: {self.name}\r\n' if self.names_itself else ''
            extra = f'{name}{self.load_header()}'
            writer.write(render_response(req, b'', extra=extra))
            return
        self.arrivals.append(req)
        if req.headers.get('target-instance', self.name) != self.name:
            writer.write(render_response(req, b'', '421 Misdirected Request'))
            return
        await self.script(self, req, writer)


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(_HEAD_END)).decode('latin-1')
    request_line, *header_lines = head.rstrip().split('\r\n')
    method, path = request_line.split(' ')[:2]
    pairs = [line.split(': ', 1) for line in header_lines]
    headers = {pair[0].lower(): pair[1] for pair in pairs}
    size = int(headers.get('content-length', '0'))
    return ReceivedRequest(
        method, path, headers, await reader.readexactly(size)
    )
