"""The coordinators that place requests whose homes are in other regions.

Only a VM of a home region knows the load of its servers. All VMs agree on the
coordinator of a domain; the domains of the home regions share the requests in
proportion to their servers.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..routing.server_table import ServerTable

# The distance to a server allows for one and a half round trips.
_TRIPS_OF_DISTANCE: Final = 1.5


@attrs.frozen
class RemoteTrip:
    """Hold the time that a request spends on the way to another region.

    A coordinator there judges the servers by its own distance to them.
    """

    one_way_s: float = 0  # from here to the coordinator
    total_s: float = 0  # both ways to the coordinator and to the server


NO_TRIP: Final = RemoteTrip()


def choose_home_coordinator(
    membership: Membership,
    table: ServerTable,
    service: str,
    regions: frozenset[str],
    *,
    now: float,
    is_silent: Callable[[str], bool],
) -> str:
    """Return the coordinator to ask, empty if there is none to ask."""
    servers = Counter(one.failure_domain for one in table.usable(regions))
    weights = {}
    for domain, addresses in membership.other_domains(now).items():
        members = [membership.get(address) for address in addresses]
        ready = [
            one.address
            for one in members
            if one.ready and one.region in regions
        ]
        coordinator = rendezvous(service, ready)
        if coordinator is None or is_silent(coordinator):
            continue
        if servers[domain]:
            weights[coordinator] = servers[domain]
    if not weights:
        return ''
    drawn = random.choices(list(weights), list(weights.values()))  # noqa: S311
    return drawn[0]


def measure_trip(table: ServerTable, regions: frozenset[str]) -> RemoteTrip:
    """Return the trip of a request to the servers of its home regions."""
    distance_s = max(
        (one.distance.round_trip_s for one in table.usable(regions)), default=0
    )
    round_trip_s = distance_s / _TRIPS_OF_DISTANCE
    return RemoteTrip(round_trip_s / 2, distance_s + round_trip_s)
