"""The servers of one service, and the choice of a server for a request.

Servers are ranked by the expected utility of their response; more distant
servers are considered only if nearer ones are not good enough.
"""

import math
import random
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from .candidate import Candidate
from .home_regions import ALL_REGIONS, HomeDemand
from .load import (
    ERROR_EWMA_WEIGHT,
    NEARLY_FULL_SHARE,
    FullLoadSlowdown,
    SlowdownModel,
)
from .queued_request import QueuedRequest
from .worth import Forecast, RequestProfile, predict

SUFFICIENT_UTILITY: Final = 0.85  # above it, no farther tier is forecast
MAX_COMPARED: Final = 8  # servers per tier; a sample does as well as all
# Servers drawn per tier to find those to compare; bounds the time of a choice.
MAX_DRAWN: Final = 32
MAX_REGION_SETS: Final = 32  # with cached tiers; routes name few of them
# Cost of a new connection, in utility.
CONNECTED_BONUS: Final = 0.017
# Cost of a new connection to a server that is nearly full, which may reset it;
# the request may have run then. Less than a wait costs.
FULL_CONNECT_COST: Final = 0.05
# Utility that the wait for a server costs other requests; they wait as well.
WAIT_COST: Final = 0.1
# Two standard deviations of an error share, as a multiple of sqrt(p (1 - p)).
# A wait for a smaller difference leaves slots unused when all servers turn
# requests away.
ERROR_SHARE_NOISE: Final = 2 * math.sqrt(
    ERROR_EWMA_WEIGHT / (2 - ERROR_EWMA_WEIGHT)
)
NEW_SERVER_BONUS: Final = 0.4  # so that a new server gets requests soon


@attrs.frozen
class Choice:
    """Hold the best server for a request at one moment."""

    candidate: Candidate
    forecast: Forecast
    free: bool
    utility: float


