"""Decide whose a request is, from its key, its route and the configuration."""

from typing import Final

import attrs

from ..core.results import ResultCode
from ..routing.customers import Customer
from ..routing.home_regions import NO_REGION, common_regions
from ..routing.routes import Route
from .dialect import RequestMetadata
from .freshness import ConfigurationAge
from .model import Configuration
from .view import View


@attrs.frozen(kw_only=True)
class Identity:
    """Hold the customer of a request, or the refusal of its key."""

    customer: Customer | None = None  # None if the request is anonymous
    refusal: ResultCode | None = None
    checked: bool = True  # whether the configuration has customers

    @property
    def header(self) -> str | None:
        """Return the name for backend servers, empty if anonymous.

        It is None without customers: headers of callers then pass unchanged.
        """
        if not self.checked:
            return None
        return self.customer.name if self.customer else ''


ANONYMOUS: Final = Identity()
_UNCHECKED: Final = Identity(checked=False)


def check_key(
    metadata: RequestMetadata,
    route: Route,
    cfg: Configuration,
    *,
    fresh: bool = True,
) -> Identity:
    """Return the identity of a request; a public route needs no key.

    If the configuration is not ``fresh``, no key is accepted and none is
    called unknown: it may be newer than the configuration.
    """
    if cfg.customers is None:
        return _UNCHECKED
    if len(metadata.keys) > 1:
        return Identity(refusal=ResultCode.customer_key_repeated)
    customer = cfg.customers.find(metadata.keys[0]) if metadata.keys else None
    if customer is not None and fresh:
        return Identity(customer=customer)
    if route.public:
        return ANONYMOUS
    if not metadata.keys:
        return Identity(refusal=ResultCode.customer_key_missing)
    code = ResultCode.customer_key_unknown
    return Identity(refusal=code if fresh else ResultCode.configuration_stale)


def shared_regions(
    route: Route, customer: Customer | None
) -> frozenset[str] | None:
    """Return the regions that may serve, empty if all; None if none may.

    >>> from ..routing.routes import RequestKind
    >>> route = Route(name='a', host='h', prefix='/', kind=RequestKind.safe,
    ...               weighted_services=(), regions=frozenset('x'))
    >>> [shared_regions(route, Customer(name='c', regions=frozenset(names)))
    ...  for names in ('', 'xy', 'y')]
    [frozenset({'x'}), frozenset({'x'}), None]
    """
    if customer is None:
        return route.regions
    common = common_regions(route.regions, customer.regions)
    return None if common == NO_REGION else common


@attrs.frozen
class KeyGate:
    """Check keys against the configuration in force and its age."""

    view: View
    age: ConfigurationAge

    def identify(
        self, metadata: RequestMetadata, route: Route, arrived_s: float
    ) -> Identity:
        """Return the identity of a request that arrived at a time."""
        cfg = self.view.configuration
        if cfg is None:
            return _UNCHECKED
        # The route may have changed since the request was admitted.
        route = cfg.routes.get(route.name, route)
        fresh = self.age.is_fresh(arrived_s)
        return check_key(metadata, route, cfg, fresh=fresh)

    @property
    def active(self) -> bool:
        """Return whether the age of the configuration matters."""
        cfg = self.view.configuration
        if cfg is None or cfg.customers is None:
            return False
        return self.age.limit_s is not None
