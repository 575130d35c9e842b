"""Decide what happens to a request: checks, claim, queue, retries."""

import time
from typing import Final

import attrs
from aiohttp import ClientError

from ..claims.table import MAX_KEPT_BODY_BYTES
from ..control.fold import ControlState
from ..control.objects import Customer, Service
from ..core.errors import WagtailforkError
from ..core.outcomes import NotRun, outcome_of
from ..core.results import ResultCode
from ..routing.admission import Demand
from ..routing.budget import RetryBudget
from ..routing.limits import FleetLimits
from ..routing.placement import Placement
from ..routing.pool import Pool
from .claimant import Claimant
from .exchange import Exchange, Replay, ending_of
from .hedger import HedgedError, Hedger
from .request import CallerRequest
from .sender import Sender


@attrs.define
class _Sends:
    """Follow the copies of one repeatable request."""

    tried: frozenset[str] = frozenset()  # servers
    unsure: WagtailforkError | None = None  # of the first copy that may run

    def note(self, exc: WagtailforkError) -> None:
        """Note how one copy ended."""
        if self.unsure is None and not isinstance(outcome_of(exc), NotRun):
            self.unsure = exc


@attrs.define
class Dispatcher:
    """Decide and carry out what happens to each request."""

    _pool: Pool
    _claimant: Claimant
    _sender: Sender
    _placement: Placement
    _hedger: Hedger
    _state: ControlState = attrs.field(factory=ControlState)
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    limits: FleetLimits = attrs.field(factory=FleetLimits)
    retries: int = 0

    def on_state(self, state: ControlState) -> None:
        """Take a new state of the configuration."""
        limits = state.all_of('limit') if _differ(self._state, state) else None
        self._state = state
        if limits is None:
            return
        self.limits.replace(limits)

    def service_of(self, req: CallerRequest) -> Service:
        """Give the request's service after checking who may call it."""
        service = self._state.find('service', req.service)
        if not isinstance(service, Service):
            raise WagtailforkError(ResultCode.unknown_service, req.service)
        if self._state.find('customer', req.customer) is None:
            raise WagtailforkError(ResultCode.unknown_customer, req.customer)
        if self._pool.allowed(req.customer, req.service) is None:
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
        self._placement.check(req.fingerprint)
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

    async def _dispatch_repeatable(
        self,
        req: CallerRequest,
        service: Service,
    ) -> Exchange:
        sends = _Sends()
        self._budget(req.service, service).earn()
        try:
            return await self._send_until_answered(req, service, sends)
        except WagtailforkError as exc:
            if sends.unsure is None:
                raise
            # A refusal at last says nothing of the copies before it.
            raise sends.unsure from exc

    async def _send_until_answered(
        self,
        req: CallerRequest,
        service: Service,
        sends: _Sends,
    ) -> Exchange:
        while True:
            demand = self._demand(req, sends.tried)
            endpoint = await self._placement.acquire(demand, req.fingerprint)
            tried = sends.tried | {endpoint.name}
            demand = attrs.evolve(demand, excluded=tried)
            try:
                return await self._hedger.attempt(
                    req,
                    service,
                    demand,
                    endpoint,
                )
            except WagtailforkError as exc:
                sends.note(exc)
                if not self._may_retry(req, exc, service):
                    raise
            sends.tried = self._exclude(req, service, tried)

    def _exclude(
        self,
        req: CallerRequest,
        service: Service,
        tried: frozenset[str],
    ) -> frozenset[str]:
        if len(tried) < len(self._pool.endpoints(req.service)):
            return tried
        # All were tried, so going on must be within the budget.
        if not self._budget(req.service, service).spend():
            raise WagtailforkError(ResultCode.no_backend, req.service)
        return frozenset()

    def _may_retry(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        if exc.code not in _RETRIED or not req.body.is_whole:
            return False
        if isinstance(exc, HedgedError):
            return False
        if time.monotonic() >= req.deadline:
            return False
        if self._placement.is_quarantined(req.fingerprint):
            return False
        return self._spend(req, exc, service)

    def _spend(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        # A refused connection cost no server anything, and the server is
        # not tried again for this request.
        is_free = exc.code == ResultCode.no_backend
        if not (is_free or self._budget(req.service, service).spend()):
            return False
        self.retries += 1
        return True

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
        self._placement.check(req.fingerprint)
        exchange = await self._dispatch_claimed(req, service)
        try:
            await exchange.read_first(MAX_KEPT_BODY_BYTES)
        except (ClientError, OSError) as exc:
            await self._sender.finish(exchange, ending_of(exc))
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
            endpoint = await self._placement.acquire(demand, req.fingerprint)
            try:
                return await self._sender.attempt(req, service, endpoint)
            except WagtailforkError as exc:
                if not self._may_send_again(req, exc, service):
                    raise
            excluded |= {endpoint.name}

    def _may_send_again(
        self,
        req: CallerRequest,
        exc: WagtailforkError,
        service: Service,
    ) -> bool:
        # Only a true 'not run' of the first server allows a second one.
        is_not_run = isinstance(outcome_of(exc), NotRun)
        if not is_not_run or exc.code not in _RETRIED:
            return False
        return req.body.is_whole and self._spend(req, exc, service)

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
        now = time.monotonic()
        if not self.limits.take(req.customer, req.service, now):
            raise WagtailforkError(ResultCode.rate_limited, req.customer)


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
