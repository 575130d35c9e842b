"""Decide when requests leave their failure domain, and how many.

A coordinator that needs more slots than its domain has asks the others for
offers. It refers a request if the expected utility elsewhere exceeds that of
the wait here by the cost of the distance and ``DEAD_BAND``.
"""

import math
from collections.abc import Mapping
from typing import Final

import attrs

from .candidate import Candidate
from .late_binding import ServiceQueue
from .queued_request import QueuedRequest
from .server_table import Choice, ServerTable
from .worth import (
    LATENCY_COST,
    Distance,
    RequestProfile,
    expected_utility,
)

OFFER_PERIOD_S: Final = 0.2
OFFER_VALID_S: Final = 0.4  # two periods, so that one lost offer does no harm
SILENCE_S: Final = 0.5  # for which a silent coordinator gets no request
# Slots kept free for requests of the own domain. Arrivals of one service time
# vary by about the square root of the slots.
RESERVE_FACTOR: Final = 0.5
WANT_SHARE: Final = 0.8  # of the slots in use, above which offers are wanted
# Utility. Offers describe the past 0.2 s; smaller gains would make domains of
# equal load exchange requests.
DEAD_BAND: Final = 0.05
# A referral and its grant, then the request and its response.
ROUND_TRIPS: Final = 2


@attrs.frozen
class DomainLoad:
    """Count the slots of a service in one failure domain."""

    slots: int = 0
    spare: int = 0  # free beyond the reserve; negative if the reserve is used

    @property
    def used_share(self) -> float:
        """Return the share of the slots in use."""
        free = self.spare + reserve(self.slots)
        return 1 - free / self.slots if self.slots else 1


@attrs.define(eq=False)
class Offer:
    """Hold what a domain offers and what is left of it."""

    domain: str
    coordinator: str
    region: str
    requests: int
    wait_s: float
    received_s: float

    def is_open(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether a request may be referred on this offer."""
        if self.requests < 1 or now - self.received_s > OFFER_VALID_S:
            return False
        return not queued.regions or self.region in queued.regions


@attrs.define(eq=False)
class OfferBook:
    """Hold the latest offers for one service and spend them."""

    offers: dict[str, Offer] = attrs.field(factory=dict)  # by domain
    _silent_until_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, offer: Offer) -> None:
        """Replace the offer of a domain."""
        self.offers[offer.domain] = offer

    def record_silence(self, domain: str, now: float) -> None:
        """Leave out a domain whose coordinator did not respond."""
        self._silent_until_s[domain] = now + SILENCE_S

    def take_best(
        self,
        queued: QueuedRequest,
        local_utility: float,
        distances: Mapping[str, Distance],
        now: float,
    ) -> Offer | None:
        """Spend the offer that is worth the most, if any is worth leaving."""
        best = None
        least = local_utility + DEAD_BAND
        for offer in self.offers.values():
            silent = now < self._silent_until_s.get(offer.domain, 0)
            if silent or not offer.is_open(queued, now):
                continue
            utility = remote_utility(
                queued.profile(now), distances[offer.domain], offer.wait_s
            )
            if utility > least:
                best, least = offer, utility
        if best is not None:
            best.requests -= 1
        return best


def reserve(slots: int) -> int:
    """Return the slots kept free for requests of the own domain.

    >>> reserve(100), reserve(4), reserve(0)
    (5, 1, 0)
    """
    return math.ceil(RESERVE_FACTOR * math.sqrt(slots))


def measure(table: ServerTable, domain: str, now: float) -> DomainLoad:
    """Count the slots of a domain; cold and evacuated servers offer none."""
    slots = 0
    free = 0
    for candidate in table.servers.values():
        if candidate.failure_domain != domain or not _is_usable(candidate, now):
            continue
        load = candidate.load
        slots += load.slots
        if now >= candidate.warm_at_s and candidate.is_free(now):
            free += load.slots - load.estimated_requests(now)
    return DomainLoad(slots, free - reserve(slots))


def _is_usable(candidate: Candidate, now: float) -> bool:
    if candidate.draining or candidate.evacuated:
        return False
    return now >= candidate.load.ejected_until_s


def wanted_slots(load: DomainLoad, waiting: int) -> int:
    """Return the slots wanted from other domains, 0 while own ones do."""
    if not waiting and load.used_share < WANT_SHARE:
        return 0
    return max(1, waiting - load.spare)


def offered_requests(load: DomainLoad, guests: int, service_s: float) -> int:
    """Return the requests to offer for one period.

    ``guests`` slots that referred requests use now become free for others in
    the course of a service time.
    """
    if load.spare <= 0:
        return 0
    turns = OFFER_PERIOD_S / max(service_s, OFFER_PERIOD_S / 4)
    return max(load.spare, round((load.spare + guests) * turns))


def divide(requests: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Divide an offer among domains in proportion to what they want.

    >>> divide(10, {'a': 1, 'b': 3, 'c': 3})
    {'a': 1, 'b': 5, 'c': 4}
    >>> sum(divide(2, {'a': 1, 'b': 1, 'c': 1}).values())
    2
    """
    total = sum(wanted.values())
    if not total:
        return dict.fromkeys(wanted, 0)
    parts = {
        domain: requests * want // total for domain, want in wanted.items()
    }
    left = requests - sum(parts.values())
    by_want = sorted(wanted, key=lambda domain: (-wanted[domain], domain))
    for domain in by_want[:left]:
        parts[domain] += 1
    return parts


def local_utility(
    queue: ServiceQueue,
    queued: QueuedRequest,
    choice: Choice | None,
    now: float,
) -> float:
    """Return the expected utility of a request that stays in its domain.

    A request that would have to wait longer than its objective is refused and
    has none.
    """
    if choice is not None and choice.free and not queue.waiting:
        return math.inf
    wait_s = queue.estimate_wait_s(queued)
    if choice is None or wait_s + queued.service_s > queued.left_s(now):
        return 0
    return _utility(queued.profile(now), wait_s + queued.service_s)


def remote_utility(
    profile: RequestProfile, distance: Distance, wait_s: float
) -> float:
    """Return the expected utility in another domain, less its cost."""
    trips_s = ROUND_TRIPS * distance.round_trip_s
    response_s = wait_s + profile.service_s + trips_s
    cost = distance.price_per_kb * profile.kilobytes
    return _utility(profile, response_s) - cost


def unavailable(table: ServerTable, domain: str, now: float) -> set[str]:
    """Name the servers that requests of other domains may not use."""
    return {
        name
        for name, candidate in table.servers.items()
        if candidate.failure_domain != domain
        or candidate.evacuated
        or now < candidate.warm_at_s
    }


def _utility(profile: RequestProfile, response_s: float) -> float:
    delay_cost = LATENCY_COST * response_s / profile.objective_s
    return expected_utility(response_s, profile) - delay_cost
