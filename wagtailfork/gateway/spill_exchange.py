"""Exchange offers with coordinators of other domains, and refer requests.

Each failure domain has a coordinator for a service. One that needs more slots
asks the others for offers; while nobody asks, no message passes.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..fleet.messages import Message
from ..fleet.placement_messages import PlacementEnded, PlacementRequest
from ..fleet.spill_messages import (
    Referral,
    ReferralAnswer,
    SpillOffer,
    SpillWant,
)
from ..routing.late_binding import ServiceQueue
from ..routing.queued_request import QueuedRequest
from ..routing.spill import (
    OFFER_PERIOD_S,
    OFFER_VALID_S,
    Offer,
    OfferBook,
    divide,
    local_utility,
    measure,
    offered_requests,
    wanted_slots,
)
from .backend_registry import Topology

REFERRAL_TIMEOUT_S: Final = 0.25  # four times 60 ms between regions
WANT_S: Final = 1.0  # for which offers are wanted after a request waited
# Of domains of the own region in the division of offers. A slot is held from
# the grant to the report of the end, 270 ms for a service time of 150 ms and
# 30 ms between regions, 168 ms for 4.4 ms within one.
NEAR_WEIGHT: Final = 2
MAX_ASKED: Final = 8  # domains; those of the own region first
ACTIVE_S: Final = 2.0  # since the last request of a service
SERVICE_TIME_WEIGHT: Final = 0.05  # of the newest request
INITIAL_SERVICE_S: Final = 0.1
MAX_SERVICES: Final = 4000  # bounds the memory; twice the planned number
_MS: Final = 1000

Send = Callable[[Message, list[str]], None]
CountGuests = Callable[[str], int]  # referred requests of a service


@attrs.frozen
class _Want:
    """Hold what the coordinator of another domain wants."""

    address: str
    slots: int
    received_s: float


@attrs.define(eq=False)
class _ServiceSpill:
    """Hold the offers for a service and the wants of other domains."""

    book: OfferBook = attrs.field(factory=OfferBook)
    wants: dict[str, _Want] = attrs.field(factory=dict)  # by domain
    heard_s: dict[str, float] = attrs.field(factory=dict)  # offers, by domain
    # When a request last found no free slot in this domain.
    short_at_s: float = -WANT_S
    service_s: float = INITIAL_SERVICE_S

    def heard_domains(self, now: float) -> frozenset[str]:
        """Return the domains whose coordinators send offers."""
        return frozenset(
            domain
            for domain, at_s in self.heard_s.items()
            if now - at_s <= OFFER_VALID_S
        )


@attrs.define(eq=False, kw_only=True)
class SpillExchange:
    """Offer free slots to other domains, and use theirs."""

    membership: Membership
    topology: Topology
    coordinator_of: Callable[[str], str]
    queues: Mapping[str, ServiceQueue]  # by service
    send: Send
    log: EventLog
    outcomes: Counter[str] = attrs.field(factory=Counter)  # of referrals
    _services: dict[str, _ServiceSpill] = attrs.field(factory=dict)
    _pending: 'dict[tuple[str, int], asyncio.Future[bool]]' = attrs.field(
        factory=dict
    )

    async def run(self, count_guests: CountGuests) -> None:
        """Ask for offers and answer those that ask, periodically."""
        while True:
            await asyncio.sleep(OFFER_PERIOD_S)
            for service, queue in list(self.queues.items()):
                self._update(service, queue, count_guests)

    def coordinates(self, service: str) -> bool:
        """Return whether this VM coordinates a service."""
        return self.coordinator_of(service) == self._me

    def can_grant(self, queue: ServiceQueue) -> bool:
        """Return whether a slot is free now beyond the reserve."""
        if queue.waiting or not self.coordinates(queue.service):
            return False
        load = measure(queue.table, self._domain, now_s())
        return load.spare > 0

    def handle_want(
        self, message: SpillWant, count_guests: CountGuests
    ) -> None:
        """Record what another domain wants; offer at once to a new one."""
        service = message.service
        queue = self.queues.get(service)
        if queue is None or not self.coordinates(service):
            return
        if message.domain not in self.topology.regions:
            return
        now = now_s()
        state = self._service(service)
        known = state.wants.get(message.domain)
        state.wants[message.domain] = _Want(message.sender, message.wanted, now)
        if known is None:
            self._send_offers(queue, state, count_guests, {message.domain})

    def handle_offer(self, message: SpillOffer) -> None:
        """Record the offer of another domain."""
        if message.service not in self.queues:
            return
        if message.domain not in self.topology.regions:
            return
        now = now_s()
        state = self._service(message.service)
        state.heard_s[message.domain] = now
        state.book.record(
            Offer(
                domain=message.domain,
                coordinator=message.sender,
                region=self.topology.regions.get(message.domain, ''),
                requests=message.requests,
                wait_s=message.wait_s,
                received_s=now,
            )
        )

    def handle_answer(self, message: ReferralAnswer) -> None:
        """Pass the answer to the request that waits for it."""
        fut = self._pending.get((message.sender, message.number))
        if fut is not None and not fut.done():
            fut.set_result(message.granted)

    def answer(self, referral: Referral, *, granted: bool) -> None:
        """Tell the coordinator that referred a request what became of it."""
        request = referral.request
        message = ReferralAnswer(
            sender=request.sender, number=request.number, granted=granted
        )
        self.send(message, [referral.coordinator])

    def repeat(self, coordinator: str, request: PlacementRequest) -> None:
        """Refer a request again whose grant may have been lost."""
        self.send(Referral(self._me, request), [coordinator])

    async def refer(
        self,
        request: PlacementRequest,
        queue: ServiceQueue,
        queued: QueuedRequest,
    ) -> str:
        """Return the coordinator that granted a slot, empty if none did."""
        state = self._service(queue.service)
        state.service_s += SERVICE_TIME_WEIGHT * (
            queued.service_s - state.service_s
        )
        offer = self._choose_offer(state, queue, queued)
        if offer is None:
            return ''
        outcome = await self._ask(offer, request)
        if outcome == 'silent':
            state.book.record_silence(offer.domain, now_s())
        self.outcomes[outcome] += 1
        self.log.emit(
            'referred',
            service=queue.service,
            domain=offer.domain,
            coordinator=offer.coordinator,
            vm=request.sender,
            outcome=outcome,
            left_ms=queued.left_s(now_s()) * _MS,
        )
        return offer.coordinator if outcome == 'granted' else ''

    @property
    def _me(self) -> str:
        return self.membership.me.address

    @property
    def _domain(self) -> str:
        return self.membership.me.failure_domain

    def _service(self, service: str) -> _ServiceSpill:
        if len(self._services) >= MAX_SERVICES:
            self._services = {
                name: state
                for name, state in self._services.items()
                if name in self.queues
            }
        return self._services.setdefault(service, _ServiceSpill())

    def _choose_offer(
        self, state: _ServiceSpill, queue: ServiceQueue, queued: QueuedRequest
    ) -> Offer | None:
        if not self.coordinates(queue.service):
            return None
        now = now_s()
        choice = queue.table.choose(queued, now)
        utility = local_utility(queue, queued, choice, now)
        if utility == math.inf:
            if choice and choice.candidate.failure_domain != self._domain:
                # Offers are wanted, so that the other coordinator decides.
                state.short_at_s = now
            return None
        state.short_at_s = now
        # Without a valid offer, this VM chooses the servers itself at once.
        queue.table.closed_domains &= state.heard_domains(now)
        distances = {
            domain: self.topology.distance(domain)
            for domain in state.book.offers
        }
        return state.book.take_best(queued, utility, distances, now)

    async def _ask(self, offer: Offer, request: PlacementRequest) -> str:
        key = (request.sender, request.number)
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending[key] = fut
        granted = None
        try:
            self.send(Referral(self._me, request), [offer.coordinator])
            async with asyncio.timeout(REFERRAL_TIMEOUT_S):
                granted = await fut
        except TimeoutError:
            return 'silent'
        finally:
            self._pending.pop(key)
            if granted is None:
                self._withdraw(offer, request)
        return 'granted' if granted else 'declined'

    def _withdraw(self, offer: Offer, request: PlacementRequest) -> None:
        ended = PlacementEnded(sender=request.sender, number=request.number)
        self.send(ended, [offer.coordinator])

    def _update(
        self, service: str, queue: ServiceQueue, count_guests: CountGuests
    ) -> None:
        now = now_s()
        if not self._is_active(queue, now) or not self.coordinates(service):
            queue.table.closed_domains = frozenset()
            self._services.pop(service, None)
            return
        state = self._service(service)
        load = measure(queue.table, self._domain, now)
        coordinators = self._coordinators(service, now)
        # A domain without servers of its own chooses those of others itself.
        queue.table.closed_domains = (
            state.heard_domains(now) if load.slots else frozenset()
        )
        wanted = wanted_slots(load, queue.waiting)
        if not wanted and now - state.short_at_s <= WANT_S:
            wanted = 1
        if wanted and load.slots:
            self._send_want(service, wanted, list(coordinators.values()))
        self._send_offers(queue, state, count_guests, set(state.wants))

    def _is_active(self, queue: ServiceQueue, now: float) -> bool:
        """Return whether a service has requests here or is wanted elsewhere.

        Most of the services have none at a VM, and an update of each costs a
        hash for each VM of the domain.
        """
        state = self._services.get(queue.service)
        if state is not None and state.wants:
            return True
        return now - queue.last_request_at_s <= ACTIVE_S

    def _coordinators(self, service: str, now: float) -> dict[str, str]:
        """Return the coordinators of other domains, the nearest first."""
        ready: dict[str, list[str]] = {}
        for member in self.membership.alive(now):
            if member.ready and member.failure_domain != self._domain:
                ready.setdefault(member.failure_domain, []).append(
                    member.address
                )
        nearest = sorted(
            ready, key=lambda domain: not self.topology.is_near(domain)
        )
        return {
            domain: rendezvous(service, ready[domain]) or ''
            for domain in nearest[:MAX_ASKED]
        }

    def _send_want(
        self, service: str, wanted: int, coordinators: list[str]
    ) -> None:
        message = SpillWant(
            sender=self._me, domain=self._domain, service=service, wanted=wanted
        )
        self.send(message, coordinators)

    def _weight(self, domain: str) -> int:
        return NEAR_WEIGHT if self.topology.is_near(domain) else 1

    def _send_offers(
        self,
        queue: ServiceQueue,
        state: _ServiceSpill,
        count_guests: CountGuests,
        domains: set[str],
    ) -> None:
        now = now_s()
        state.wants = {
            domain: want
            for domain, want in state.wants.items()
            if now - want.received_s <= OFFER_VALID_S
        }
        if not state.wants:
            return
        load = measure(queue.table, self._domain, now)
        requests = 0
        if not queue.waiting:
            guests = count_guests(queue.service)
            requests = offered_requests(load, guests, state.service_s)
        parts = divide(
            requests,
            {
                domain: want.slots * self._weight(domain)
                for domain, want in state.wants.items()
            },
        )
        for domain, want in state.wants.items():
            if domain not in domains:
                continue
            message = SpillOffer(
                sender=self._me,
                domain=self._domain,
                service=queue.service,
                requests=parts[domain],
            )
            self.send(message, [want.address])
