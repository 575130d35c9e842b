"""Decide which backend server serves a request, and when."""

from .admission import Admission, Demand
from .endpoint import Endpoint
from .pool import Pool

__all__ = ('Admission', 'Demand', 'Endpoint', 'Pool')
