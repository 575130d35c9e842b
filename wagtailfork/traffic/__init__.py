"""Traffic accounting by customer, service and backend server."""

from .ledger import Ledger, TrafficRow
from .report import TimeRange, rank_rows

__all__ = ('Ledger', 'TimeRange', 'TrafficRow', 'rank_rows')
