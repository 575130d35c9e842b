"""Queue of one service that binds each request to a server late.

A request is sent only when a server has a free slot for it, to the server
with the highest expected utility of the answer. A request that no server can
answer before its deadline is refused at once.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .candidate import Candidate
from .server_table import ServerTable
from .ticket import Refused, Ticket

SERVICE_TIME_MARGIN: Final = 1.2  # on the service time of a nearly full server
# Failed bindings that end a pass; the remaining requests would fail as well.
MAX_BIND_FAILURES: Final = 2
# Far below service times; merges bursts of load reports into one pass.
PUMP_DELAY_S: Final = 0.004
NO_SERVER_RETRY_AFTER_S: Final = 0.5
MAX_QUEUED_REQUESTS: Final = 400  # bounds the duration of one pass
INITIAL_IDLE_S: Final = 3600.0  # assumed age of the last request at the start
MAX_PROBES: Final = 4  # for one request


# Probes a server; returns whether to choose again, since the result may make
# another server the better choice.
Look = Callable[[Candidate], Awaitable[bool]]


async def _skip_probe(candidate: Candidate) -> bool:
    """Keep the choice without a probe."""
    return False


@attrs.define(eq=False)
class ServiceQueue:
    """Queue the requests of one service and bind them to its servers."""

    service: str
    look: Look = _skip_probe
    table: ServerTable = attrs.field(factory=ServerTable)
    sharers: int = 1  # VMs that send to these servers, this one included
    wanted_at_s: float = -INITIAL_IDLE_S
    _pump_timer: asyncio.TimerHandle | None = None
    _waiting: list[Ticket] = attrs.field(factory=list)

    @property
    def waiting(self) -> int:
        """Count the queued requests."""
        return len(self._waiting)

    async def place(self, ticket: Ticket) -> Candidate:
        """Wait for a server, reserve a slot there and return the server.

        A server with an old report is probed first, since its new load may
        make another server the better choice. Raise ``Refused`` if no server
        can answer in time.
        """
        for _ in range(MAX_PROBES):
            candidate = await self._reserve_slot(ticket)
            if not candidate.must_look(now_s()):
                return candidate
            is_kept = False
            try:
                is_kept = not await self.look(candidate)
            finally:
                if not is_kept:
                    candidate.load.end()
            if is_kept:
                return candidate
        return await self._reserve_slot(ticket)

    def pump_soon(self) -> None:
        """Schedule ``pump``, so that changes close together share one pass."""
        if not self._waiting or self._pump_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._pump_timer = loop.call_later(PUMP_DELAY_S, self._pump_on_timer)

    def _pump_on_timer(self) -> None:
        self._pump_timer = None
        self.pump()

    def pump(self) -> None:
        """Bind queued requests to free servers, the most urgent first."""
        if not self._waiting:
            return
        now = now_s()
        self._refuse_late(now)
        if not self.table.has_free_slot(now):
            return
        min_service_times = SERVICE_TIME_MARGIN * self.table.full.factor
        self._waiting.sort(
            key=lambda ticket: _queue_order(ticket, now, min_service_times)
        )
        self._bind_queued(now)

    def _bind_queued(self, now: float) -> None:
        bound = []
        failures = 0
        for ticket in self._waiting:
            if failures >= MAX_BIND_FAILURES or not self.table.has_free_slot(
                now
            ):
                break
            if self._bind(ticket, now):
                bound.append(ticket)
            else:
                failures += 1
        for placed in bound:
            self._waiting.remove(placed)

    def release(self, candidate: Candidate) -> None:
        """Free the slot of a request and schedule the next binding."""
        candidate.load.end()
        self.pump_soon()

    def estimate_wait_s(self, ticket: Ticket) -> float:
        """Estimate the seconds until one more request gets a slot."""
        slots = self.table.count_near_slots()
        ahead = 1 + sum(other.rank <= ticket.rank for other in self._waiting)
        service_s = (
            ticket.work_s * self.table.noise.mean() * self.table.full.factor
        )
        return service_s * ahead * self.sharers / max(1, slots)

    async def _reserve_slot(self, ticket: Ticket) -> Candidate:
        now = now_s()
        self.wanted_at_s = now
        if now >= ticket.deadline_at_s:
            raise Refused('deadline_passed', 0)
        choice = self.table.choose(ticket, now)
        if choice is None:
            raise Refused('no_server', NO_SERVER_RETRY_AFTER_S)
        if choice.free and self._precedes_queue(ticket):
            choice.candidate.load.begin()
            return choice.candidate
        self._check_queue(ticket, now)
        return await self._wait_for_server(ticket)

    def _precedes_queue(self, ticket: Ticket) -> bool:
        return not self._waiting or ticket.rank < self._waiting[0].rank

    def _check_queue(self, ticket: Ticket, now: float) -> None:
        wait_s = self.estimate_wait_s(ticket)
        response_s = wait_s + ticket.work_s
        if self._waiting and response_s > ticket.left_s(now):
            raise Refused('no_room', wait_s)
        if len(self._waiting) >= MAX_QUEUED_REQUESTS:
            raise Refused('queue_full', wait_s)

    async def _wait_for_server(self, ticket: Ticket) -> Candidate:
        fut = asyncio.get_running_loop().create_future()
        ticket.server_fut = fut
        ticket.on_wait(len(self._waiting))
        self._waiting.append(ticket)
        try:
            candidate: Candidate = await fut
        except asyncio.CancelledError:
            self._cancel_wait(ticket, fut)
            raise
        return candidate

    def _bind(self, ticket: Ticket, now: float) -> bool:
        """Bind a queued request if the best server for it has a free slot."""
        fut = ticket.server_fut
        if fut is None or fut.done():
            return True
        choice = self.table.choose(ticket, now)
        if choice is None or not choice.free:
            return False
        choice.candidate.load.begin()
        fut.set_result(choice.candidate)
        return True

    def _refuse_late(self, now: float) -> None:
        """Refuse requests that would be late while others can be in time.

        Serving a late request would make the next one late as well.
        """
        others = any(each.left_s(now) > each.work_s for each in self._waiting)
        kept = []
        for ticket in self._waiting:
            fut = ticket.server_fut
            if fut is None or ticket.may_wait(now, others=others):
                kept.append(ticket)
            elif not fut.done():
                wait_s = self.estimate_wait_s(ticket)
                fut.set_exception(Refused('late', wait_s))
        self._waiting = kept

    def _cancel_wait(
        self, ticket: Ticket, fut: 'asyncio.Future[Candidate]'
    ) -> None:
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        if fut.done() and not fut.cancelled() and not fut.exception():
            self.release(fut.result())


def _queue_order(
    ticket: Ticket,
    now: float,
    min_service_times: float,
) -> tuple[int, bool, float]:
    """Return the sort key: rank, then requests that can be in time, then age.

    A request is late if less than ``min_service_times`` times its service time
    remains.
    """
    late = ticket.objective_at_s - now < ticket.work_s * min_service_times
    return ticket.rank, late, ticket.arrived_s
