"""Service queues and server candidates, kept in sync with the view."""

import logging
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.logs import log_warning
from ..routing.candidate import Candidate
from ..routing.late_binding import RefreshLoad, ServiceQueue
from ..routing.load import ServerLoad, SlowdownModel
from ..routing.server_table import ServerTable
from ..routing.warm_up import NEAR_BURST
from ..routing.worth import Distance
from .model import BackendServer
from .warm_up_recorder import WarmUpRecorder

SAME_DOMAIN: Final = Distance()
# Load reports from other regions are stale, and two overloaded regions that
# send each other requests only prolong the overload.
FAR_MIN_GAIN: Final = 0.25
_PER_KB: Final = 1 / 1024
STARTUP_S: Final = 5.0  # after which all existing servers are listed
PREFER_NEW_S: Final = 10.0  # during which a newly listed server is preferred

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Topology:
    """Describe the location of this VM and the cost of reaching servers.

    Prices are in answered calls per megabyte, according to the users' bills.
    """

    failure_domain: str
    regions: Mapping[str, str]  # failure domain to region
    near_price: float
    far_price: float
    near_round_trip_s: float = 0.003
    # One and a half round trips: half of the requests need a new connection.
    far_round_trip_s: float = 0.093

    def distance(self, domain: str) -> Distance:
        """Return the distance to the servers of a failure domain."""
        if domain == self.failure_domain:
            return SAME_DOMAIN
        if self.is_near(domain):
            return Distance(
                reach='region',
                round_trip_s=self.near_round_trip_s,
                price_per_kb=self.near_price * _PER_KB,
            )
        return Distance(
            reach='far',
            min_gain=FAR_MIN_GAIN,
            round_trip_s=self.far_round_trip_s,
            price_per_kb=self.far_price * _PER_KB,
        )

    def is_near(self, domain: str) -> bool:
        """Return whether a failure domain is in this VM's region."""
        own = self.regions.get(self.failure_domain)
        return own is not None and self.regions.get(domain) == own


@attrs.define(eq=False)
class BackendRegistry:
    """Store a queue for each service and a candidate for each server."""

    topology: Topology
    on_removed: Callable[[str], None]
    refresh_load: RefreshLoad
    warm_ups: WarmUpRecorder
    slowdown: SlowdownModel = attrs.field(factory=SlowdownModel)
    started_s: float = attrs.field(factory=now_s)
    queues: dict[str, ServiceQueue] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()  # failure domains
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _services: dict[str, str] = attrs.field(factory=dict)  # by address

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service, created on first use."""
        found = self.queues.get(service)
        if found is None:
            found = ServiceQueue(
                service, self.refresh_load, ServerTable(self.slowdown)
            )
            self.queues[service] = found
        return found

    def server(self, name: str) -> BackendServer | None:
        """Return the entry of a server, if it is listed."""
        return self._servers.get(name)

    def service_at(self, address: str) -> str:
        """Return the service of the server at an address, empty if none."""
        return self._services.get(address, '')

    def candidate(self, name: str) -> Candidate | None:
        """Return the candidate of a server, if it is listed."""
        server = self._servers.get(name)
        if server is None:
            return None
        return self.queue(server.service).table.servers.get(name)

    def candidates(self) -> Iterator[tuple[BackendServer, Candidate]]:
        """Yield each listed server with its candidate."""
        for name, server in list(self._servers.items()):
            candidate = self.queue(server.service).table.servers.get(name)
            if candidate is not None:
                yield server, candidate

    def update(self, servers: Mapping[str, BackendServer]) -> None:
        """Apply a new table of servers and dispatch waiting requests."""
        for name in self._servers.keys() - servers.keys():
            self._remove(name)
        for server in servers.values():
            if self._servers.get(server.name) != server:
                self._apply(server)
        for queue in self.queues.values():
            queue.dispatch()

    def apply_rules(self) -> None:
        """Apply the warm-up rates of another configuration."""
        for _, candidate in self.candidates():
            self.warm_ups.apply_rule(candidate)

    def mark_cold(self, domain: str, now: float) -> None:
        """Take all servers of a failure domain for cold.

        They got nothing for a while, as at the end of an evacuation.
        """
        for server, candidate in self.candidates():
            if server.failure_domain == domain:
                self.warm_ups.mark_cold(candidate, now)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Bar the servers of these domains and of no others.

        The servers of a domain are cold once it is no longer evacuated.
        """
        if domains == self.evacuated:
            return
        for domain in domains - self.evacuated:
            self._check_domain(domain)
        restored = self.evacuated - domains
        self.evacuated = domains
        now = now_s()
        for server, candidate in self.candidates():
            candidate.evacuated = server.failure_domain in domains
        for domain in restored:
            self.mark_cold(domain, now)
        for queue in self.queues.values():
            queue.table.drop_tiers()

    def _check_domain(self, domain: str) -> None:
        """Log a domain that neither the settings nor a server names."""
        domains = {one.failure_domain for one in self._servers.values()}
        if domain not in domains and domain not in self.topology.regions:
            log_warning(_logger, 'evacuated_domain_unknown', domain=domain)

    def _apply(self, server: BackendServer) -> None:
        before = self._servers.get(server.name)
        if before is not None and _is_restarted(before, server):
            self._remove(server.name)
        self._servers[server.name] = server
        self._services[server.address] = server.service
        table = self.queue(server.service).table
        candidate = table.servers.get(server.name)
        if candidate is None:
            candidate = Candidate(
                name=server.name,
                address=server.address,
                load=ServerLoad(slots=server.slots),
                distance=self.topology.distance(server.failure_domain),
                failure_domain=server.failure_domain,
                region=self.topology.regions.get(server.failure_domain, ''),
                service=server.service,
                evacuated=server.failure_domain in self.evacuated,
            )
            if candidate.distance is SAME_DOMAIN:
                candidate.warm_up.burst = NEAR_BURST
            if now_s() - self.started_s > STARTUP_S:
                candidate.new_until_s = now_s() + PREFER_NEW_S
            table.add(candidate)
        candidate.draining = server.draining
        candidate.evacuated = server.failure_domain in self.evacuated
        self.warm_ups.record_entry(candidate, server.warm_up_s)

    def _remove(self, name: str) -> None:
        server = self._servers.pop(name)
        self._services.pop(server.address, None)
        self.queue(server.service).table.remove(name)
        self.on_removed(server.address)


def _is_restarted(before: BackendServer, after: BackendServer) -> bool:
    return (before.started_ms, before.address, before.service) != (
        after.started_ms,
        after.address,
        after.service,
    )
