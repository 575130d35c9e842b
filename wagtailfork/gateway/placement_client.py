"""Obtain a server for each request, from the coordinator of its service.

A coordinator that does not respond costs no request: the VM then chooses a
server itself, and does so for a while before it asks that coordinator again.
"""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.limit_rows import make_limit_row
from ..fleet.load_rows import make_row
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..fleet.messages import Message
from ..fleet.placement_messages import (
    Outcome,
    Placed,
    PlacementDeclined,
    PlacementEnded,
    PlacementQueued,
    PlacementRequest,
)
from ..routing.candidate import Candidate
from ..routing.late_binding import ServiceQueue
from ..routing.queued_request import QueuedRequest, Refused
from .token_spender import QUOTA, TokenSpender, UnlimitedSpender
from .home_coordinators import (
    NO_TRIP,
    RemoteTrip,
    choose_home_coordinator,
    measure_trip,
)

# Fifty round trips within a domain, and longer than the pause of a VM that has
# used up its share of a core for the present tenth of a second.
RESPONSE_TIMEOUT_S: Final = 0.08
FAR_RESPONSE_TIMEOUT_S: Final = 0.25  # four round trips between regions
# This VM's own coordinator is asked this often, since a pause of the VM delays
# both the request and the response; repeats are only for lost datagrams.
MAX_OWN_ASKS: Final = 4
QUEUED_POLL_S: Final = 0.15  # asks whether a queued request is still queued
SILENCE_S: Final = 0.5  # for which a silent coordinator is not asked
REPEAT_DELAY_S: Final = 0.06  # a returned slot is reported twice
MAX_CONNECTED: Final = 12  # named in a request, some 10 bytes each
NUMBER_BITS: Final = 40  # so that a restarted VM uses other numbers
_NO_SERVER: Final = 'no_server'
_MS: Final = 1000

Send = Callable[[Message, list[str]], None]


@attrs.define(eq=False)
class Placement:
    """Hold a slot of a server; ``coordinator`` is empty for an own choice."""

    candidate: Candidate
    coordinator: str = ''
    number: int = 0
    customer: str = ''
    placed_at_s: float = 0


@attrs.define(eq=False)
class _Waiter:
    """Collect the responses to one placement request."""

    responses: 'asyncio.Queue[Message]' = attrs.field(factory=asyncio.Queue)


