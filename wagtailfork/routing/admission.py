"""Hold requests until a backend server has a free slot, in fair order."""

import asyncio
import random
import time
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .endpoint import Endpoint
from .fairness import FairQueue
from .policies import LeastInFlight, Policy, choose
from .pool import Pool

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
            endpoint = self._choose(allowed, demand)
            if endpoint is not None:
                return endpoint
        self._check_wait(line, allowed, demand)
        waiter = _Waiter(demand, asyncio.get_running_loop().create_future())
        self._make_room(line, demand)
        line.queue.push(demand.customer, demand.weight, waiter)
        return await self._wait(line, waiter)

    def release(self, endpoint: Endpoint, took_s: float) -> None:
        """Give a slot back after ``took_s`` seconds and serve who waits."""
        endpoint.ended()
        line = self._lines.get(endpoint.backend.service)
        if line is None:
            return
        moved = took_s - line.service_time_s
        line.service_time_s += moved * _SERVICE_TIME_WEIGHT
        self._serve(line)

    def sweep(self) -> None:
        """Serve waiting requests whose endpoints came back by themselves."""
        for line in self._lines.values():
            self._serve(line)

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

    def _choose(
        self,
        allowed: list[Endpoint],
        demand: Demand,
    ) -> Endpoint | None:
        free = self._pool.free(allowed, demand.excluded)
        if not free:
            return None
        endpoint = choose(self._policy, free, self._rng)
        endpoint.took()
        return endpoint

    def _check_wait(
        self,
        line: _Line,
        allowed: list[Endpoint],
        demand: Demand,
    ) -> None:
        slots = sum(each.allowance() for each in allowed)
        share = line.queue.backlog(demand.customer) + 1
        ahead = min(len(line.queue), share * max(1, line.queue.customers()))
        wait_s = ahead * line.service_time_s / max(1, slots)
        if time.monotonic() + wait_s > demand.deadline:
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
        limit = waiter.demand.deadline - time.monotonic()
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

    def _serve(self, line: _Line) -> None:
        while len(line.queue):
            waiter = line.queue.pop_first(self._try_serve)
            if waiter is None:
                return

    def _try_serve(self, waiter: _Waiter) -> bool:
        if waiter.fut.done():
            return True
        demand = waiter.demand
        allowed = self._pool.allowed(demand.customer, demand.service)
        endpoint = self._choose(allowed or [], demand)
        if endpoint is None:
            return False
        waiter.fut.set_result(endpoint)
        return True


def _return_slot(waiter: _Waiter) -> None:
    # A slot may be assigned in the very step that ends the wait.
    fut = waiter.fut
    if not fut.done() or fut.cancelled() or fut.exception() is not None:
        return
    fut.result().ended()
