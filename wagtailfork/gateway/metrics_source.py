"""Interface of a gateway to its metrics page."""

from typing import Protocol

from ..core.event_log import EventLog
from ..core.settings import GatewaySettings
from ..fleet.members import Membership
from ..http1.pool import ConnectionPool
from ..routing.allowance import Allowances
from .adapter import Source
from .backend_registry import BackendRegistry
from .fleet_link import FleetLink
from .freshness import ConfigurationAge
from .meters import Meters
from .prober import Prober
from .view import View


class MetricsSource(Protocol):
    """Declare the parts of a gateway that the metrics page reads."""

    cfg: GatewaySettings
    meters: Meters
    allowances: Allowances
    membership: Membership
    view: View
    backends: BackendRegistry
    pool: ConnectionPool
    prober: Prober
    link: FleetLink
    log: EventLog
    source: Source
    age: ConfigurationAge
