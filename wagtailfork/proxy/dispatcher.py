"""Request dispatch: authorization, rate limits, claims and retries."""

import time
from collections.abc import Callable
from typing import Final

import attrs
from aiohttp import ClientError

from ..claims.table import MAX_STORED_BODY_BYTES
from ..control.fold import ControlState
from ..control.objects import Customer, Service
from ..core.errors import WagtailforkError
from ..core.outcomes import NotRun, outcome_of
from ..core.results import ResultCode
from ..routing.admission import SlotRequest
from ..routing.budget import RetryBudget
from ..routing.limits import FleetLimits
from ..routing.placement import Placement
from ..routing.pool import Pool
from .claim_client import ClaimClient
from .exchange import Exchange, Replay, classify_read_error
from .hedger import HedgedError, Hedger
from .request import CallerRequest
from .sender import Sender

# Within which an accepted ticket is in force everywhere.
DENIAL_AGE_LIMIT_S: Final = 15.0


@attrs.define
class _SendHistory:
    """Record the copies sent of one idempotent request."""

    tried: frozenset[str] = frozenset()  # server names
    # Error of the first copy that may have run.
    maybe_ran: WagtailforkError | None = None

    def record_failure(self, exc: WagtailforkError) -> None:
        """Record the error of one copy."""
        if self.maybe_ran is None and not isinstance(outcome_of(exc), NotRun):
            self.maybe_ran = exc


