"""Requests of callers, and limits on their size and duration."""

from typing import Final, Protocol

import attrs

from .body import Body
from .headers import Header, header_value, render_chunk, without
from .target import split_target

_LAST_CHUNK: Final = b'0\r\n\r\n'


@attrs.frozen(kw_only=True)
class Limits:
    """Bound the size of requests, the time for a head and the idle time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ResponseWriter(Protocol):
    """Methods of a connection that send the response to a request."""

    def start_response(
        self,
        req: 'CallerRequest',
        status: int,
        headers: list[Header],
        payload: bytes,
    ) -> None:
        """Write the head of a response and the bytes that follow it."""

    async def write_piece(self, req: 'CallerRequest', piece: bytes) -> None:
        """Write a piece of a body, with flow control."""

    def end_response(self, req: 'CallerRequest') -> None:
        """Close the connection after its last response."""

    def abort_response(self, req: 'CallerRequest') -> None:
        """Abort the connection once earlier responses are sent."""

    async def wait_to_respond(self, req: 'CallerRequest', size: int) -> None:
        """Wait until a response of this size may be sent or held."""

    async def wait_turn(self, req: 'CallerRequest') -> None:
        """Wait until all responses to earlier requests are sent."""


@attrs.define(eq=False)
class CallerRequest:
    """Hold one request, possibly incomplete, and send its response."""

    conn: ResponseWriter
    arrived_s: float
    method: bytes = b''
    target: bytes = b''
    # Not in the representation, as it may hold keys.
    headers: list[Header] = attrs.field(factory=list, repr=False)
    body: Body = attrs.field(factory=Body)
    keep_alive: bool = True
    overlaps: bool = False  # may run beside others of its connection
    response_started: bool = False
    rejected_with: int | None = None  # the status for an invalid request
    rejected_why: str = ''

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header by its lower-case name."""
        return header_value(self.headers, name)

    def use_origin_form(self) -> None:
        """Take the host from a target that names it, whatever ``Host`` says.

        >>> req = CallerRequest(None, 0, target=b'http://a/b?c')
        >>> req.use_origin_form()
        >>> req.target, req.find(b'host')
        (b'/b?c', b'a')
        """
        host, target = split_target(self.target)
        if host:
            self.target = target
            others = without(self.headers, b'host')
            self.headers = [(b'Host', host), *others]

    def respond(
        self,
        status: int,
        headers: list[Header],
        payload: bytes = b'',
    ) -> None:
        """Send a complete response."""
        head = [*headers, (b'Content-Length', str(len(payload)).encode())]
        sent_payload = b'' if self.method == b'HEAD' else payload
        self.conn.start_response(self, status, head, sent_payload)
        self.conn.end_response(self)

    async def stream_response(
        self,
        status: int,
        headers: list[Header],
        body: Body,
    ) -> None:
        """Send a chunked response; raise ``BodyTruncated`` at an early end."""
        head = [*headers, (b'Transfer-Encoding', b'chunked')]
        self.conn.start_response(self, status, head, b'')
        async for piece in body.read():
            await self.conn.write_piece(self, render_chunk(piece))
        await self.conn.write_piece(self, _LAST_CHUNK)
        self.conn.end_response(self)

    def abort(self) -> None:
        """Abort the connection so that no response appears complete."""
        self.conn.abort_response(self)

    async def wait_to_respond(self, size: int) -> None:
        """Wait until a response of this size may be sent or held."""
        await self.conn.wait_to_respond(self, size)

    async def wait_turn(self) -> None:
        """Wait until all responses to earlier requests are sent."""
        await self.conn.wait_turn(self)
