"""Serve one request: claim it if it must not repeat, choose, send, retry."""

import logging
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import attrs
from aiohttp import ClientError, ClientResponse

from ..claims.table import MAX_KEPT_BODY_BYTES
from ..control.fold import ControlState
from ..control.objects import Customer, Limit, Service
from ..core.errors import WagtailforkError
from ..core.logs import log_event
from ..core.results import ResultCode, result_class
from ..routing.admission import Admission, Demand
from ..routing.budget import RetryBudget
from ..routing.endpoint import Endpoint
from ..routing.fairness import TokenBucket
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
from .claimant import Claimant
from .exchange import Ending, Exchange, Replay
from .request import MAX_FIELD_BYTES, Body, CallerRequest

_SERVER_ERROR: Final = 500
_UNAVAILABLE: Final = 503

_logger = logging.getLogger(__name__)

Spread = Callable[[str, str], Awaitable[None]]  # fingerprint, backend server


_FAILURE_CODES: Final = {
    FailureKind.not_sent: ResultCode.no_backend,
    FailureKind.lost: ResultCode.connection_lost,
    FailureKind.silent: ResultCode.backend_silent,
    FailureKind.abandoned: ResultCode.connection_lost,
}


@attrs.define
class Dispatcher:
    """Decide and carry out what happens to each request."""

    pool: Pool
    admission: Admission
    upstream: Upstream
    _claimant: Claimant
    quarantine: Quarantine
    _spread_strike: Spread
    _spread_absolution: Callable[[str], Awaitable[None]]
    _state: ControlState = attrs.field(factory=ControlState)
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _buckets: dict[tuple[str, str], tuple[Limit, TokenBucket]] = attrs.field(
        factory=dict,
    )
    retries: int = 0

    def on_state(self, state: ControlState) -> None:
        """Take a new state of the configuration."""
        limits = state.all_of('limit') if _differ(self._state, state) else None
        self._state = state
        if limits is None:
            return
        kept = self._buckets
        self._buckets = {}
        for limit in limits.values():
            where = (limit.customer, limit.service)
            held = kept.get(where)
            if held is None or held[0] != limit:
                held = (limit, TokenBucket(limit.calls_per_s, limit.burst))
            self._buckets[where] = held

    def service_of(self, req: CallerRequest) -> Service:
        """Give the request's service after checking who may call it."""
        service = self._state.find('service', req.service)
        if not isinstance(service, Service):
            raise WagtailforkError(ResultCode.unknown_service, req.service)
        if self._state.find('customer', req.customer) is None:
            raise WagtailforkError(ResultCode.unknown_customer, req.customer)
        if self.pool.allowed(req.customer, req.service) is None:
            raise WagtailforkError(ResultCode.forbidden, req.customer)
        return service

    async def dispatch(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange | Replay:
        """Serve a request; raise a not-run or unknown error otherwise."""
        if req.method in service.once_methods:
            return await self._dispatch_once(req, service)
        self._check_rate(req)
        self._check_quarantine(req)
        return await self._dispatch_repeatable(req, service)

    async def refuse(
        self,
        req: CallerRequest,
        refusal: WagtailforkError,
    ) -> WagtailforkError:
        """Give the refusal to tell, after closing the request's key."""
        service = self._state.find('service', req.service)
        once = req.method not in _ALWAYS_REPEATABLE
        if isinstance(service, Service):
            once = req.method in service.once_methods
        if not once:
            return refusal
        return await self._claimant.close(req, refusal)

    def charge(self, exchange: Exchange, size: int) -> None:
        """Count bytes of an exchange against the link it crosses."""
        far_link = self.admission.far_link
        region = exchange.endpoint.backend.region
        if far_link is not None and region != self.pool.region:
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
            self.pool.note_failure(exchange.endpoint)
        elif ending == Ending.whole:
            exchange.endpoint.answered(took_s)
        self.admission.release(exchange.endpoint, took_s)

    async def _dispatch_repeatable(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        excluded: frozenset[str] = frozenset()
        budget = self._budget(req.service, service)
        budget.earn()
        while True:
            endpoint = await self.admission.acquire(
                self._demand(req, excluded),
            )
            try:
                return await self._attempt(req, service, endpoint)
            except WagtailforkError as exc:
                if not self._may_retry(req, exc, budget):
                    raise
            self.retries += 1
            excluded |= {endpoint.name}
            if len(excluded) >= len(self.pool.endpoints(req.service)):
                excluded = frozenset()

    def _may_retry(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        budget: RetryBudget,
    ) -> bool:
        if exc.code not in _RETRIED or not req.body.is_whole:
            return False
        if time.monotonic() >= req.deadline:
            return False
        if self.quarantine.is_refused(req.fingerprint, time.monotonic()):
            return False
        return budget.spend()

    async def _dispatch_once(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange | Replay:
        order = await self._claimant.claim(req)
        if isinstance(order, Replay):
            return order
        try:
            exchange = await self._run_claimed(req, service)
        except BaseException as exc:
            self._claimant.settle_failed(order, exc)
            raise
        self._claimant.settle_ran(order, exchange)
        return exchange

    async def _run_claimed(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        self._check_rate(req)
        self._check_quarantine(req)
        exchange = await self._dispatch_claimed(req, service)
        try:
            await exchange.read_first(MAX_KEPT_BODY_BYTES)
        except (ClientError, OSError) as exc:
            self.finish(exchange, Ending.broken)
            raise WagtailforkError(
                ResultCode.connection_lost,
                repr(exc),
            ) from exc
        return exchange

    async def _dispatch_claimed(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        excluded: frozenset[str] = frozenset()
        while True:
            demand = self._demand(req, excluded)
            endpoint = await self.admission.acquire(demand)
            try:
                return await self._attempt(req, service, endpoint)
            except WagtailforkError as exc:
                if not self._may_send_again(req, exc, service):
                    raise
            self.retries += 1
            excluded |= {endpoint.name}

    def _may_send_again(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        # Only a true 'not run' of the first server allows a second one.
        if result_class(exc.code) != 'not-run' or exc.code not in _RETRIED:
            return False
        budget = self._budget(req.service, service)
        return req.body.is_whole and budget.spend()

    async def _attempt(
        self,
        req: CallerRequest,
        service: Service,
        endpoint: Endpoint,
    ) -> Exchange:
        sent_at = time.monotonic()
        try:
            response = await self._send(req, service, endpoint)
            await self._check_response(req, endpoint, response)
        except BaseException:
            took_s = time.monotonic() - sent_at
            self.admission.release(endpoint, took_s)
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
            return await self.upstream.send(endpoint, sent, limit_s)
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
        self.pool.note_failure(endpoint)
        if kind == FailureKind.silent:
            self.upstream.suspect(endpoint)
        if kind == FailureKind.lost:
            self.upstream.retire(endpoint.backend.address)
            fingerprint = req.fingerprint
            now = time.monotonic()
            self.quarantine.strike(fingerprint, endpoint.name, now)
            # Every peer knows of the strike before the caller can send again.
            await self._spread_strike(fingerprint, endpoint.name)

    async def _check_response(
        self,
        req: CallerRequest,
        endpoint: Endpoint,
        response: ClientResponse,
    ) -> None:
        echoed = response.headers.get(names.REQUEST_ID, req.request_id)
        if echoed != req.request_id:
            response.close()
            self.upstream.retire(endpoint.backend.address)
            raise WagtailforkError(
                ResultCode.connection_lost,
                f'{endpoint.name} answered request {echoed[:MAX_FIELD_BYTES]}',
            )
        if names.DRAINING in response.headers:
            self.pool.on_draining(endpoint)
        is_shed = names.SHED in response.headers
        if is_shed and response.status == _UNAVAILABLE:
            await response.read()
            raise WagtailforkError(ResultCode.backend_shed, endpoint.name)

    def _demand(self, req: CallerRequest, excluded: frozenset[str]) -> Demand:
        customer = self._state.find('customer', req.customer)
        weight = customer.weight if isinstance(customer, Customer) else 1
        return Demand(
            customer=req.customer,
            service=req.service,
            weight=weight,
            deadline=req.deadline,
            excluded=excluded,
        )

    def _budget(self, name: str, service: Service) -> RetryBudget:
        budget = self._budgets.get(name)
        if budget is None or budget.percent != service.retry_percent:
            budget = RetryBudget(service.retry_percent)
            self._budgets[name] = budget
        return budget

    def _check_rate(self, req: CallerRequest) -> None:
        held = self._buckets.get((req.customer, req.service))
        if held is not None and not held[1].take(time.monotonic()):
            raise WagtailforkError(ResultCode.rate_limited, req.customer)

    def _check_quarantine(self, req: CallerRequest) -> None:
        fingerprint = req.fingerprint
        if self.quarantine.is_refused(fingerprint, time.monotonic()):
            crashed = ','.join(self.quarantine.crashed(fingerprint))
            raise WagtailforkError(ResultCode.quarantined, crashed)


_ALWAYS_REPEATABLE: Final = frozenset(
    (
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'DELETE',
    )
)
_RETRIED: Final = frozenset(
    (
        ResultCode.no_backend,
        ResultCode.backend_shed,
        ResultCode.connection_lost,
        ResultCode.backend_silent,
    )
)


def _differ(old: ControlState, new: ControlState) -> bool:
    return old.objects is not new.objects


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