@attrs.define(eq=False, kw_only=True)
class PlacementClient:
    """Place requests through coordinators, or by an own choice."""

    membership: Membership
    find: Callable[[str], Candidate | None]  # a server by its name
    send: Send
    log: EventLog
    quotas: TokenSpender = attrs.field(factory=UnlimitedSpender)
    # Whether this VM asks its own coordinator by messages as well, so that it
    # may refer the requests of this VM.
    asks_itself: bool = False
    _waiters: dict[int, _Waiter] = attrs.field(factory=dict)
    _silent_until_s: dict[str, float] = attrs.field(factory=dict)
    # Placements whose slots another coordinator than the one asked granted.
    _referred: set[int] = attrs.field(factory=set)
    _last_number: int = attrs.field(
        factory=lambda: random.getrandbits(NUMBER_BITS)  # noqa: S311
    )

    def coordinator_of(
        self,
        service: str,
        queued: QueuedRequest | None = None,
        queue: ServiceQueue | None = None,
    ) -> str:
        """Return the coordinator of a service, empty if no VM is ready.

        A request that this VM's region may not serve has one elsewhere.
        """
        me = self.membership.me
        if queue is not None and queued is not None and self._is_away(queued):
            return choose_home_coordinator(
                self.membership,
                queue.table,
                service,
                queued.regions,
                now=now_s(),
                is_silent=self._is_silent,
            )
        ready = [
            one.address for one in self.membership.neighbours() if one.ready
        ]
        if me.ready:
            ready.append(me.address)
        return rendezvous(service, ready) or ''

    async def place(
        self, queue: ServiceQueue, queued: QueuedRequest
    ) -> Placement:
        """Wait for a slot of a server; raise ``Refused`` if there is none.

        A server that wants a wait from this VM is left to the others.
        """
        while True:
            now = now_s()
            wait_s = queue.table.wait_left_s(now, queued.regions)
            if wait_s:
                raise Refused('no_room', wait_s)
            queued.excluded.update(queue.table.waiting_names(now))
            placement = await self._place_once(queue, queued)
            if not placement.candidate.wants_wait(now_s()):
                return placement
            self.end(placement, queue, Outcome.unknown, not_run=True)

    async def _place_once(
        self, queue: ServiceQueue, queued: QueuedRequest
    ) -> Placement:
        coordinator = self.coordinator_of(queue.service, queued, queue)
        if self._is_remote(coordinator):
            placement = await self._place_remotely(coordinator, queue, queued)
            if placement is not None:
                return placement
        return await self._place_here(queue, queued)

    async def _place_here(
        self, queue: ServiceQueue, queued: QueuedRequest
    ) -> Placement:
        customer = queued.customer
        now = now_s()
        if self.coordinator_of(queue.service) == self.membership.me.address:
            self.quotas.spend(customer, now)
        else:
            self.quotas.spend_own(customer, now)
        try:
            candidate = await queue.acquire(queued)
        except (Refused, asyncio.CancelledError):
            self.quotas.give_back(customer, now, now_s())
            raise
        return Placement(candidate, customer=customer, placed_at_s=now)

    def end(
        self,
        placement: Placement,
        queue: ServiceQueue,
        outcome: Outcome,
        *,
        not_run: bool = False,
    ) -> None:
        """Free the slot and report the newest load of the server.

        ``not_run`` returns the token of the customer.
        """
        candidate = placement.candidate
        if placement.coordinator != self.membership.me.address:
            queue.release(candidate)
        if not placement.coordinator:
            if not_run:
                self.quotas.give_back(
                    placement.customer, placement.placed_at_s, now_s()
                )
            return
        self._referred.discard(placement.number)
        ended = PlacementEnded(
            sender=self.membership.me.address,
            number=placement.number,
            outcome=outcome,
            load=make_row(candidate.load.report, now_s()),
            limit=make_limit_row(candidate.limit, now_s()),
            not_run=not_run and bool(placement.customer),
        )
        recipients = [placement.coordinator]
        self.send(ended, recipients)
        loop = asyncio.get_running_loop()
        repeated = attrs.evolve(ended, load=None, limit=None)
        loop.call_later(REPEAT_DELAY_S, self.send, repeated, recipients)

    def handle_response(
        self, message: Placed | PlacementQueued | PlacementDeclined
    ) -> bool:
        """Pass a response to its request; return whether one waits for it."""
        waiter = self._waiters.get(message.number)
        if waiter is None:
            self._return_unused(message)
            return False
        waiter.responses.put_nowait(message)
        return True

    def _is_remote(self, coordinator: str) -> bool:
        if not coordinator:
            return False
        if coordinator == self.membership.me.address and not self.asks_itself:
            return False
        return not self._is_silent(coordinator)

    def _is_silent(self, coordinator: str) -> bool:
        return now_s() < self._silent_until_s.get(coordinator, 0)

    def _is_away(self, queued: QueuedRequest) -> bool:
        """Return whether only other regions may serve a request."""
        regions = queued.regions
        return bool(regions) and self.membership.me.region not in regions

    async def _place_remotely(
        self, coordinator: str, queue: ServiceQueue, queued: QueuedRequest
    ) -> Placement | None:
        """Return the placement, or None if the VM has to choose itself."""
        self._last_number += 1
        number = self._last_number
        waiter = _Waiter()
        self._waiters[number] = waiter
        placement = None
        try:
            placement = await self._negotiate(
                coordinator, number, queue, queued, waiter
            )
        finally:
            self._waiters.pop(number)
            if placement is None:
                self._withdraw(coordinator, number, queued.customer)
            elif placement.coordinator != coordinator:
                # The request will run, so its token stays spent.
                self._withdraw(coordinator, number, '')
            while not waiter.responses.empty():
                self._return_unused(waiter.responses.get_nowait())
        return placement

    async def _negotiate(
        self,
        coordinator: str,
        number: int,
        queue: ServiceQueue,
        queued: QueuedRequest,
        waiter: _Waiter,
    ) -> Placement | None:
        """Request a server until there is a decision; None after silence."""
        trip = NO_TRIP
        timeout_s = RESPONSE_TIMEOUT_S
        if self._is_away(queued):
            trip = measure_trip(queue.table, queued.regions)
            timeout_s = FAR_RESPONSE_TIMEOUT_S
        make_request = functools.partial(
            _request, self.membership.me.address, number, queue, queued, trip
        )
        decision: Message | None = None
        while decision is None:
            decision = await self._ask(
                coordinator, make_request, waiter, timeout_s
            )
            if decision is None:
                self._record_silence(coordinator, queue.service)
                return None
            if isinstance(decision, PlacementQueued):
                queued.on_queued(decision.waiting)
                decision = await _next_decision(waiter)
        return self._apply_decision(coordinator, decision, queued)

    async def _ask(
        self,
        coordinator: str,
        make_request: Callable[[], PlacementRequest],
        waiter: _Waiter,
        timeout_s: float,
    ) -> Message | None:
        """Return the first response to a request, None if there is none."""
        own = coordinator == self.membership.me.address
        for _ in range(MAX_OWN_ASKS if own else 1):
            self.send(make_request(), [coordinator])
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    return await waiter.responses.get()
        return None

    def _apply_decision(
        self, coordinator: str, decision: Message, queued: QueuedRequest
    ) -> Placement | None:
        if isinstance(decision, Placed):
            return self._accept(coordinator, decision, queued)
        if isinstance(decision, PlacementDeclined):
            if decision.reason == QUOTA:
                self.quotas.record_refused(queued.customer, now_s())
            if decision.reason != _NO_SERVER:
                raise Refused(decision.reason, decision.retry_after_ms / _MS)
        return None

    def _accept(
        self, coordinator: str, response: Placed, queued: QueuedRequest
    ) -> Placement | None:
        """Check a granted server against this VM's own table of servers."""
        candidate = self.find(response.server)
        if candidate is None or not candidate.is_usable(queued.regions):
            self._return_unused(response)
            return None
        if candidate.name in queued.excluded:
            self._return_unused(response)
            return None
        owner = response.coordinator or coordinator
        if owner != self.membership.me.address:
            # Its own coordinator has counted the request already.
            candidate.load.begin()
        if owner != coordinator:
            self._referred.add(response.number)
        return Placement(
            candidate, owner, response.number, customer=queued.customer
        )

    def _return_unused(self, message: Message) -> None:
        """Return a slot of another domain that came too late to be used."""
        if not isinstance(message, Placed) or not message.coordinator:
            return
        if message.number not in self._referred:
            self._withdraw(message.coordinator, message.number, '')

    def _withdraw(self, coordinator: str, number: int, customer: str) -> None:
        ended = PlacementEnded(
            sender=self.membership.me.address,
            number=number,
            not_run=bool(customer),
        )
        self.send(ended, [coordinator])

    def _record_silence(self, coordinator: str, service: str) -> None:
        now = now_s()
        self._silent_until_s = {
            address: until_s
            for address, until_s in self._silent_until_s.items()
            if now < until_s
        }
        self._silent_until_s[coordinator] = now + SILENCE_S
        self.log.emit(
            'coordinator_silent', service=service, coordinator=coordinator
        )


