"""A stand-in for a backend server of the platform that answers by script."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

_END: Final = b'\r\n\r\n'
_HEALTH: Final = '/health'


@attrs.define
class SeenRequest:
    """Record one request that arrived."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Writer = asyncio.StreamWriter
Script = Callable[['ScriptedBackend', SeenRequest, Writer], Awaitable[None]]


def render_answer(
    seen: SeenRequest,
    body: bytes = b'done',
    status: str = '200 OK',
    extra: str = '',
) -> bytes:
    """Render a signed answer to a request."""
    head = (
        f'HTTP/1.1 {status}\r\n'
        f'Request-Id: {seen.headers.get("request-id", "")}\r\n'
        f'Server-Signature: s.1\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def serve_well(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Run the request and answer."""
    backend.runs.append(seen)
    await asyncio.sleep(backend.work_s)
    writer.write(render_answer(seen, extra=backend.load_header()))


async def shed(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Say that the request did not run."""
    writer.write(
        render_answer(seen, b'', '503 Full', 'Not-Executed: 1\r\n'),
    )


async def lose_answer(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Run the request and reset the connection."""
    backend.runs.append(seen)
    writer.transport.abort()


async def crash(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Begin to run the request and take the whole server down."""
    backend.runs.append(seen)
    await backend.stop()
    writer.transport.abort()


async def answer_twice(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Answer with another answer's bytes behind the right ones."""
    backend.runs.append(seen)
    answer = render_answer(seen)
    writer.write(answer + render_answer(seen, b'again'))


async def cut_short(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Break off within the body."""
    backend.runs.append(seen)
    writer.write(render_answer(seen)[:-2])
    writer.close()


async def stay_silent(
    backend: 'ScriptedBackend',
    seen: SeenRequest,
    writer: Writer,
) -> None:
    """Run the request and never answer."""
    backend.runs.append(seen)


@attrs.define(eq=False)
class ScriptedBackend:
    """Serve on loopback; ``script`` decides what happens to requests."""

    name: str
    slots: int = 4
    work_s: float = 0.005
    slowness: int = 100
    script: Script = serve_well
    runs: list[SeenRequest] = attrs.field(factory=list)
    arrivals: list[SeenRequest] = attrs.field(factory=list)
    probes: int = 0
    connections: int = 0
    closed: int = 0
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Give the address that is served."""
        if self._server is None:
            return '127.0.0.1:1'
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def load_header(self) -> str:
        """Render the load figures."""
        return f'Server-Load: 0,0,{self.slots},{self.slowness}\r\n'

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._serve_one(reader, writer)
                await writer.drain()
        self.closed += 1
        writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: Writer,
    ) -> None:
        seen = await _read_request(reader)
        if seen.path == _HEALTH:
            self.probes += 1
            extra = f'Instance-Id: {self.name}\r\n{self.load_header()}'
            writer.write(render_answer(seen, b'', extra=extra))
            return
        self.arrivals.append(seen)
        if seen.headers.get('target-instance', self.name) != self.name:
            writer.write(render_answer(seen, b'', '421 Misdirected Request'))
            return
        await self.script(self, seen, writer)


async def _read_request(reader: asyncio.StreamReader) -> SeenRequest:
    head = (await reader.readuntil(_END)).decode()
    first, *lines = head.rstrip().split('\r\n')
    method, path = first.split(' ')[:2]
    pairs = [line.split(': ', 1) for line in lines]
    headers = {pair[0].lower(): pair[1] for pair in pairs}
    size = int(headers.get('content-length', '0'))
    return SeenRequest(method, path, headers, await reader.readexactly(size))
