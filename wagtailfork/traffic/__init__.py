"""Whose traffic went where, summed and reported."""

from .ledger import Ledger, TrafficRow
from .report import read_report

__all__ = ('Ledger', 'TrafficRow', 'read_report')
