"""Send a request to one backend server and check its response."""

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
from ..routing.placement import Placement
from ..routing.pool import Pool
from ..routing.upstream import (
    STALL_TIMEOUT_S,
    FailureKind,
    StreamedBody,
    Upstream,
    UpstreamError,
    UpstreamRequest,
)
from . import headers as hdrs
from .exchange import EndReason, Exchange
from .request import MAX_FIELD_BYTES, Body, CallerRequest

_SERVER_ERROR: Final = 500
_UNAVAILABLE: Final = 503
_SHED_VALUE: Final = '1'
_SERVER_FAULTS: Final = frozenset((EndReason.broken, EndReason.stalled))

_FAILURE_CODES: Final = {
    FailureKind.not_sent: ResultCode.no_backend,
    FailureKind.lost: ResultCode.connection_lost,
    FailureKind.silent: ResultCode.backend_silent,
    FailureKind.abandoned: ResultCode.connection_lost,
}

_logger = logging.getLogger(__name__)


class PeerNotifier(Protocol):
    """Notify peer VMs of crashes and responses by request fingerprint."""

    async def notify_strike(self, fingerprint: str, backend: str) -> None:
        """Notify peers that a server crashed while it ran a request."""

    async def notify_absolve(self, fingerprint: str) -> None:
        """Notify peers that a request got a complete response."""

    async def notify_running(self, fingerprint: str, backend: str) -> None:
        """Notify peers that a server has an unanswered copy."""


