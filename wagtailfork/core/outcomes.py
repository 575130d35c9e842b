"""The outcomes of a request: whether it ran, did not run, or is unknown."""

import dataclasses
from typing import Final

from .errors import WagtailforkError
from .results import ResultCode, result_class


@dataclasses.dataclass(frozen=True)
class Ran:
    """Mark a request that ran once, with or without its response."""

    code: ResultCode = ResultCode.ok
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Mark a request that did not run and never will."""

    code: ResultCode
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Mark a request that may or may not have run."""

    code: ResultCode
    detail: str = ''


Outcome = Ran | NotRun | Unknown

_BY_CLASS: Final[dict[str, type[Ran | NotRun | Unknown]]] = {
    'ran': Ran,
    'not-run': NotRun,
}


def outcome_of(exc: BaseException) -> Outcome:
    """Return the outcome of a request whose exchange failed.

    >>> outcome_of(WagtailforkError(ResultCode.overloaded, 'stockd'))
    NotRun(code=<ResultCode.overloaded: 2001>, detail='stockd')
    >>> outcome_of(ValueError('x'))
    Unknown(code=<ResultCode.internal_error: 4008>, detail="ValueError('x')")
    """
    if not isinstance(exc, WagtailforkError):
        return Unknown(ResultCode.internal_error, repr(exc))
    outcome_type = _BY_CLASS.get(result_class(exc.code), Unknown)
    return outcome_type(exc.code, exc.detail)