@attrs.define(eq=False)
class ServerTable:
    """Hold the servers of one service, grouped by distance."""

    slowdown: SlowdownModel = attrs.field(factory=SlowdownModel)
    full_load: FullLoadSlowdown = attrs.field(factory=FullLoadSlowdown)
    servers: dict[str, Candidate] = attrs.field(factory=dict)
    homes: HomeDemand = attrs.field(factory=HomeDemand)
    # Domains whose servers this VM leaves to their own coordinators.
    closed_domains: frozenset[str] = frozenset()
    # Servers by distance, for each set of regions that requests allow.
    _tier_cache: dict[frozenset[str], list[list[Candidate]]] = attrs.field(
        factory=dict
    )
    _waits_end_s: float = 0  # of all servers that want a wait

    def add(self, candidate: Candidate) -> None:
        """Add a server or replace the one of that name."""
        self.servers[candidate.name] = candidate
        self._tier_cache.clear()

    def remove(self, name: str) -> None:
        """Remove a server."""
        self.servers.pop(name, None)
        self._tier_cache.clear()

    def drop_tiers(self) -> None:
        """Group the servers anew, since evacuations changed."""
        self._tier_cache.clear()

    def usable(
        self, regions: frozenset[str] = ALL_REGIONS
    ) -> Iterator[Candidate]:
        """Yield the servers that requests for ``regions`` may be placed on."""
        for candidate in self.servers.values():
            if candidate.is_usable(regions):
                yield candidate

    def has_free_slot(
        self, now: float, regions: frozenset[str] = ALL_REGIONS
    ) -> bool:
        """Return whether any server of the regions has a free slot."""
        for candidate in self.usable(regions):
            if self._is_closed(candidate):
                continue
            if candidate.is_free(now):
                return True
        return False

    def is_barred(self, regions: frozenset[str]) -> bool:
        """Return whether homes or evacuations leave a request no server."""
        if next(self.usable(regions), None) is not None:
            return False
        return any(one.is_barred(regions) for one in self.servers.values())

    def is_blocked(
        self, now: float, regions: frozenset[str] = ALL_REGIONS
    ) -> bool:
        """Return whether the limits leave this VM no server to send to."""
        return not any(
            candidate.own_requests_per_s(now)
            for candidate in self.usable(regions)
        )

    def record_wait(self, candidate: Candidate, until_s: float) -> None:
        """Record until when a server wants no request from this VM."""
        candidate.wait_until_s = max(candidate.wait_until_s, until_s)
        self._waits_end_s = max(self._waits_end_s, until_s)

    def waiting_names(self, now: float) -> list[str]:
        """Return the names of the servers that want a wait from this VM."""
        if now >= self._waits_end_s:
            return []
        return [
            name
            for name, candidate in self.servers.items()
            if candidate.wants_wait(now)
        ]

    def wait_left_s(
        self, now: float, regions: frozenset[str] = ALL_REGIONS
    ) -> float:
        """Return the seconds until a server wants requests, 0 if one does."""
        if now >= self._waits_end_s:
            return 0
        return min(
            (
                max(0, candidate.wait_until_s - now)
                for candidate in self.usable(regions)
            ),
            default=0,
        )

    def connected(self, now: float, limit: int) -> tuple[str, ...]:
        """Name servers with an idle connection, the longest usable first."""
        names = [
            (candidate.connected_until_s, name)
            for name, candidate in self.servers.items()
            if now < candidate.connected_until_s
        ]
        return tuple(name for _, name in sorted(names, reverse=True)[:limit])

    def count_near_slots(
        self,
        service_s: float,
        sharing_vms: int,
        now: float,
        regions: frozenset[str] = ALL_REGIONS,
    ) -> float:
        """Count this VM's part of the slots that require no minimum gain.

        A server is shared evenly, a limit as the limit's shares say. Requests
        whose regions have no near server count the distant ones.
        """
        usable = list(self.usable(regions))
        near = [one for one in usable if not one.distance.min_gain]
        if not near and (regions or self._is_barred_nearby(regions)):
            near = usable
        return sum(
            min(
                candidate.load.slots / sharing_vms,
                candidate.own_requests_per_s(now) * service_s,
            )
            for candidate in near
            if not self._is_closed(candidate)
        )

    def choose(self, queued: QueuedRequest, now: float) -> Choice | None:
        """Return the server with the highest utility, None if there is none.

        A more distant tier is forecast only while no nearer server that is free
        exceeds ``SUFFICIENT_UTILITY``. A server that is not free has to be
        better than any free one by ``WAIT_COST`` and by what the error share of
        the free one is uncertain by.
        """
        profile = queued.profile(now)
        best: Choice | None = None
        for tier in self._tiers(queued, now):
            choices = [
                self._forecast(candidate, queued, profile, now)
                for candidate in tier
            ]
            if best is not None:
                choices.append(best)
            best = _best(choices, now)
            if (
                best is not None
                and best.free
                and best.utility > SUFFICIENT_UTILITY
            ):
                return best
        return best

    def _is_barred_nearby(self, regions: frozenset[str]) -> bool:
        """Return whether homes or evacuations bar servers of this region."""
        return any(
            one.is_barred(regions)
            for one in self.servers.values()
            if not one.distance.min_gain
        )

    def _forecast(
        self,
        candidate: Candidate,
        queued: QueuedRequest,
        profile: RequestProfile,
        now: float,
    ) -> Choice:
        load = candidate.load
        wait_s = candidate.limit_wait_s(now)
        forecast = predict(
            load,
            profile.after(wait_s) if wait_s else profile,
            candidate.distance,
            now,
            slowdown=self.slowdown,
            full_load=self.full_load,
            cold=now < candidate.warm_at_s,
        )
        utility = forecast.utility + _bonus(candidate, queued, now)
        if self.homes.demand and not queued.regions:
            # A request with homes of its own has no other server to go to.
            utility -= self.homes.cost(self.servers, candidate.region, now)
        return Choice(
            candidate,
            forecast,
            candidate.is_free(now),
            utility,
        )

    def _tiers(
        self, queued: QueuedRequest, now: float
    ) -> Iterator[list[Candidate]]:
        """Yield a sample of the servers at each distance, the nearest first."""
        found = False
        for tier in self._all_tiers(queued.regions):
            if self.closed_domains:
                tier = [one for one in tier if not self._is_closed(one)]
            sample = _sample(tier, queued, now)
            found = found or bool(sample)
            yield sample
        if not found:
            # If no other server is left, an ejected one may have recovered.
            yield [
                candidate
                for candidate in self.servers.values()
                if _is_eligible(candidate, queued)
            ]

    def _is_closed(self, candidate: Candidate) -> bool:
        return candidate.failure_domain in self.closed_domains

    def _all_tiers(self, regions: frozenset[str]) -> list[list[Candidate]]:
        """Group the servers of the regions by distance.

        A sample of all servers of a tier might hold none of the regions.
        """
        cached = self._tier_cache.get(regions)
        if cached is not None:
            return cached
        tiers: dict[float, list[Candidate]] = {}
        for candidate in self.servers.values():
            if not candidate.is_barred(regions):
                trip_s = candidate.distance.round_trip_s
                tiers.setdefault(trip_s, []).append(candidate)
        if len(self._tier_cache) >= MAX_REGION_SETS:
            self._tier_cache.clear()
        found = [tiers[trip_s] for trip_s in sorted(tiers)]
        self._tier_cache[regions] = found
        return found


