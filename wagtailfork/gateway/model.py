"""What a gateway believes: its configuration and the backend servers."""

from collections.abc import Mapping

import attrs

from ..http1.request import Limits
from ..routing.routes import Route, RouteTable, ServiceRule


@attrs.frozen(kw_only=True)
class Configuration:
    """Hold one whole version of the configuration."""

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, ServiceRule]
    limits: Limits
    table: RouteTable


@attrs.frozen(kw_only=True)
class BackendServer:
    """Hold what a backend server says of itself."""

    name: str
    born_ms: int  # tells two lives under one name apart
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warm_up_s: float = 0
