"""Routes of a large configuration: many that stay, and some that change."""

import itertools
import math
import random
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..standin.documents import describe_route, make_route
from .plan import PAYMENT_SERVICES

MIN_LISTED: Final = 2
MAX_LISTED: Final = 8
_HOSTS: Final = 10
_TIMEOUT_MS: Final = 3000
_OBJECTIVE_MS: Final = 1500


@attrs.define(eq=False)
class ExtraRoute:
    """Hold when a route came, moved and went."""

    name: str
    # Time at which each version was sent, and its service; none if it is away.
    versions: list[tuple[float, str]] = attrs.field(factory=list)
    acked_s: float = math.inf  # the version that added it
    removed_s: float = math.inf  # when a version without it was sent

    @property
    def prefix(self) -> str:
        """Return the prefix of its paths."""
        return f'/extra/{self.name}/'

    @property
    def service(self) -> str:
        """Return the service of the newest version."""
        return self.versions[-1][1]

    def acknowledge(self) -> None:
        """Record that the version that added it is in the store."""
        self.acked_s = min(self.acked_s, now_s())


Change = Callable[[ExtraRoute], ExtraRoute]


@attrs.define(eq=False)
class ExtraRoutes:
    """Add, move and remove routes beside others that stay."""

    rng: random.Random
    staying: int = 0
    routes: dict[str, ExtraRoute] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def listed(self) -> list[ExtraRoute]:
        """Return the routes of the newest version."""
        return [route for route in self.routes.values() if route.service]

    def add(self) -> ExtraRoute:
        """Add a route; the next version has it."""
        route = ExtraRoute(f'extra{next(self._numbers)}')
        route.versions.append((now_s(), self.rng.choice(PAYMENT_SERVICES)))
        self.routes[route.name] = route
        return route

    def change(self) -> ExtraRoute:
        """Add, move or remove a route; the next version shows it."""
        listed = self.listed()
        if len(listed) < MIN_LISTED:
            return self.add()
        plays: list[Change] = [self._move, self._remove]
        if len(listed) < MAX_LISTED:
            plays.append(lambda _: self.add())
        return self.rng.choice(plays)(self.rng.choice(listed))

    def describe(self, **extra: Any) -> dict[str, Any]:
        """Return the routes for a configuration."""
        staying = {
            f'staying{number}': make_route(
                host=f'host{number % _HOSTS}.example',
                pathPrefix=f'/staying{number}/',
            )
            for number in range(self.staying)
        }
        changing = {
            route.name: describe_route(
                prefix=route.prefix,
                kind='unsafe',
                service=route.service,
                timeout_ms=_TIMEOUT_MS,
                objective_ms=_OBJECTIVE_MS,
                **extra,
            )
            for route in self.listed()
        }
        return {**staying, **changing}

    def _move(self, route: ExtraRoute) -> ExtraRoute:
        others = [one for one in PAYMENT_SERVICES if one != route.service]
        route.versions.append((now_s(), self.rng.choice(others)))
        return route

    def _remove(self, route: ExtraRoute) -> ExtraRoute:
        route.removed_s = now_s()
        route.versions.append((route.removed_s, ''))
        return route