def _best(choices: list[Choice], now: float) -> Choice | None:
    """Return the best choice; a full server has to be worth the wait."""
    free = _most_useful(choice for choice in choices if choice.free)
    full = _most_useful(choice for choice in choices if not choice.free)
    if free is None or full is None:
        return free or full
    share = free.candidate.load.failing(now)
    noise = ERROR_SHARE_NOISE * math.sqrt(share * (1 - share))
    if full.utility - WAIT_COST - noise > free.utility:
        return full
    return free


def _most_useful(choices: Iterable[Choice]) -> Choice | None:
    return max(choices, key=lambda choice: choice.utility, default=None)


def _is_eligible(candidate: Candidate, queued: QueuedRequest) -> bool:
    if candidate.name in queued.excluded:
        return False
    return candidate.is_usable(queued.regions)


def _sample(
    tier: list[Candidate],
    queued: QueuedRequest,
    now: float,
) -> list[Candidate]:
    """Sample servers of a tier in random order, so that equal ones share load.

    Servers with a free slot come first; full ones only serve to estimate the
    wait.
    """
    drawn = random.sample(tier, min(MAX_DRAWN, len(tier)))
    if len(drawn) > MAX_COMPARED:
        drawn = _prioritize(drawn, queued, now)
    free = []
    full = []
    for candidate in drawn:
        if _is_unavailable(candidate, queued, now):
            continue
        if candidate.is_free(now):
            free.append(candidate)
        else:
            full.append(candidate)
        if len(free) == MAX_COMPARED:
            break
    return free + full[: MAX_COMPARED - len(free)]


def _prioritize(
    drawn: list[Candidate], queued: QueuedRequest, now: float
) -> list[Candidate]:
    """Move some servers to the front, new ones before connected ones."""
    first = [each for each in drawn if _is_new(each, now)]
    first.extend(each for each in drawn if queued.is_connected(each, now))
    first = first[: MAX_COMPARED // 2]
    return first + [each for each in drawn if each not in first]


def _is_unavailable(
    candidate: Candidate, queued: QueuedRequest, now: float
) -> bool:
    if now < candidate.load.ejected_until_s:
        return True
    return not _is_eligible(candidate, queued)


def _bonus(candidate: Candidate, queued: QueuedRequest, now: float) -> float:
    """Return the utility added for a new, connected or full server."""
    if _is_new(candidate, now) and queued.rank:
        return NEW_SERVER_BONUS
    if queued.is_connected(candidate, now):
        return CONNECTED_BONUS
    load = candidate.load
    full = load.estimated_requests(now) + 1 > NEARLY_FULL_SHARE * load.slots
    return -FULL_CONNECT_COST if full else 0


def _is_new(candidate: Candidate, now: float) -> bool:
    """Return whether a server joined recently and got no request yet."""
    if now > candidate.new_until_s or candidate.distance.price_per_kb:
        # VMs of the server's own failure domain send it the first request.
        return False
    load = candidate.load
    return not (load.started or load.failing(now))
