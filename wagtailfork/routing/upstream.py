"""Exchanges with backend servers over pooled HTTP connections.

This path uses the client of aiohttp instead of aiosonic: aiosonic 1.3 never
waits for a slow reader while it sends a body, and resends some requests on
its own when a connection is lost.
"""

import asyncio
import enum
import functools
import socket
import weakref
from collections.abc import AsyncIterator, Callable, Sequence
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
import attrs
from aiohttp import ClientResponse, ClientSession
from yarl import URL

from ..http1.carried_ids import CarriedIds
from .endpoint import Endpoint
from .strict_client import StrictHandler

CONNECT_TIMEOUT_S: Final = 1.0
STALL_TIMEOUT_S: Final = 30.0  # limit between two chunks of a streamed body
_IDLE_CONNECTION_S: Final = 15.0
_UNACKED_DATA_TIMEOUT_MS: Final = 3000
_KEEPALIVE_IDLE_S: Final = 2
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 3
_HEALTH_PROBE_TIMEOUT_S: Final = 0.5
_MIN_STATUS: Final = 100

Headers = Sequence[tuple[str, str]]


class FailureKind(enum.StrEnum):
    """Classify how much of a failed request may have reached the server."""

    not_sent = 'not_sent'
    lost = 'lost'
    silent = 'silent'
    abandoned = 'abandoned'  # by the caller, within its body


class BodyAbandoned(Exception):
    """Report that the caller closed its connection within its body."""


class UpstreamError(Exception):
    """Report that an exchange failed."""

    def __init__(self, kind: FailureKind, detail: str) -> None:
        """Store the kind of failure and the message of the HTTP client."""
        super().__init__(kind, detail)
        self.kind = kind
        self.detail = detail


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """Hold a request as it is sent to the backend server."""

    method: str
    target: str  # path with query, percent-encoded
    headers: Headers
    body: 'bytes | StreamedBody'
    request_id: str | None  # as in the headers


@attrs.define
class StreamedBody:
    """Stream a body as it arrives and report its progress.

    ``on_progress`` is called with the seconds that the next step may take.
    """

    _chunks: AsyncIterator[bytes]
    on_progress: Callable[[float], None] | None = None
    is_abandoned: bool = False  # the caller closed before the end of the body
    is_sent: bool = False  # the HTTP client has taken all of it

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the chunks, reporting progress at each."""
        try:
            async for chunk in self._chunks:
                self._report_progress(STALL_TIMEOUT_S)
                yield chunk
        except BodyAbandoned:
            self.is_abandoned = True
            raise
        self.is_sent = True
        self._report_progress(STALL_TIMEOUT_S)

    def _report_progress(self, limit_s: float) -> None:
        if self.on_progress is not None:
            self.on_progress(limit_s)


def _make_socket(info: Any) -> socket.socket:
    family, kind, proto = info[:3]
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKED_DATA_TIMEOUT_MS)
    return sock


@attrs.define(eq=False)
class _Exchange:
    """Hold the id of a request, its connection, and whether that was used."""

    request_id: str | None
    body: bytes | StreamedBody
    reused: bool = False
    protocol: Any = None

    def is_sending(self) -> bool:
        """Return whether a part of the body was not passed on."""
        return isinstance(self.body, StreamedBody) and not self.body.is_sent


_exchange: ContextVar[_Exchange | None] = ContextVar('exchange', default=None)


class _Connector(aiohttp.TCPConnector):
    """Give each request a connection that may carry its id."""

    def __init__(self, **options: Any) -> None:
        """Initialize a connector without connections."""
        super().__init__(**options)
        handler_type: Any = StrictHandler
        self._factory = functools.partial(handler_type, loop=self._loop)
        self._carried: weakref.WeakKeyDictionary[Any, CarriedIds] = (
            weakref.WeakKeyDictionary()
        )

    async def connect(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Return an idle or new connection for the current exchange."""
        exchange = _exchange.get()
        request_id = None if exchange is None else exchange.request_id
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol = conn.protocol
            assert isinstance(protocol, StrictHandler)  # noqa: S101
            carried = self._carried.setdefault(protocol, CarriedIds())
            # Bytes that arrived while it was idle must not pass for an answer.
            if carried.may_carry(request_id) and not protocol.should_close:
                break
            conn.close()
        if exchange is not None:
            exchange.reused = bool(carried.count)
            protocol.is_sending = exchange.is_sending
            exchange.protocol = protocol
        carried.add(request_id)
        return conn


