"""Send one request to one backend server and judge what came back."""

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from typing import Final, Protocol

import attrs
from aiohttp import ClientResponse

from ..control.objects import Service
from ..core.errors import WagtailforkError
from ..core.logs import log_event
from ..core.results import ResultCode
from ..routing.admission import Admission
from ..routing.budget import LinkBudget
from ..routing.endpoint import Endpoint
from ..routing.pool import Pool
from ..routing.placement import Placement
from ..routing.upstream import (
    STALL_TIMEOUT_S,
    FailureKind,
    StreamedBody,
    Upstream,
    UpstreamError,
    UpstreamRequest,
)
from . import headers as names
from .exchange import Ending, Exchange
from .request import MAX_FIELD_BYTES, Body, CallerRequest

_SERVER_ERROR: Final = 500
_UNAVAILABLE: Final = 503
_FAILED: Final = frozenset((Ending.broken, Ending.stalled))

_FAILURE_CODES: Final = {
    FailureKind.not_sent: ResultCode.no_backend,
    FailureKind.lost: ResultCode.connection_lost,
    FailureKind.silent: ResultCode.backend_silent,
    FailureKind.abandoned: ResultCode.connection_lost,
}

_logger = logging.getLogger(__name__)


class Peers(Protocol):
    """Tell the other entry VMs what became of a fingerprint."""

    async def strike(self, fingerprint: str, backend: str) -> None:
        """Tell that a server crashed under a request."""

    async def absolve(self, fingerprint: str) -> None:
        """Tell that a request was answered whole."""

    async def running(self, fingerprint: str, backend: str) -> None:
        """Tell that a server holds a request without an answer."""


