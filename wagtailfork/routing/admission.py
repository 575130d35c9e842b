"""Queue requests until a backend server has a free slot, in fair order."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .budget import LinkBudget
from .endpoint import Endpoint
from .fairness import FairQueue
from .policies import LeastInFlight, Policy, choose
from .pool import Pool, SlotFilter
from .share import NextRequest, SlotShare

# Wait after which unlent slots are used if the dealer is silent.
UNLENT_AFTER_S: Final = 0.1
FAR_AFTER_S: Final = 0.1  # wait after which another region is used
_SERVICE_TIME_EWMA_WEIGHT: Final = 0.05


@attrs.frozen(kw_only=True)
class SlotRequest:
    """Request a slot of a service."""

    customer: str
    service: str
    weight: float
    deadline: float  # monotonic, seconds
    excluded: frozenset[str] = frozenset()


@attrs.define(eq=False)
class _Waiter:
    slot_request: SlotRequest
    fut: asyncio.Future[Endpoint]
    since: float


@attrs.define
class _ServiceState:
    queue: FairQueue[_Waiter] = attrs.field(factory=FairQueue)
    service_time_s: float = 0


@attrs.define
class Admission:
    """Assign the slots of a pool's endpoints to requests."""

    _pool: Pool
    _queue_limit: int
    _policy: Policy = attrs.field(factory=LeastInFlight)
    share: SlotShare | None = None
    far_link: LinkBudget | None = None
    _clock: Callable[[], float] = time.monotonic
    _rng: random.Random = attrs.field(factory=random.Random)
    _services: dict[str, _ServiceState] = attrs.field(factory=dict)
    refusals: int = 0

    def queued(self) -> dict[str, int]:
        """Count the queued requests of each service."""
        return {
            name: len(state.queue)
            for name, state in self._services.items()
            if len(state.queue)
        }

    async def acquire(self, slot_request: SlotRequest) -> Endpoint:
        """Wait for a slot; raise a not-run error if none is free in time."""
        allowed = self._allowed(slot_request)
        state = self._services.setdefault(slot_request.service, _ServiceState())
        if not len(state.queue):
            slot_filter = SlotFilter(
                excluded=slot_request.excluded,
                is_far_link_open=self._is_far_link_open(),
            )
            endpoint = self._choose(allowed, slot_filter)
            if endpoint is not None:
                self._count_begun(slot_request)
                return endpoint
        self._check_expected_wait(state, allowed, slot_request)
        waiter = _Waiter(
            slot_request,
            asyncio.get_running_loop().create_future(),
            self._clock(),
        )
        self._make_room(state, slot_request)
        state.queue.push(slot_request.customer, slot_request.weight, waiter)
        self._send_want(slot_request.service, state)
        return await self._wait(state, waiter)

    def release(self, endpoint: Endpoint, took_s: float) -> None:
        """Free a slot, record its service time and serve queued requests."""
        endpoint.end_request()
        service = endpoint.backend.service
        state = self._services.setdefault(service, _ServiceState())
        change = took_s - state.service_time_s
        state.service_time_s += change * _SERVICE_TIME_EWMA_WEIGHT
        self._reassign(endpoint, state)

    def take(self, endpoint: Endpoint, slot_request: SlotRequest) -> bool:
        """Take a slot of one server, lent or not, if one is free."""
        if endpoint.in_flight >= endpoint.backend.slots:
            return False
        endpoint.begin_request()
        self._count_begun(slot_request)
        return True

    def is_queue_empty(self, service: str) -> bool:
        """Return whether no request is queued for a service."""
        state = self._services.get(service)
        return state is None or not state.queue.customers()

    def release_unused(self, endpoint: Endpoint) -> None:
        """Free a slot that was not used."""
        endpoint.end_request()
        service = endpoint.backend.service
        self._reassign(
            endpoint, self._services.setdefault(service, _ServiceState())
        )

    def sweep(self) -> None:
        """Serve queued requests whose endpoints became usable over time."""
        for service, state in self._services.items():
            if len(state.queue):
                self._serve(service, state)

    def _allowed(self, slot_request: SlotRequest) -> list[Endpoint]:
        allowed = self._pool.allowed(
            slot_request.customer, slot_request.service
        )
        if allowed is None:
            raise WagtailforkError(ResultCode.forbidden, slot_request.customer)
        usable = [
            each
            for each in allowed
            if each.name not in slot_request.excluded
            and each.state not in {'draining', 'gone'}
        ]
        if not usable:
            raise WagtailforkError(ResultCode.no_backend, slot_request.service)
        return usable

    def _choose(
        self, allowed: list[Endpoint], slot_filter: SlotFilter
    ) -> Endpoint | None:
        free = self._pool.free(allowed, slot_filter)
        if not free:
            return None
        endpoint = choose(self._policy, free, self._rng)
        endpoint.begin_request()
        return endpoint

    def _slot_filter(self, waiter: _Waiter) -> SlotFilter:
        waited_s = self._clock() - waiter.since
        is_silent = False
        if self.share is not None and waited_s > UNLENT_AFTER_S:
            is_silent = self.share.is_dealer_silent(waiter.slot_request.service)
        return SlotFilter(
            excluded=waiter.slot_request.excluded,
            allow_unlent=is_silent,
            far=waited_s > FAR_AFTER_S,
            is_far_link_open=self._is_far_link_open(),
        )

    def _is_far_link_open(self) -> bool:
        if self.far_link is None:
            return True
        return self.far_link.is_open(self._clock())

    def _check_expected_wait(
        self,
        state: _ServiceState,
        allowed: list[Endpoint],
        slot_request: SlotRequest,
    ) -> None:
        slots = sum(_usable_slots(each) for each in allowed)
        backlog = state.queue.backlog(slot_request.customer) + 1
        requests_ahead = min(
            len(state.queue), backlog * max(1, state.queue.customers())
        )
        wait_s = requests_ahead * state.service_time_s / max(1, slots)
        if self._clock() + wait_s > slot_request.deadline:
            self.refusals += 1
            raise WagtailforkError(ResultCode.overloaded, slot_request.service)

    def _make_room(
        self, state: _ServiceState, slot_request: SlotRequest
    ) -> None:
        if len(state.queue) < self._queue_limit:
            return
        customers = max(1, state.queue.customers())
        if (
            state.queue.backlog(slot_request.customer) * customers
            >= self._queue_limit
        ):
            self.refusals += 1
            raise WagtailforkError(ResultCode.overloaded, slot_request.service)
        evicted = state.queue.pop_longest()
        if evicted is not None and not evicted.fut.done():
            self.refusals += 1
            evicted.fut.set_exception(
                WagtailforkError(ResultCode.overloaded, slot_request.service),
            )

    async def _wait(self, state: _ServiceState, waiter: _Waiter) -> Endpoint:
        limit = waiter.slot_request.deadline - self._clock()
        taken = False
        try:
            async with asyncio.timeout(limit):
                endpoint = await waiter.fut
                taken = True
                return endpoint
        except TimeoutError as exc:
            raise WagtailforkError(
                ResultCode.deadline_passed,
                waiter.slot_request.service,
            ) from exc
        finally:
            state.queue.discard(waiter.slot_request.customer, waiter)
            if not taken:
                _free_assigned_slot(waiter)

    def _reassign(self, endpoint: Endpoint, state: _ServiceState) -> None:
        if self.share is not None:
            self.share.on_release(endpoint, _next_request(state))
        self._serve(endpoint.backend.service, state)

    def serve(self, service: str) -> None:
        """Serve the queued requests of one service after a grant."""
        state = self._services.get(service)
        if state is not None:
            self._serve(service, state)

    def _serve(self, service: str, state: _ServiceState) -> None:
        while len(state.queue):
            waiter = state.queue.pop_first(self._try_serve)
            if waiter is None:
                break
        self._send_want(service, state)

    def _send_want(self, service: str, state: _ServiceState) -> None:
        if self.share is None:
            return
        starts = [waiter.since for waiter in state.queue.heads()]
        oldest = min(starts, default=0)
        self.share.want(service, state.queue.backlogs(), oldest)

    def _try_serve(self, waiter: _Waiter) -> bool:
        if waiter.fut.done():
            return True
        slot_request = waiter.slot_request
        allowed = self._pool.allowed(
            slot_request.customer, slot_request.service
        )
        endpoint = self._choose(allowed or [], self._slot_filter(waiter))
        if endpoint is None:
            return False
        waiter.fut.set_result(endpoint)
        self._count_begun(slot_request)
        return True

    def _count_begun(self, slot_request: SlotRequest) -> None:
        if self.share is not None:
            amount = 1 / slot_request.weight
            self.share.count(
                slot_request.service, slot_request.customer, amount
            )


def _next_request(state: _ServiceState) -> NextRequest | None:
    waiter = state.queue.first()
    if waiter is None:
        return None
    return NextRequest(waiter.slot_request.customer, waiter.since)


def _free_assigned_slot(waiter: _Waiter) -> None:
    # A slot may be assigned in the same loop step that ends the wait.
    fut = waiter.fut
    if not fut.done() or fut.cancelled() or fut.exception() is not None:
        return
    fut.result().end_request()


def _usable_slots(endpoint: Endpoint) -> int:
    # Slots are lent on demand, so all slots of the endpoint may be lent to
    # this VM.
    if endpoint.held is None:
        return endpoint.allowance()
    return endpoint.backend.slots
