"""Concepts shared by every role: results, settings, logs, supervision."""

from .errors import WagtailforkError
from .outcomes import NotRun, Outcome, Ran, Unknown
from .results import ResultCode

__all__ = (
    'NotRun',
    'Outcome',
    'Ran',
    'ResultCode',
    'Unknown',
    'WagtailforkError',
)
