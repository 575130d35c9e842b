"""Routes: which services may serve a request, by host and path."""

import enum
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

DEFAULT_MAX_ATTEMPTS: Final = 2

WeightedServices = tuple[tuple[str, float], ...]  # services with their weights


class RequestKind(enum.Enum):
    """Classify whether a request may run more than once."""

    safe = 'safe'
    once = 'once'
    upload = 'upload'


@attrs.frozen(kw_only=True)
class Route:
    """Hold one route; times in seconds, rank 0 is the most urgent."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    weighted_services: WeightedServices
    timeout_s: float | None = None
    objective_s: float = 1.0
    rank: int = 1
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    public: bool = False  # needs no key
    # Regions whose servers may serve it; all if empty.
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.safe


@attrs.frozen(kw_only=True)
class ServiceRule:
    """Hold the configuration of one service."""

    name: str
    health_path: str = '/health'
    max_connections: int = 0
    # A server is cold for this time after its start, and tolerates so many
    # requests a second then; 0 if it needs no care.
    warm_up_s: float = 0
    warm_up_per_s: float = 0


class RouteTable:
    """Find routes by host and longest path prefix.

    >>> a = Route(name='a', host='h', prefix='/', kind=RequestKind.safe,
    ...           weighted_services=(('s', 1.0),))
    >>> b = attrs.evolve(a, name='b', prefix='/x/')
    >>> table = RouteTable([a, b])
    >>> table.find('h', '/x/1').name, table.find('h', '/y').name
    ('b', 'a')
    >>> table.find('g', '/')
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes by host."""
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


class WeightedRoundRobin:
    """Distribute requests over the services of a route by weight.

    Smooth weighted round robin keeps the shares exact.

    >>> selection = WeightedRoundRobin()
    >>> services = (('a', 2.0), ('b', 1.0))
    >>> [selection.next_service('r', services) for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self) -> None:
        """Start with equal credit."""
        self._credit: dict[tuple[str, WeightedServices], list[float]] = {}

    def next_service(
        self, route: str, services: tuple[tuple[str, float], ...]
    ) -> str:
        """Return the service for the next request."""
        if len(services) == 1:
            return services[0][0]
        key = (route, services)
        credit = self._credit.setdefault(key, [0.0 for _ in services])
        total = 0.0
        for index, (_, weight) in enumerate(services):
            credit[index] += weight
            total += weight
        best = max(range(len(services)), key=credit.__getitem__)
        credit[best] -= total
        return services[best][0]

    def retain(self, routes: Mapping[str, Route]) -> None:
        """Drop the credit of routes that were removed or changed."""
        for name, services in list(self._credit):
            route = routes.get(name)
            if route is None or route.weighted_services != services:
                self._credit.pop((name, services))