@attrs.define
class Sender:
    """Send requests and record the outcome of each exchange."""

    _pool: Pool
    _admission: Admission
    _upstream: Upstream
    _placement: Placement
    _notifier: PeerNotifier
    _notify_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def attempt(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> Exchange:
        """Send a request to one server whose slot is acquired.

        Raise a not-run error only if no byte of the request can have
        reached the server, or if the server shed it.
        """
        sent_at = time.monotonic()
        try:
            response = await self._send(req, service, endpoint)
            self._check_response(req, endpoint, response)
        except BaseException:
            duration_s = time.monotonic() - sent_at
            self._admission.release(endpoint, duration_s)
            # A copy that may still run stays recorded as abandoned.
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
            await self._record_response(exchange)
        except BaseException:
            # The caller may disconnect here, and nothing else can finish the
            # exchange yet.
            await self.finish(exchange, EndReason.cancelled)
            raise
        return exchange

    async def _record_response(self, exchange: Exchange) -> None:
        if exchange.far_link is not None:
            head_bytes = hdrs.header_bytes(exchange.response.headers.items())
            await exchange.far_link.pay(head_bytes)
        fingerprint = exchange.fingerprint
        peers_notified = self._placement.unanswered.answered(fingerprint)
        # The server may still crash before the response is complete, so a
        # fingerprint with strikes is cleared only in finish().
        is_suspect = self._placement.quarantine.is_suspect(fingerprint)
        if peers_notified and not is_suspect:
            await self._notifier.notify_absolve(fingerprint)

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
        timeout_s = remaining_s
        if not req.body.is_complete:
            # Rate limiting of the cross-region link may delay the first chunk.
            timeout_s = min(remaining_s, STALL_TIMEOUT_S)
        elif req.method not in service.once_methods:
            timeout_s = min(remaining_s, service.first_byte_s)
        far_link = self._far_link(endpoint)
        outgoing = _make_upstream_request(req, remaining_s, far_link)
        if far_link is not None:
            head_bytes = len(outgoing.target) + hdrs.header_bytes(
                outgoing.headers
            )
            far_link.charge(head_bytes + _body_bytes(outgoing), sent_at)
        try:
            return await self._upstream.send(endpoint, outgoing, timeout_s)
        except asyncio.CancelledError:
            self._record_abandoned(req.fingerprint, endpoint)
            raise
        except UpstreamError as exc:
            await self._record_failure(req, endpoint, exc.kind)
            raise WagtailforkError(
                _FAILURE_CODES[exc.kind],
                f'{endpoint.name}: {exc.detail}',
            ) from exc

    async def _record_failure(
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
            self._record_abandoned(req.fingerprint, endpoint)
            return
        self._pool.record_failure(endpoint)
        if kind == FailureKind.silent:
            self._record_abandoned(req.fingerprint, endpoint)
            self._upstream.check_connections(endpoint)
        if kind == FailureKind.lost:
            self._upstream.retire(endpoint.backend.address)
            await self._record_strike(req.fingerprint, endpoint)
        if kind == FailureKind.not_sent and self._had_copy(req, endpoint):
            # The server received an earlier copy and now refuses connections.
            await self._record_strike(req.fingerprint, endpoint)

    def _had_copy(self, req: CallerRequest, endpoint: Endpoint) -> bool:
        unanswered = self._placement.unanswered
        unanswered.end(req.fingerprint, endpoint.name)
        now = time.monotonic()
        return endpoint.name in unanswered.servers(req.fingerprint, now)

    async def _record_strike(
        self,
        fingerprint: str,
        endpoint: Endpoint,
    ) -> None:
        self._placement.strike(fingerprint, endpoint.name)
        # Await the peers so that they have the strike before the caller can
        # send the request again.
        await self._notifier.notify_strike(fingerprint, endpoint.name)

    def _record_abandoned(self, fingerprint: str, endpoint: Endpoint) -> None:
        now = time.monotonic()
        unanswered = self._placement.unanswered
        if not unanswered.abandon(fingerprint, endpoint.name, now):
            return
        self._notify_running(fingerprint, endpoint.name)

    def notify_slow_requests(self) -> None:
        """Notify peers of slow requests in background tasks."""
        for copy in self._placement.unanswered.due_reports(time.monotonic()):
            self._notify_running(*copy)

    def _notify_running(self, fingerprint: str, backend: str) -> None:
        notification = self._notifier.notify_running(fingerprint, backend)
        task = asyncio.create_task(notification)
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    def _check_response(
        self,
        req: CallerRequest,
        endpoint: Endpoint,
        response: ClientResponse,
    ) -> None:
        echo_id = response.headers.get(hdrs.REQUEST_ID, req.request_id)
        if echo_id != req.request_id:
            response.close()
            self._upstream.retire(endpoint.backend.address)
            raise WagtailforkError(
                ResultCode.connection_lost,
                f'{endpoint.name} answered request {echo_id[:MAX_FIELD_BYTES]}',
            )
        if hdrs.REQUEST_ID not in response.headers:
            self._check_unnamed(endpoint, response)
        if hdrs.DRAINING in response.headers:
            self._pool.on_draining(endpoint)
        if _is_shed(response):
            response.release()
            raise WagtailforkError(ResultCode.backend_shed, endpoint.name)

    def _check_unnamed(
        self, endpoint: Endpoint, response: ClientResponse
    ) -> None:
        """Raise ``connection_lost`` if it may answer an earlier request."""
        if not self._upstream.on_reused_connection(response):
            # A copy of it could not be told from the next response.
            self._upstream.end_connection(response)
            return
        response.close()
        self._upstream.retire(endpoint.backend.address)
        raise WagtailforkError(
            ResultCode.connection_lost,
            f'{endpoint.name} answered without an id on a kept connection',
        )

    def _far_link(self, endpoint: Endpoint) -> LinkBudget | None:
        is_near = endpoint.backend.region == self._pool.region
        return None if is_near else self._admission.far_link

    async def finish(self, exchange: Exchange, end_reason: EndReason) -> None:
        """Release the slot of an exchange and record how its relay ended."""
        self._close_exchange(exchange, end_reason)
        fingerprint = exchange.fingerprint
        if end_reason == EndReason.broken:
            await self._record_strike(fingerprint, exchange.endpoint)
            return
        is_suspect = self._placement.quarantine.is_suspect(fingerprint)
        if end_reason == EndReason.whole and is_suspect:
            self._placement.absolve(fingerprint)
            await self._notifier.notify_absolve(fingerprint)

    def _close_exchange(
        self,
        exchange: Exchange,
        end_reason: EndReason,
    ) -> None:
        duration_s = time.monotonic() - exchange.sent_at
        if end_reason == EndReason.whole:
            exchange.response.release()
        else:
            # Closing the connection cancels the request at the server.
            exchange.response.close()
        is_error = exchange.response.status >= _SERVER_ERROR
        if end_reason in _SERVER_FAULTS or is_error:
            self._pool.record_failure(exchange.endpoint)
        elif end_reason == EndReason.whole:
            exchange.endpoint.answered(duration_s)
        self._admission.release(exchange.endpoint, duration_s)


def _is_shed(response: ClientResponse) -> bool:
    stated = response.headers.get(hdrs.SHED, '').strip() == _SHED_VALUE
    return stated and response.status == _UNAVAILABLE


def _make_upstream_request(
    req: CallerRequest,
    remaining_s: float,
    far_link: LinkBudget | None,
) -> UpstreamRequest:
    headers = hdrs.filter_request_headers(req.headers)
    headers = [pair for pair in headers if pair[0] != hdrs.REQUEST_ID]
    headers.append((hdrs.REQUEST_ID, req.request_id))
    if req.has_caller_deadline or req.body.is_complete:
        remaining_ms = max(1, int(remaining_s * 1000))
        headers.append((hdrs.DEADLINE_MS, str(remaining_ms)))
    return UpstreamRequest(
        method=req.method,
        target=req.target,
        headers=headers,
        body=_make_body(req.body, far_link),
        request_id=req.request_id,
    )


def _body_bytes(outgoing: UpstreamRequest) -> int:
    return len(outgoing.body) if isinstance(outgoing.body, bytes) else 0


def _make_body(
    body: Body,
    far_link: LinkBudget | None,
) -> bytes | StreamedBody:
    if body.remainder is None:
        return body.buffered
    chunks = _all_chunks(body)
    if far_link is not None:
        chunks = _throttle_chunks(chunks, far_link)
    return StreamedBody(chunks)


async def _throttle_chunks(
    chunks: AsyncIterator[bytes],
    far_link: LinkBudget,
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        await far_link.pay(len(chunk))
        yield chunk


async def _all_chunks(body: Body) -> AsyncIterator[bytes]:
    yield body.buffered
    if body.remainder is None:
        return
    async for chunk in body.remainder:
        yield chunk