@attrs.define
class Sender:
    """Carry out single exchanges and learn from their ends."""

    _pool: Pool
    _admission: Admission
    _upstream: Upstream
    _placement: Placement
    _peers: Peers
    _telling: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def attempt(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> Exchange:
        """Send a request to one server whose slot was acquired.

        Raise an error of the class that its bytes allow.
        """
        sent_at = time.monotonic()
        try:
            response = await self._send(req, service, endpoint)
            self._check_response(req, endpoint, response)
        except BaseException:
            took_s = time.monotonic() - sent_at
            self._admission.release(endpoint, took_s)
            # Of a copy that may still run, _send has left a record.
            self._placement.unanswered.end(req.fingerprint, endpoint.name)
            raise
        exchange = Exchange(
            endpoint,
            response,
            sent_at,
            req.fingerprint,
            self._far_link(endpoint),
        )
        try:
            await self._note_answer(exchange)
        except BaseException:
            # The caller may leave now, and nobody else holds the exchange.
            await self.finish(exchange, Ending.cancelled)
            raise
        return exchange

    async def _note_answer(self, exchange: Exchange) -> None:
        if exchange.far_link is not None:
            head_size = names.size(exchange.response.headers.items())
            await exchange.far_link.pay(head_size)
        fingerprint = exchange.fingerprint
        was_told = self._placement.unanswered.answered(fingerprint)
        # A server may still crash within the answer, so strikes stay.
        is_suspect = self._placement.quarantine.is_suspect(fingerprint)
        if was_told and not is_suspect:
            await self._peers.absolve(fingerprint)

    async def _send(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> ClientResponse:
        sent_at = time.monotonic()
        remaining_s = req.deadline - sent_at
        if remaining_s <= 0:
            raise WagtailforkError(ResultCode.deadline_passed, req.request_id)
        limit_s = remaining_s
        if not req.body.is_whole:
            # A body may wait for the paid link before its first part moves.
            limit_s = min(remaining_s, STALL_TIMEOUT_S)
        elif req.method not in service.once_methods:
            limit_s = min(remaining_s, service.first_byte_s)
        far_link = self._far_link(endpoint)
        sent = _upstream_request(req, remaining_s, far_link)
        if far_link is not None:
            head_size = len(sent.target) + names.size(sent.headers)
            far_link.charge(head_size + _held_size(sent), sent_at)
        try:
            return await self._upstream.send(endpoint, sent, limit_s)
        except asyncio.CancelledError:
            self._leave(req.fingerprint, endpoint)
            raise
        except UpstreamError as exc:
            await self._note_failure(req, endpoint, exc.kind)
            raise WagtailforkError(
                _FAILURE_CODES[exc.kind],
                f'{endpoint.name}: {exc.detail}',
            ) from exc

    async def _note_failure(
        self,
        req: CallerRequest,
        endpoint: Endpoint,
        kind: FailureKind,
    ) -> None:
        log_event(
            _logger,
            'exchange_failed',
            request=req.request_id,
            backend=endpoint.name,
            kind=kind.value,
        )
        if kind == FailureKind.abandoned:
            self._leave(req.fingerprint, endpoint)
            return
        self._pool.note_failure(endpoint)
        if kind == FailureKind.silent:
            self._leave(req.fingerprint, endpoint)
            self._upstream.suspect(endpoint)
        if kind == FailureKind.lost:
            self._upstream.retire(endpoint.backend.address)
            await self._strike(req.fingerprint, endpoint)
        if kind == FailureKind.not_sent and self._held_before(req, endpoint):
            # It answers no connection any more since it got a copy of this.
            await self._strike(req.fingerprint, endpoint)

    def _held_before(self, req: CallerRequest, endpoint: Endpoint) -> bool:
        unanswered = self._placement.unanswered
        unanswered.end(req.fingerprint, endpoint.name)
        now = time.monotonic()
        return endpoint.name in unanswered.servers(req.fingerprint, now)

    async def _strike(self, fingerprint: str, endpoint: Endpoint) -> None:
        self._placement.strike(fingerprint, endpoint.name)
        # Every peer knows of the strike before the caller can send again.
        await self._peers.strike(fingerprint, endpoint.name)

    def _leave(self, fingerprint: str, endpoint: Endpoint) -> None:
        now = time.monotonic()
        unanswered = self._placement.unanswered
        if not unanswered.leave(fingerprint, endpoint.name, now):
            return
        self._tell_running(fingerprint, endpoint.name)

    def tell_slow(self) -> None:
        """Tell peers, without waiting, of requests that run for long."""
        for found in self._placement.unanswered.due(time.monotonic()):
            self._tell_running(*found)

    def _tell_running(self, fingerprint: str, backend: str) -> None:
        telling = self._peers.running(fingerprint, backend)
        task = asyncio.create_task(telling)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    def _check_response(
        self,
        req: CallerRequest,
        endpoint: Endpoint,
        response: ClientResponse,
    ) -> None:
        echoed = response.headers.get(names.REQUEST_ID, req.request_id)
        if echoed != req.request_id:
            response.close()
            self._upstream.retire(endpoint.backend.address)
            raise WagtailforkError(
                ResultCode.connection_lost,
                f'{endpoint.name} answered request {echoed[:MAX_FIELD_BYTES]}',
            )
        if names.DRAINING in response.headers:
            self._pool.on_draining(endpoint)
        is_shed = names.SHED in response.headers
        if is_shed and response.status == _UNAVAILABLE:
            response.release()
            raise WagtailforkError(ResultCode.backend_shed, endpoint.name)

    def _far_link(self, endpoint: Endpoint) -> LinkBudget | None:
        is_near = endpoint.backend.region == self._pool.region
        return None if is_near else self._admission.far_link

    async def finish(self, exchange: Exchange, ending: Ending) -> None:
        """End an exchange whose answer was passed on, whole or not."""
        self._close(exchange, ending)
        fingerprint = exchange.fingerprint
        if ending == Ending.broken:
            await self._strike(fingerprint, exchange.endpoint)
            return
        is_suspect = self._placement.quarantine.is_suspect(fingerprint)
        if ending == Ending.whole and is_suspect:
            self._placement.absolve(fingerprint)
            await self._peers.absolve(fingerprint)

    def _close(self, exchange: Exchange, ending: Ending) -> None:
        took_s = time.monotonic() - exchange.sent_at
        if ending == Ending.whole:
            exchange.response.release()
        else:
            # Closing the connection is how the server hears a cancellation.
            exchange.response.close()
        is_error = exchange.response.status >= _SERVER_ERROR
        if ending in _FAILED or is_error:
            self._pool.note_failure(exchange.endpoint)
        elif ending == Ending.whole:
            exchange.endpoint.answered(took_s)
        self._admission.release(exchange.endpoint, took_s)


def _upstream_request(
    req: CallerRequest,
    remaining_s: float,
    far_link: LinkBudget | None,
) -> UpstreamRequest:
    headers = names.forwarded(req.headers)
    headers = [pair for pair in headers if pair[0] != names.REQUEST_ID]
    headers.append((names.REQUEST_ID, req.request_id))
    if req.deadline_given or req.body.is_whole:
        remaining_ms = max(1, int(remaining_s * 1000))
        headers.append((names.DEADLINE_MS, str(remaining_ms)))
    return UpstreamRequest(
        method=req.method,
        target=req.target,
        headers=headers,
        body=_outgoing(req.body, far_link),
    )


def _held_size(sent: UpstreamRequest) -> int:
    return len(sent.body) if isinstance(sent.body, bytes) else 0


def _outgoing(
    body: Body,
    far_link: LinkBudget | None,
) -> bytes | StreamedBody:
    if body.rest is None:
        return body.first
    chunks = _joined(body)
    if far_link is not None:
        chunks = _paced(chunks, far_link)
    return StreamedBody(chunks)


async def _paced(
    chunks: AsyncIterator[bytes],
    far_link: LinkBudget,
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        await far_link.pay(len(chunk))
        yield chunk


async def _joined(body: Body) -> AsyncIterator[bytes]:
    yield body.first
    if body.rest is None:
        return
    async for chunk in body.rest:
        yield chunk
