"""Decoded configuration and backend server entries."""

from collections.abc import Mapping

import attrs

from ..http1.request import Limits
from ..routing.customers import KeyTable
from ..routing.routes import Route, RouteTable, ServiceRule


@attrs.frozen(kw_only=True)
class Configuration:
    """Represent one version of the configuration."""

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, ServiceRule]
    limits: Limits
    table: RouteTable
    # None if requests need no key.
    customers: KeyTable | None = None


@attrs.frozen(kw_only=True)
class BackendServer:
    """Represent the entry with which a backend server is registered."""

    name: str
    started_ms: int  # distinguishes two processes of the same name
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warm_up_s: float = 0
    # Counts the statements of one process; not part of the state of a server.
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def age_order(self) -> tuple[int, int]:
        """Return a key that orders the statements of a server by age."""
        return self.started_ms, self.sequence