@attrs.define
class Dispatcher:
    """Authorize, send and retry each request."""

    _pool: Pool
    _claim_client: ClaimClient
    _sender: Sender
    _placement: Placement
    _hedger: Hedger
    # Seconds since the state was known to be the newest.
    _state_age_s: Callable[[], float]
    _state: ControlState = attrs.field(factory=ControlState)
    _retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    limits: FleetLimits = attrs.field(factory=FleetLimits)
    retries: int = 0

    def on_state(self, state: ControlState) -> None:
        """Apply a new control state."""
        limits = (
            state.objects_of_kind('limit')
            if _objects_changed(self._state, state)
            else None
        )
        self._state = state
        if limits is None:
            return
        self.limits.replace(limits)

    def authorize(self, req: CallerRequest) -> Service:
        """Return the request's service if its customer may call it.

        If the state may lack a ticket, no request is called wrong.
        """
        try:
            return self._authorize(req)
        except WagtailforkError as exc:
            age_s = self._state_age_s()
            if age_s < DENIAL_AGE_LIMIT_S:
                raise
            raise WagtailforkError(
                ResultCode.configuration_stale,
                f'{exc}, by a state of {age_s:.1f} s ago',
            ) from exc

    def _authorize(self, req: CallerRequest) -> Service:
        service = self._state.get_object('service', req.service)
        if not isinstance(service, Service):
            raise WagtailforkError(ResultCode.unknown_service, req.service)
        if self._state.get_object('customer', req.customer) is None:
            raise WagtailforkError(ResultCode.unknown_customer, req.customer)
        if self._pool.allowed(req.customer, req.service) is None:
            raise WagtailforkError(ResultCode.forbidden, req.customer)
        return service

    async def dispatch(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange | Replay:
        """Send a request and return its response.

        Raise an error of the not-run or the unknown class if there is none.
        """
        if req.method in service.once_methods:
            return await self._dispatch_once(req, service)
        self._check_rate(req)
        self._placement.check(req.fingerprint)
        return await self._dispatch_idempotent(req, service)

    async def resolve_refusal(
        self,
        req: CallerRequest,
        refusal: WagtailforkError,
    ) -> WagtailforkError:
        """Return the error to report, after closing the request's key."""
        service = self._state.get_object('service', req.service)
        is_once = req.method not in _IDEMPOTENT_METHODS
        if isinstance(service, Service):
            is_once = req.method in service.once_methods
        if not is_once:
            return refusal
        return await self._claim_client.close_key(req, refusal)

    async def _dispatch_idempotent(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        history = _SendHistory()
        self._retry_budget(req.service, service).earn()
        try:
            return await self._send_with_retries(req, service, history)
        except WagtailforkError as exc:
            if history.maybe_ran is None:
                raise
            # An earlier copy may have run, whatever the last error was.
            raise history.maybe_ran from exc

    async def _send_with_retries(
        self,
        req: CallerRequest,
        service: Service,
        history: _SendHistory,
    ) -> Exchange:
        while True:
            slot_request = self._make_slot_request(req, history.tried)
            endpoint = await self._placement.acquire(
                slot_request, req.fingerprint
            )
            tried = history.tried | {endpoint.name}
            slot_request = attrs.evolve(slot_request, excluded=tried)
            try:
                return await self._hedger.attempt(
                    req,
                    service,
                    slot_request,
                    endpoint,
                )
            except WagtailforkError as exc:
                history.record_failure(exc)
                if not self._may_retry(req, exc, service):
                    raise
            history.tried = self._next_excluded(req, service, tried)

    def _next_excluded(
        self,
        req: CallerRequest,
        service: Service,
        tried: frozenset[str],
    ) -> frozenset[str]:
        if len(tried) < len(self._pool.endpoints(req.service)):
            return tried
        # All servers were tried; another round costs one retry.
        if not self._retry_budget(req.service, service).spend():
            raise WagtailforkError(ResultCode.no_backend, req.service)
        return frozenset()

    def _may_retry(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        if exc.code not in _RETRYABLE_CODES or not req.body.is_complete:
            return False
        if isinstance(exc, HedgedError):
            return False
        if time.monotonic() >= req.deadline:
            return False
        if self._placement.is_quarantined(req.fingerprint):
            return False
        return self._spend_retry(req, exc, service)

    def _spend_retry(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        # A refused connection puts no load on the server, and the server is
        # excluded from further attempts, so this retry is free.
        is_free = exc.code == ResultCode.no_backend
        if not (is_free or self._retry_budget(req.service, service).spend()):
            return False
        self.retries += 1
        return True

    async def _dispatch_once(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange | Replay:
        claim = await self._claim_client.claim(req)
        if isinstance(claim, Replay):
            return claim
        try:
            exchange = await self._run_claimed(req, service)
        except BaseException as exc:
            self._claim_client.settle_failure(claim, exc)
            raise
        self._claim_client.settle_response(claim, exchange)
        return exchange

    async def _run_claimed(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        self._check_rate(req)
        self._placement.check(req.fingerprint)
        exchange = await self._send_claimed(req, service)
        try:
            await exchange.buffer_body(MAX_STORED_BODY_BYTES)
        except (ClientError, OSError) as exc:
            await self._sender.finish(exchange, classify_read_error(exc))
            raise WagtailforkError(
                ResultCode.connection_lost,
                repr(exc),
            ) from exc
        return exchange

    async def _send_claimed(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        excluded: frozenset[str] = frozenset()
        while True:
            slot_request = self._make_slot_request(req, excluded)
            endpoint = await self._placement.acquire(
                slot_request, req.fingerprint
            )
            try:
                return await self._sender.attempt(req, service, endpoint)
            except WagtailforkError as exc:
                if not self._may_retry_claimed(req, exc, service):
                    raise
            excluded |= {endpoint.name}

    def _may_retry_claimed(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        # Another server is allowed only if the request certainly did not run.
        is_not_run = isinstance(outcome_of(exc), NotRun)
        if not is_not_run or exc.code not in _RETRYABLE_CODES:
            return False
        return req.body.is_complete and self._spend_retry(req, exc, service)

    def _make_slot_request(
        self,
        req: CallerRequest,
        excluded: frozenset[str],
    ) -> SlotRequest:
        customer = self._state.get_object('customer', req.customer)
        weight = customer.weight if isinstance(customer, Customer) else 1
        return SlotRequest(
            customer=req.customer,
            service=req.service,
            weight=weight,
            deadline=req.deadline,
            excluded=excluded,
        )

    def _retry_budget(self, name: str, service: Service) -> RetryBudget:
        budget = self._retry_budgets.get(name)
        if budget is None or budget.percent != service.retry_percent:
            budget = RetryBudget(service.retry_percent)
            self._retry_budgets[name] = budget
        return budget

    def _check_rate(self, req: CallerRequest) -> None:
        now = time.monotonic()
        if not self.limits.take(req.customer, req.service, now):
            raise WagtailforkError(ResultCode.rate_limited, req.customer)


_IDEMPOTENT_METHODS: Final = frozenset(
    (
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'DELETE',
    )
)
_RETRYABLE_CODES: Final = frozenset(
    (
        ResultCode.no_backend,
        ResultCode.backend_shed,
        ResultCode.connection_lost,
        ResultCode.backend_silent,
    )
)


def _objects_changed(old: ControlState, new: ControlState) -> bool:
    return old.objects is not new.objects