async def _next_decision(waiter: _Waiter) -> Message | None:
    """Wait for the decision; return None when it is time to ask again."""
    try:
        async with asyncio.timeout(QUEUED_POLL_S):
            while True:
                response = await waiter.responses.get()
                if not isinstance(response, PlacementQueued):
                    return response
    except TimeoutError:
        return None


def _request(
    sender: str,
    number: int,
    queue: ServiceQueue,
    queued: QueuedRequest,
    trip: RemoteTrip,
) -> PlacementRequest:
    """Describe a request as of the moment at which the coordinator reads it.

    Its times leave room for the ways that the coordinator does not see.
    """
    now = now_s()
    due_s = now + trip.total_s
    return PlacementRequest(
        sender=sender,
        number=number,
        service=queue.service,
        rank=queued.rank,
        age_ms=round((now - queued.arrived_s + trip.one_way_s) * _MS),
        objective_ms=round((queued.objective_at_s - due_s) * _MS),
        deadline_ms=round((queued.deadline_at_s - due_s) * _MS),
        service_ms=queued.service_s * _MS,
        kilobytes=round(queued.kilobytes),
        excluded=tuple(sorted(queued.excluded)),
        connected=queue.table.connected(now, MAX_CONNECTED),
        customer=queued.customer,
        regions=tuple(sorted(queued.regions)),
    )
