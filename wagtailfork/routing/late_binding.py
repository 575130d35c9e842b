"""Queue of one service that binds each request to a server late.

A request is sent only when a server has a free slot for it, to the server
with the highest expected utility of the response. A request that no server can
answer before its deadline is refused at once.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .candidate import Candidate
from .customer_order import (
    CustomerOrder,
    binding_order,
    count_ahead,
    has_customers,
)
from .home_regions import overlap
from .queued_request import QueuedRequest, Refused
from .server_table import ServerTable

SERVICE_TIME_MARGIN: Final = 1.2  # on the service time of a nearly full server
# Failed bindings that end a pass for the requests with the same home regions,
# as the remaining ones would fail as well.
MAX_BIND_FAILURES: Final = 2
# Far below service times; merges bursts of load reports into one pass.
DISPATCH_DELAY_S: Final = 0.004
# While requests wait. Estimates of load decay, and servers are also used by
# other failure domains, so a slot may become free without any event here.
RECHECK_INTERVAL_S: Final = 0.05
NO_SERVER_RETRY_AFTER_S: Final = 0.5
MAX_QUEUED_REQUESTS: Final = 400  # bounds the duration of one pass
INITIAL_IDLE_S: Final = 3600.0  # assumed age of the last request at the start
MAX_PROBES: Final = 4  # for one request


# Probes a server; returns whether to choose again, since the result may make
# another server the better choice.
RefreshLoad = Callable[[Candidate], Awaitable[bool]]


async def _skip_probe(candidate: Candidate) -> bool:
    """Keep the choice without a probe."""
    return False


@attrs.define(eq=False)
class ServiceQueue:
    """Queue the requests of one service and bind them to its servers."""

    service: str
    refresh_load: RefreshLoad = _skip_probe
    table: ServerTable = attrs.field(factory=ServerTable)
    sharing_vms: int = 1  # VMs that send to these servers, this one included
    last_request_at_s: float = -INITIAL_IDLE_S
    _dispatch_timer: asyncio.TimerHandle | None = None
    _recheck_timer: asyncio.TimerHandle | None = None
    _waiting: list[QueuedRequest] = attrs.field(factory=list)
    _order: CustomerOrder = attrs.field(factory=CustomerOrder)

    @property
    def waiting(self) -> int:
        """Count the queued requests."""
        return len(self._waiting)

    async def acquire(self, queued: QueuedRequest) -> Candidate:
        """Wait for a server, reserve a slot there and return the server.

        A server with an old report is probed first, since its new load may
        make another server the better choice. Raise ``Refused`` if no server
        can answer in time.
        """
        candidate = await self._reserve_slot(queued)
        for _ in range(MAX_PROBES):
            if not candidate.needs_probe(now_s()):
                break
            if await self._keep_after_probe(candidate):
                break
            again = self._bind_again(queued)
            if again is None:
                self._order.refund(queued)
                again = await self._reserve_slot(queued)
            candidate = again
        return candidate

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch, so that a burst of changes shares one pass."""
        if not self._waiting or self._dispatch_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._dispatch_timer = loop.call_later(
            DISPATCH_DELAY_S, self._dispatch_on_timer
        )

    def _dispatch_on_timer(self) -> None:
        self._dispatch_timer = None
        self.dispatch()

    def _schedule_recheck(self) -> None:
        if not self._waiting or self._recheck_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._recheck_timer = loop.call_later(RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._recheck_timer = None
        self.dispatch()
        self._schedule_recheck()

    def dispatch(self) -> None:
        """Bind queued requests to free servers, the most urgent first."""
        if not self._waiting:
            return
        now = now_s()
        self._refuse_barred()
        self._refuse_late(now)
        if not self.table.has_free_slot(now):
            return
        min_service_times = SERVICE_TIME_MARGIN * self.table.full_load.factor
        self._order.sort(self._waiting, now, min_service_times)
        self._bind_queued(now)
        if has_customers(self._waiting):
            self._waiting = _refuse_overtaken(
                self._waiting, self._wait_behind_s, now
            )

    def _bind_queued(self, now: float) -> None:
        bound = []
        failures: Counter[frozenset[str]] = Counter()
        for queued in self._waiting:
            regions = queued.regions
            if failures[regions] >= MAX_BIND_FAILURES:
                continue
            if not self.table.has_free_slot(now, regions):
                failures[regions] = MAX_BIND_FAILURES
                continue
            if self._bind(queued, now):
                bound.append(queued)
            else:
                failures[regions] += 1
        for placed in bound:
            self._waiting.remove(placed)

    def release(self, candidate: Candidate) -> None:
        """Free the slot of a request and schedule the next binding."""
        candidate.load.end()
        self.schedule_dispatch()

    def estimate_wait_s(self, queued: QueuedRequest) -> float:
        """Estimate the seconds until one more request gets a slot."""
        if queued.server_fut is None:
            self._order.enter(queued, self._waiting)
        others = [
            other
            for other in self._waiting
            if overlap(other.regions, queued.regions)
        ]
        if has_customers((queued, *others)):
            ahead = count_ahead(queued, others)
        else:
            ahead = sum(other.rank <= queued.rank for other in others)
        return self._wait_behind_s(queued, ahead)

    def _wait_behind_s(self, queued: QueuedRequest, ahead: int) -> float:
        service_s = (
            queued.service_s
            * self.table.slowdown.mean()
            * self.table.full_load.factor
        )
        slots = self.table.count_near_slots(
            service_s, self.sharing_vms, now_s(), queued.regions
        )
        return service_s * (1 + ahead) / max(1 / self.sharing_vms, slots)

    async def _keep_after_probe(self, candidate: Candidate) -> bool:
        """Probe a server; give its slot back if it has to be chosen again."""
        begun_at_s = now_s()
        kept = False
        try:
            kept = not await self.refresh_load(candidate)
        finally:
            if not kept:
                candidate.give_back(begun_at_s)
        return kept

    def _bind_again(self, queued: QueuedRequest) -> Candidate | None:
        """Bind a request that had a slot before any that is queued.

        If it were queued again, its report would be old at its next turn.
        """
        now = now_s()
        choice = self.table.choose(queued, now)
        if choice is None or not choice.free or now >= queued.deadline_at_s:
            return None
        choice.candidate.begin(now)
        return choice.candidate

    async def _reserve_slot(self, queued: QueuedRequest) -> Candidate:
        now = now_s()
        self.last_request_at_s = now
        self.table.homes.record(queued.regions, now)
        if now >= queued.deadline_at_s:
            raise Refused('deadline_passed', 0)
        choice = self.table.choose(queued, now)
        if choice is None:
            raise Refused('no_server', NO_SERVER_RETRY_AFTER_S)
        self._order.enter(queued, self._waiting)
        if choice.free and self._precedes_queue(queued, choice.candidate):
            choice.candidate.begin(now)
            self._order.charge(queued)
            return choice.candidate
        self._check_queue(queued, now)
        return await self._wait_for_server(queued)

    def _precedes_queue(
        self, queued: QueuedRequest, candidate: Candidate
    ) -> bool:
        """Return whether no queued request is to get the server first."""
        for other in self._waiting:
            if candidate.is_barred(other.regions):
                continue
            if has_customers((queued, other)):
                return binding_order(queued) < binding_order(other)
            return queued.rank < other.rank
        return True

    def _check_queue(self, queued: QueuedRequest, now: float) -> None:
        if self.table.is_blocked(now, queued.regions):
            raise Refused('no_room', NO_SERVER_RETRY_AFTER_S)
        wait_s = self.estimate_wait_s(queued)
        response_s = wait_s + queued.service_s
        if self._waiting and response_s > queued.left_s(now):
            raise Refused('no_room', wait_s)
        if len(self._waiting) >= MAX_QUEUED_REQUESTS:
            self._make_room(queued, wait_s)

    def _make_room(self, queued: QueuedRequest, wait_s: float) -> None:
        """Refuse the request that would be bound last."""
        last = max(self._waiting, key=binding_order)
        fair = has_customers((queued, *self._waiting))
        if not fair or binding_order(last) <= binding_order(queued):
            raise Refused('queue_full', wait_s)
        self._waiting.remove(last)
        refusal = Refused('queue_full', self.estimate_wait_s(last))
        _refuse(last, refusal)

    async def _wait_for_server(self, queued: QueuedRequest) -> Candidate:
        fut = asyncio.get_running_loop().create_future()
        queued.server_fut = fut
        queued.on_queued(len(self._waiting))
        self._waiting.append(queued)
        self._schedule_recheck()
        try:
            candidate: Candidate = await fut
        except asyncio.CancelledError:
            self._cancel_wait(queued, fut)
            raise
        return candidate

    def _bind(self, queued: QueuedRequest, now: float) -> bool:
        """Bind a queued request if the best server for it has a free slot."""
        fut = queued.server_fut
        if fut is None or fut.done():
            return True
        choice = self.table.choose(queued, now)
        if choice is None or not choice.free:
            return False
        choice.candidate.begin(now)
        self._order.charge(queued)
        fut.set_result(choice.candidate)
        return True

    def _refuse_barred(self) -> None:
        """Refuse requests to which homes or evacuations leave no server."""
        barred = {
            regions
            for regions in {each.regions for each in self._waiting}
            if self.table.is_barred(regions)
        }
        if not barred:
            return
        for queued in self._waiting:
            fut = queued.server_fut
            if queued.regions in barred and fut is not None and not fut.done():
                fut.set_exception(Refused('no_server', NO_SERVER_RETRY_AFTER_S))
        self._waiting = [
            each for each in self._waiting if each.regions not in barred
        ]

    def _refuse_late(self, now: float) -> None:
        """Refuse requests that would be late while others can be in time.

        Serving a late request would make the next one late as well.
        """
        in_time = {
            each.regions
            for each in self._waiting
            if each.left_s(now) > each.service_s
        }
        kept = []
        for queued in self._waiting:
            fut = queued.server_fut
            others = any(overlap(queued.regions, each) for each in in_time)
            if fut is None or queued.may_wait(now, others=others):
                kept.append(queued)
            elif not fut.done():
                wait_s = self.estimate_wait_s(queued)
                fut.set_exception(Refused('late', wait_s))
        self._waiting = kept

    def _cancel_wait(
        self, queued: QueuedRequest, fut: 'asyncio.Future[Candidate]'
    ) -> None:
        if queued in self._waiting:
            self._waiting.remove(queued)
        if fut.done() and not fut.cancelled() and not fut.exception():
            self.release(fut.result())


def _refuse_overtaken(
    waiting: list[QueuedRequest],
    wait_behind_s: Callable[[QueuedRequest, int], float],
    now: float,
) -> list[QueuedRequest]:
    """Refuse requests that others overtook, so that they would be late.

    The requests are in the order of binding; return those that are kept.
    """
    kept: list[QueuedRequest] = []
    kept_by_regions: Counter[frozenset[str]] = Counter()
    # Per request ahead, by service time and home regions; counting the slots of
    # all servers for each request would take most of a pass.
    waits_s: dict[tuple[float, frozenset[str]], float] = {}
    for queued in waiting:
        kind = (queued.service_s, queued.regions)
        if kind not in waits_s:
            waits_s[kind] = wait_behind_s(queued, 0)
        ahead = _count_overlapping(kept_by_regions, queued.regions)
        wait_s = waits_s[kind] * (1 + ahead)
        if ahead and wait_s + queued.service_s > queued.left_s(now):
            _refuse(queued, Refused('no_room', wait_s))
            continue
        kept.append(queued)
        kept_by_regions[queued.regions] += 1
    return kept


def _count_overlapping(
    counts: Counter[frozenset[str]], regions: frozenset[str]
) -> int:
    """Count the requests that may need the servers of some regions."""
    return sum(
        count for others, count in counts.items() if overlap(others, regions)
    )


def _refuse(queued: QueuedRequest, refusal: Refused) -> None:
    fut = queued.server_fut
    if fut is not None and not fut.done():
        fut.set_exception(refusal)
