"""Send one request to one backend server and judge what came back."""

import logging
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import attrs
from aiohttp import ClientResponse

from ..control.objects import Service
from ..core.errors import WagtailforkError
from ..core.logs import log_event
from ..core.results import ResultCode
from ..routing.admission import Admission
from ..routing.endpoint import Endpoint
from ..routing.pool import Pool
from ..routing.quarantine import Quarantine
from ..routing.upstream import (
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

_FAILURE_CODES: Final = {
    FailureKind.not_sent: ResultCode.no_backend,
    FailureKind.lost: ResultCode.connection_lost,
    FailureKind.silent: ResultCode.backend_silent,
    FailureKind.abandoned: ResultCode.connection_lost,
}

_logger = logging.getLogger(__name__)

SpreadStrike = Callable[[str, str], Awaitable[None]]  # fingerprint, server
SpreadAbsolution = Callable[[str], Awaitable[None]]


@attrs.define
class Sender:
    """Carry out single exchanges and learn from their ends."""

    _pool: Pool
    _admission: Admission
    _upstream: Upstream
    quarantine: Quarantine
    _spread_strike: SpreadStrike
    _spread_absolution: SpreadAbsolution

    def is_quarantined(self, req: CallerRequest) -> bool:
        """Tell whether requests like this crashed too many servers."""
        now = time.monotonic()
        return self.quarantine.is_refused(req.fingerprint, now)

    def check_quarantine(self, req: CallerRequest) -> None:
        """Raise ``quarantined`` for a request that crashes servers."""
        if len(self.quarantine) and self.is_quarantined(req):
            crashed = ','.join(self.quarantine.crashed(req.fingerprint))
            raise WagtailforkError(ResultCode.quarantined, crashed)

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
            raise
        await self._absolve(req)
        return Exchange(endpoint, response, sent_at)

    async def _absolve(self, req: CallerRequest) -> None:
        if not len(self.quarantine):
            return
        if self.quarantine.is_suspect(req.fingerprint):
            self.quarantine.absolve(req.fingerprint)
            await self._spread_absolution(req.fingerprint)

    async def _send(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> ClientResponse:
        remaining_s = req.deadline - time.monotonic()
        if remaining_s <= 0:
            raise WagtailforkError(ResultCode.deadline_passed, req.request_id)
        limit_s = remaining_s
        if req.method not in service.once_methods:
            limit_s = min(remaining_s, service.first_byte_s)
        sent = _upstream_request(req, remaining_s)
        try:
            return await self._upstream.send(endpoint, sent, limit_s)
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
            return
        self._pool.note_failure(endpoint)
        if kind == FailureKind.silent:
            self._upstream.suspect(endpoint)
        if kind == FailureKind.lost:
            self._upstream.retire(endpoint.backend.address)
            fingerprint = req.fingerprint
            now = time.monotonic()
            self.quarantine.strike(fingerprint, endpoint.name, now)
            # Every peer knows of the strike before the caller can send again.
            await self._spread_strike(fingerprint, endpoint.name)

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

    def charge(self, exchange: Exchange, size: int) -> None:
        """Count bytes of an exchange against the link it crosses."""
        far_link = self._admission.far_link
        region = exchange.endpoint.backend.region
        if far_link is not None and region != self._pool.region:
            far_link.charge(size, time.monotonic())

    def finish(self, exchange: Exchange, ending: Ending) -> None:
        """End an exchange whose answer was passed on, whole or not."""
        took_s = time.monotonic() - exchange.sent_at
        if ending == Ending.whole:
            exchange.response.release()
        else:
            # Closing the connection is how the server hears a cancellation.
            exchange.response.close()
        is_error = exchange.response.status >= _SERVER_ERROR
        if ending == Ending.broken or is_error:
            self._pool.note_failure(exchange.endpoint)
        elif ending == Ending.whole:
            exchange.endpoint.answered(took_s)
        self._admission.release(exchange.endpoint, took_s)


def _upstream_request(
    req: CallerRequest,
    remaining_s: float,
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
        body=_outgoing(req.body),
    )


def _outgoing(body: Body) -> bytes | StreamedBody:
    if body.rest is None:
        return body.first
    return StreamedBody(_joined(body))


async def _joined(body: Body) -> AsyncIterator[bytes]:
    yield body.first
    if body.rest is None:
        return
    async for chunk in body.rest:
        yield chunk
