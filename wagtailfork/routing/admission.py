"""Hold requests until a backend server has a free slot, in fair order."""

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
from .pool import Pool, Reach
from .share import Head, SlotShare

OVERDRAFT_AFTER_S: Final = 0.1  # with a dealer that does not answer
FAR_AFTER_S: Final = 0.1
_SERVICE_TIME_WEIGHT: Final = 0.05


@attrs.frozen(kw_only=True)
class Demand:
    """Ask for a slot of a service."""

    customer: str
    service: str
    weight: float
    deadline: float  # monotonic, seconds
    excluded: frozenset[str] = frozenset()


@attrs.define(eq=False)
class _Waiter:
    demand: Demand
    fut: asyncio.Future[Endpoint]
    since: float


@attrs.define
class _Line:
    queue: FairQueue[_Waiter] = attrs.field(factory=FairQueue)
    service_time_s: float = 0


@attrs.define
class Admission:
    """Give out the slots of a pool's endpoints."""

    _pool: Pool
    _queue_limit: int
    _policy: Policy = attrs.field(factory=LeastInFlight)
    share: SlotShare | None = None
    far_link: LinkBudget | None = None
    _clock: Callable[[], float] = time.monotonic
    _rng: random.Random = attrs.field(factory=random.Random)
    _lines: dict[str, _Line] = attrs.field(factory=dict)
    refusals: int = 0

    def queued(self) -> dict[str, int]:
        """Count the requests waiting for each service."""
        return {
            name: len(line.queue)
            for name, line in self._lines.items()
            if len(line.queue)
        }

    async def acquire(self, demand: Demand) -> Endpoint:
        """Wait for a slot; raise a not-run error if none can come in time."""
        allowed = self._allowed(demand)
        line = self._lines.setdefault(demand.service, _Line())
        if not len(line.queue):
            reach = Reach(
                excluded=demand.excluded,
                far_open=self._is_far_open(),
            )
            endpoint = self._choose(allowed, reach)
            if endpoint is not None:
                self._count(demand)
                return endpoint
        self._check_wait(line, allowed, demand)
        waiter = _Waiter(
            demand,
            asyncio.get_running_loop().create_future(),
            self._clock(),
        )
        self._make_room(line, demand)
        line.queue.push(demand.customer, demand.weight, waiter)
        self._want(demand.service, line)
        return await self._wait(line, waiter)

    def release(self, endpoint: Endpoint, took_s: float) -> None:
        """Give a slot back after ``took_s`` seconds and serve who waits."""
        endpoint.ended()
        service = endpoint.backend.service
        line = self._lines.setdefault(service, _Line())
        moved = took_s - line.service_time_s
        line.service_time_s += moved * _SERVICE_TIME_WEIGHT
        self._hand_on(endpoint, line)

    def take(self, endpoint: Endpoint, demand: Demand) -> bool:
        """Take a slot of one server, lent or not, if it has any."""
        if endpoint.in_flight >= endpoint.backend.slots:
            return False
        endpoint.took()
        self._count(demand)
        return True

    def is_quiet(self, service: str) -> bool:
        """Tell whether no request waits here for a service."""
        line = self._lines.get(service)
        return line is None or not line.queue.customers()

    def give_back(self, endpoint: Endpoint) -> None:
        """Give a slot back that was not used."""
        endpoint.ended()
        service = endpoint.backend.service
        self._hand_on(endpoint, self._lines.setdefault(service, _Line()))

    def sweep(self) -> None:
        """Serve waiting requests whose endpoints came back by themselves."""
        for service, line in self._lines.items():
            if len(line.queue):
                self._serve(service, line)

    def _allowed(self, demand: Demand) -> list[Endpoint]:
        allowed = self._pool.allowed(demand.customer, demand.service)
        if allowed is None:
            raise WagtailforkError(ResultCode.forbidden, demand.customer)
        usable = [
            each
            for each in allowed
            if each.name not in demand.excluded
            and each.state not in {'draining', 'gone'}
        ]
        if not usable:
            raise WagtailforkError(ResultCode.no_backend, demand.service)
        return usable

    def _choose(self, allowed: list[Endpoint], reach: Reach) -> Endpoint | None:
        free = self._pool.free(allowed, reach)
        if not free:
            return None
        endpoint = choose(self._policy, free, self._rng)
        endpoint.took()
        return endpoint

    def _reach(self, waiter: _Waiter) -> Reach:
        waited_s = self._clock() - waiter.since
        is_silent = False
        if self.share is not None and waited_s > OVERDRAFT_AFTER_S:
            is_silent = self.share.dealer_is_silent(waiter.demand.service)
        return Reach(
            excluded=waiter.demand.excluded,
            overdraft=is_silent,
            far=waited_s > FAR_AFTER_S,
            far_open=self._is_far_open(),
        )

    def _is_far_open(self) -> bool:
        if self.far_link is None:
            return True
        return self.far_link.is_open(self._clock())

    def _check_wait(
        self,
        line: _Line,
        allowed: list[Endpoint],
        demand: Demand,
    ) -> None:
        slots = sum(_capacity(each) for each in allowed)
        share = line.queue.backlog(demand.customer) + 1
        ahead = min(len(line.queue), share * max(1, line.queue.customers()))
        wait_s = ahead * line.service_time_s / max(1, slots)
        if self._clock() + wait_s > demand.deadline:
            self.refusals += 1
            raise WagtailforkError(ResultCode.overloaded, demand.service)

    def _make_room(self, line: _Line, demand: Demand) -> None:
        if len(line.queue) < self._queue_limit:
            return
        customers = max(1, line.queue.customers())
        if line.queue.backlog(demand.customer) * customers >= self._queue_limit:
            self.refusals += 1
            raise WagtailforkError(ResultCode.overloaded, demand.service)
        evicted = line.queue.pop_longest()
        if evicted is not None and not evicted.fut.done():
            self.refusals += 1
            evicted.fut.set_exception(
                WagtailforkError(ResultCode.overloaded, demand.service),
            )

    async def _wait(self, line: _Line, waiter: _Waiter) -> Endpoint:
        limit = waiter.demand.deadline - self._clock()
        taken = False
        try:
            async with asyncio.timeout(limit):
                endpoint = await waiter.fut
                taken = True
                return endpoint
        except TimeoutError as exc:
            raise WagtailforkError(
                ResultCode.deadline_passed,
                waiter.demand.service,
            ) from exc
        finally:
            line.queue.discard(waiter.demand.customer, waiter)
            if not taken:
                _return_slot(waiter)

    def _hand_on(self, endpoint: Endpoint, line: _Line) -> None:
        if self.share is not None:
            self.share.on_release(endpoint, _head(line))
        self._serve(endpoint.backend.service, line)

    def serve(self, service: str) -> None:
        """Serve the waiting requests of one service after a grant."""
        line = self._lines.get(service)
        if line is not None:
            self._serve(service, line)

    def _serve(self, service: str, line: _Line) -> None:
        while len(line.queue):
            waiter = line.queue.pop_first(self._try_serve)
            if waiter is None:
                break
        self._want(service, line)

    def _want(self, service: str, line: _Line) -> None:
        if self.share is None:
            return
        heads = [waiter.since for waiter in line.queue.heads()]
        oldest = min(heads, default=0)
        self.share.want(service, line.queue.backlogs(), oldest)

    def _try_serve(self, waiter: _Waiter) -> bool:
        if waiter.fut.done():
            return True
        demand = waiter.demand
        allowed = self._pool.allowed(demand.customer, demand.service)
        endpoint = self._choose(allowed or [], self._reach(waiter))
        if endpoint is None:
            return False
        waiter.fut.set_result(endpoint)
        self._count(demand)
        return True

    def _count(self, demand: Demand) -> None:
        if self.share is not None:
            amount = 1 / demand.weight
            self.share.count(demand.service, demand.customer, amount)


def _head(line: _Line) -> Head | None:
    waiter = line.queue.first()
    if waiter is None:
        return None
    return Head(waiter.demand.customer, waiter.since)


def _return_slot(waiter: _Waiter) -> None:
    # A slot may be assigned in the very step that ends the wait.
    fut = waiter.fut
    if not fut.done() or fut.cancelled() or fut.exception() is not None:
        return
    fut.result().ended()


def _capacity(endpoint: Endpoint) -> int:
    # Lent slots follow demand, so all of an endpoint's may come here.
    if endpoint.held is None:
        return endpoint.allowance()
    return endpoint.backend.slots
