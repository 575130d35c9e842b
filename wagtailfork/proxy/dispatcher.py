"""Serve one request: claim it if it must not repeat, choose, send, retry."""

import enum
import logging
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
from aiohttp import ClientError, ClientResponse

from ..claims.keys import parse_key
from ..claims.register import ClaimOrder, Register
from ..claims.table import (
    MAX_KEPT_BODY_BYTES,
    Answer,
    ClaimState,
    Decision,
)
from ..control.fold import ControlState
from ..control.objects import Customer, Limit, Service
from ..core.errors import WagtailforkError
from ..core.logs import log_event
from ..core.results import ResultCode, result_class
from ..peers.messages import ClaimReply
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
from .request import Body, CallerRequest

_SERVER_ERROR: Final = 500
_UNAVAILABLE: Final = 503
_CLAIM_ID_BYTES: Final = 8

_logger = logging.getLogger(__name__)

Spread = Callable[[str, str], Awaitable[None]]  # fingerprint, backend server


class Ending(enum.StrEnum):
    """Say how the passing on of an answer ended."""

    whole = 'whole'
    broken = 'broken'  # by the backend server
    cancelled = 'cancelled'  # by the caller


@attrs.define(eq=False)
class Exchange:
    """Hold a backend server's answer while it is passed on."""

    endpoint: Endpoint
    response: ClientResponse
    sent_at: float
    first: bytes = b''  # the part of the body that is already read
    whole: bool = False  # whether ``first`` is the whole body


@attrs.frozen
class Replay:
    """Hold the kept answer of a request that ran before."""

    answer: Answer


_DECISION_CODES: Final = {
    Decision.in_progress: ResultCode.in_progress,
    Decision.pending: ResultCode.in_progress,
    Decision.ran: ResultCode.replayed,
    Decision.ran_not_kept: ResultCode.ran_answer_not_kept,
    Decision.closed: ResultCode.key_closed,
    Decision.unknown: ResultCode.connection_lost,
    Decision.conflict: ResultCode.key_conflict,
    Decision.expired: ResultCode.key_expired,
}

_FAILURE_CODES: Final = {
    FailureKind.not_sent: ResultCode.no_backend,
    FailureKind.lost: ResultCode.connection_lost,
    FailureKind.silent: ResultCode.backend_silent,
}


@attrs.define
class Dispatcher:
    """Decide and carry out what happens to each request."""

    pool: Pool
    admission: Admission
    upstream: Upstream
    register: Register
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
        self._state = state
        kept = self._buckets
        self._buckets = {}
        for limit in state.all_of('limit').values():
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

    async def close_key(
        self,
        req: CallerRequest,
        refusal: WagtailforkError,
    ) -> WagtailforkError:
        """Give the true refusal of a request that was refused unclaimed.

        'Not run' is true only once no other send of the key can run, so the
        key is claimed and closed first.
        """
        if not self._is_keyed(req):
            return refusal
        try:
            order = self._order(req)
        except WagtailforkError:
            # A key that is not ours never runs, whoever sends it.
            return refusal
        try:
            reply = await self._claim(req, order)
        except WagtailforkError as exc:
            return exc
        decision = Decision(reply.decision)
        if decision == Decision.granted:
            self.register.settle(order, ClaimState.closed, Answer())
            return refusal
        if decision == Decision.closed:
            return refusal
        return WagtailforkError(_DECISION_CODES[decision], order.key.suffix)

    def _is_keyed(self, req: CallerRequest) -> bool:
        service = self._state.find('service', req.service)
        if isinstance(service, Service):
            return req.method in service.once_methods
        return req.method not in _ALWAYS_REPEATABLE

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
            exchange.endpoint.failed(time.monotonic())
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
        order = self._order(req)
        reply = await self._claim(req, order)
        decision = Decision(reply.decision)
        if decision == Decision.ran:
            return Replay(
                Answer(
                    status=reply.status,
                    content_type=reply.content_type,
                    body=reply.body,
                ),
            )
        if decision != Decision.granted:
            self.register.settle(order, ClaimState.pending, Answer())
            raise WagtailforkError(_DECISION_CODES[decision], order.key.suffix)
        try:
            return await self._run_claimed(req, service, order)
        except BaseException as exc:
            self.register.settle(order, _state_after(exc), Answer())
            raise

    def _order(self, req: CallerRequest) -> ClaimOrder:
        if not req.key_text:
            raise WagtailforkError(ResultCode.key_missing, req.method)
        return ClaimOrder(
            key=parse_key(req.key_text),
            customer=req.customer,
            digest=req.fingerprint,
            claim_id=secrets.token_hex(_CLAIM_ID_BYTES),
        )

    async def _claim(
        self,
        req: CallerRequest,
        order: ClaimOrder,
    ) -> ClaimReply:
        try:
            return await self.register.claim(order, req.deadline)
        except BaseException:
            # This send will never dispatch: let a later one claim the key.
            self.register.settle(order, ClaimState.pending, Answer())
            raise

    async def _run_claimed(
        self,
        req: CallerRequest,
        service: Service,
        order: ClaimOrder,
    ) -> Exchange:
        self._check_rate(req)
        self._check_quarantine(req)
        exchange = await self._dispatch_claimed(req, service)
        try:
            await self._read_first(exchange)
        except (ClientError, OSError) as exc:
            self.finish(exchange, Ending.broken)
            raise WagtailforkError(
                ResultCode.connection_lost,
                repr(exc),
            ) from exc
        self._settle_ran(order, exchange)
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
                # Only 'not run' answers allow a second server.
                if result_class(exc.code) != 'not-run':
                    raise
                if exc.code not in _RETRIED or not req.body.is_whole:
                    raise
                budget = self._budget(req.service, service)
                if not budget.spend():
                    raise
            self.retries += 1
            excluded |= {endpoint.name}

    def _settle_ran(self, order: ClaimOrder, exchange: Exchange) -> None:
        if not exchange.whole or len(exchange.first) > MAX_KEPT_BODY_BYTES:
            self.register.settle(order, ClaimState.ran_not_kept, Answer())
            return
        content_type = exchange.response.headers.get('content-type', '')
        answer = Answer(
            status=exchange.response.status,
            content_type=content_type,
            body=exchange.first,
        )
        self.register.settle(order, ClaimState.ran, answer)

    async def _read_first(self, exchange: Exchange) -> None:
        stream = exchange.response.content
        first = bytearray()
        while len(first) <= MAX_KEPT_BODY_BYTES:
            chunk = await stream.readany()
            if not chunk:
                exchange.whole = True
                break
            first.extend(chunk)
        exchange.first = bytes(first)

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
            endpoint.failed(time.monotonic())
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
                f'{endpoint.name} answered request {echoed[:64]}',
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


def _state_after(exc: BaseException) -> ClaimState:
    if isinstance(exc, WagtailforkError):
        if result_class(exc.code) == 'not-run':
            return ClaimState.closed
    return ClaimState.unknown


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


async def _joined(body: Body):  # type: ignore[no-untyped-def]
    yield body.first
    if body.rest is None:
        return
    async for chunk in body.rest:
        yield chunk
