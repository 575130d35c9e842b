"""The queues of all services, kept in step with the view."""

from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from ..core.clock import now_s
from ..routing.candidate import Candidate
from ..routing.late_binding import Look, ServiceQueue
from ..routing.load import Noise, ServerLoad
from ..routing.server_table import ServerTable
from ..routing.worth import Distance
from .model import BackendServer

SAME_DOMAIN: Final = Distance()
# Reports from other regions are old, and both sides sending each other
# their overload only makes it longer.
FAR_RELUCTANCE: Final = 0.25
_PER_KB: Final = 1 / 1024
STARTUP_S: Final = 5.0  # after the start, when all servers are listed
PREFER_NEW_S: Final = 10.0  # for which a server that joined is tried first


@attrs.frozen(kw_only=True)
class Topology:
    """Say where this VM is, and what distance costs.

    Prices are in answered calls a megabyte, as the users' bills relate them.
    """

    failure_domain: str
    regions: Mapping[str, str]  # failure domain to region
    near_price: float
    far_price: float
    near_round_trip_s: float = 0.003
    # One trip and a half: half of the requests need a new connection.
    far_round_trip_s: float = 0.093

    def distance(self, domain: str) -> Distance:
        """Give the distance to servers of a failure domain."""
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
            reluctance=FAR_RELUCTANCE,
            round_trip_s=self.far_round_trip_s,
            price_per_kb=self.far_price * _PER_KB,
        )

    def is_near(self, domain: str) -> bool:
        """Tell whether a failure domain is in this VM's region."""
        own = self.regions.get(self.failure_domain)
        return own is not None and self.regions.get(domain) == own


@attrs.define(eq=False)
class BackendRegistry:
    """Hold a queue for each service and a candidate for each server."""

    topology: Topology
    on_removed: Callable[[str], None]
    refresh_load: Look
    noise: Noise = attrs.field(factory=Noise)
    started_s: float = attrs.field(factory=now_s)
    queues: dict[str, ServiceQueue] = attrs.field(factory=dict)
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)

    def queue(self, service: str) -> ServiceQueue:
        """Give the queue of a service."""
        found = self.queues.get(service)
        if found is None:
            found = ServiceQueue(
                service, self.refresh_load, ServerTable(self.noise)
            )
            self.queues[service] = found
        return found

    def server(self, name: str) -> BackendServer | None:
        """Give what is known of a server."""
        return self._servers.get(name)

    def candidate(self, name: str) -> Candidate | None:
        """Give the candidate of a server."""
        server = self._servers.get(name)
        if server is None:
            return None
        return self.queue(server.service).table.servers.get(name)

    def candidates(self) -> Iterator[tuple[BackendServer, Candidate]]:
        """Give all servers with their candidates."""
        for name, server in list(self._servers.items()):
            candidate = self.queue(server.service).table.servers.get(name)
            if candidate is not None:
                yield server, candidate

    def update(self, servers: Mapping[str, BackendServer]) -> None:
        """Follow the table of servers."""
        for name in self._servers.keys() - servers.keys():
            self._remove(name)
        for server in servers.values():
            if self._servers.get(server.name) != server:
                self._store(server)
        for queue in self.queues.values():
            queue.pump()

    def _store(self, server: BackendServer) -> None:
        before = self._servers.get(server.name)
        if before is not None and _is_restarted(before, server):
            self._remove(server.name)
        self._servers[server.name] = server
        table = self.queue(server.service).table
        candidate = table.servers.get(server.name)
        if candidate is None:
            candidate = Candidate(
                name=server.name,
                address=server.address,
                load=ServerLoad(slots=server.slots),
                distance=self.topology.distance(server.failure_domain),
            )
            if now_s() - self.started_s > STARTUP_S:
                candidate.new_until_s = now_s() + PREFER_NEW_S
            table.add(candidate)
        candidate.draining = server.draining
        candidate.warm_at_s = now_s() + server.warm_up_s

    def _remove(self, name: str) -> None:
        server = self._servers.pop(name)
        self.queue(server.service).table.remove(name)
        self.on_removed(server.address)


def _is_restarted(before: BackendServer, after: BackendServer) -> bool:
    return (before.born_ms, before.address, before.service) != (
        after.born_ms,
        after.address,
        after.service,
    )
