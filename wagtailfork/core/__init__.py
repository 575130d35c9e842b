"""Code shared by all roles: results, settings, logging and supervision."""

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
