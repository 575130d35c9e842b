"""Control state, computed by applying the platform's append-only log."""

from .fold import ControlState, fold_record
from .objects import Backend, Customer, Limit, Rule, Service
from .tickets import Ticket, parse_ticket

__all__ = (
    'Backend',
    'ControlState',
    'Customer',
    'Limit',
    'Rule',
    'Service',
    'Ticket',
    'fold_record',
    'parse_ticket',
)
