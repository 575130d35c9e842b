"""Home regions: the only regions whose servers may serve some requests.

Requests without a home leave the servers of a region in which homed requests
arrive and few slots are free, if servers elsewhere will do.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from .candidate import Candidate

ALL_REGIONS: Final[frozenset[str]] = frozenset()
# The homes of a request whose route and customer have none in common. It is no
# name of a region, so no server may serve the request.
NO_REGION: Final = frozenset(('(none)',))
DEMAND_S: Final = 2.0  # for which a homed request counts as demand
SCARCE_FREE_SHARE: Final = 0.25  # of the slots of a region
RECOUNT_INTERVAL_S: Final = 0.02  # a tenth of usual service times
# Above the minimum gain of servers of other regions (0.25) plus the cost of
# the latency of the longer way, below the utility of a response in time.
SCARCE_COST: Final = 0.4


def common_regions(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str]:
    """Return the regions that both a route and a customer allow.

    >>> sorted(common_regions(frozenset('ab'), frozenset('bc')))
    ['b']
    >>> common_regions(frozenset('a'), frozenset('b')) == NO_REGION
    True
    """
    if not first or not second:
        return first or second
    return (first & second) or NO_REGION


def overlap(first: frozenset[str], second: frozenset[str]) -> bool:
    """Return whether two requests may need the same servers.

    >>> overlap(frozenset('a'), ALL_REGIONS)
    True
    >>> overlap(frozenset('a'), frozenset('b'))
    False
    """
    return not (first and second) or not first.isdisjoint(second)


@attrs.define(eq=False)
class HomeDemand:
    """Track which regions homed requests need, and how few slots are free."""

    demand: dict[str, float] = attrs.field(factory=dict)  # region: until when
    _costs: dict[str, float] = attrs.field(factory=dict)
    _counted_at_s: float = 0

    def record(self, regions: frozenset[str], now: float) -> None:
        """Record the arrival of a request."""
        if not (regions or self.demand):
            return
        expired = [
            region for region, until_s in self.demand.items() if now >= until_s
        ]
        for region in expired:
            self.demand.pop(region)
        for home in regions:
            self.demand[home] = now + DEMAND_S

    def cost(
        self, servers: Mapping[str, Candidate], region: str, now: float
    ) -> float:
        """Return the utility that a request takes from homed requests."""
        if now >= self.demand.get(region, 0):
            return 0
        if now - self._counted_at_s >= RECOUNT_INTERVAL_S:
            self._counted_at_s = now
            self._costs.clear()
        if region not in self._costs:
            scarce = _is_scarce(servers, region, now)
            self._costs[region] = SCARCE_COST if scarce else 0
        return self._costs[region]


def _is_scarce(
    servers: Mapping[str, Candidate], region: str, now: float
) -> bool:
    slots = 0
    free = 0.0
    for candidate in servers.values():
        if candidate.region != region or not candidate.is_usable(ALL_REGIONS):
            continue
        load = candidate.load
        slots += load.slots
        free += max(0, load.slots - load.estimated_requests(now))
    return free < SCARCE_FREE_SHARE * slots
