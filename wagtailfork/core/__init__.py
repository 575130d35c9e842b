"""Concepts shared by every role: results, settings, logs, supervision."""

from .errors import WagtailforkError
from .results import NotRun, Outcome, Ran, ResultCode, Unknown

__all__ = (
    'NotRun',
    'Outcome',
    'Ran',
    'ResultCode',
    'Unknown',
    'WagtailforkError',
)