def _make_session() -> ClientSession:
    connector = _Connector(
        limit=0,
        keepalive_timeout=_IDLE_CONNECTION_S,
        socket_factory=_make_socket,
    )
    session = ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
        ),
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'Content-Type',
            'User-Agent',
        ),
    )
    # The dispatcher retries, since it decides which requests may run twice.
    session._retry_connection = False  # noqa: SLF001
    return session


def _payload(body: bytes | StreamedBody, scope: asyncio.Timeout) -> Any:
    if isinstance(body, bytes):
        return body or None
    loop = asyncio.get_running_loop()
    body.on_progress = lambda limit_s: scope.reschedule(loop.time() + limit_s)
    return body.stream()


def _loss_kind(body: bytes | StreamedBody) -> FailureKind:
    if isinstance(body, StreamedBody) and body.is_abandoned:
        return FailureKind.abandoned
    return FailureKind.lost


def _check_status(response: ClientResponse) -> None:
    if response.status < _MIN_STATUS:
        response.close()
        detail = f'invalid status {response.status:03}'
        raise UpstreamError(FailureKind.lost, detail)


@attrs.define
class Upstream:
    """Keep one client session for each backend server's address."""

    _sessions: dict[str, ClientSession] = attrs.field(factory=dict)
    _retired: list[ClientSession] = attrs.field(factory=list)
    _probe_tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    retirements: int = 0
    _exchanges: weakref.WeakKeyDictionary[ClientResponse, _Exchange] = (
        attrs.field(factory=weakref.WeakKeyDictionary)
    )

    async def send(
        self,
        endpoint: Endpoint,
        req: UpstreamRequest,
        first_byte_s: float,
    ) -> ClientResponse:
        """Send a request and return the response once its head has arrived.

        Raise ``UpstreamError``; its kind ``not_sent`` guarantees that no byte
        of the request left this process.
        """
        address = endpoint.backend.address
        url = URL(f'http://{address}{req.target}', encoded=True)
        session = self._session(address)
        exchange = _Exchange(req.request_id, req.body)
        token = _exchange.set(exchange)
        try:
            async with asyncio.timeout(first_byte_s) as scope:
                response = await session.request(
                    req.method,
                    url,
                    headers=req.headers,
                    data=_payload(req.body, scope),
                    allow_redirects=False,
                )
        except aiohttp.ClientConnectorError as exc:
            raise UpstreamError(FailureKind.not_sent, repr(exc)) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise UpstreamError(FailureKind.not_sent, repr(exc)) from exc
        except TimeoutError as exc:
            raise UpstreamError(FailureKind.silent, address) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise UpstreamError(_loss_kind(req.body), repr(exc)) from exc
        finally:
            _exchange.reset(token)
        _check_status(response)
        self._exchanges[response] = exchange
        return response

    def on_reused_connection(self, response: ClientResponse) -> bool:
        """Return whether its connection carried another exchange before."""
        return self._exchanges[response].reused

    def end_connection(self, response: ClientResponse) -> None:
        """Let no further request follow on the connection of a response."""
        protocol = self._exchanges[response].protocol
        protocol.force_close()
        if response.connection is None:
            # It is idle already, as the whole response came with its head.
            protocol.close()

    def check_connections(self, endpoint: Endpoint) -> None:
        """Probe on a new connection; if it answers, retire the existing ones.

        A server that answers the probe is healthy, so the connection was at
        fault, and the others to the same address are likely to fail in the
        same way.
        """
        address = endpoint.backend.address
        if address in self._probe_tasks:
            return
        task = asyncio.create_task(self._probe(address))
        self._probe_tasks[address] = task
        task.add_done_callback(
            lambda _done: self._probe_tasks.pop(address, None)
        )

    def retire(self, address: str) -> None:
        """Stop reusing the open connections to an address."""
        session = self._sessions.pop(address, None)
        if session is None:
            return
        self.retirements += 1
        self._retired.append(session)

    async def sweep(self) -> None:
        """Close retired sessions without requests in flight."""
        for session in tuple(self._retired):
            connector = session.connector
            if connector is not None and connector._acquired:  # noqa: SLF001
                continue
            self._retired.remove(session)
            await session.close()

    async def close(self) -> None:
        """Close all connections."""
        for session in (*self._sessions.values(), *self._retired):
            await session.close()
        self._sessions = {}
        self._retired = []

    def _session(self, address: str) -> ClientSession:
        session = self._sessions.get(address)
        if session is None:
            session = _make_session()
            self._sessions[address] = session
        return session

    async def _probe(self, address: str) -> None:
        session = _make_session()
        try:
            async with asyncio.timeout(_HEALTH_PROBE_TIMEOUT_S):
                response = await session.get(f'http://{address}/health')
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        finally:
            await session.close()
        self.retire(address)
