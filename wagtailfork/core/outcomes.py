"""The tagged outcomes of one request: what its caller may conclude."""

import dataclasses
from typing import Final

from .errors import WagtailforkError
from .results import ResultCode, result_class


@dataclasses.dataclass(frozen=True)
class Ran:
    """Report that the request ran once, with its answer or without."""

    code: ResultCode = ResultCode.ok
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Report that the request did not run and never will."""

    code: ResultCode
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Report that nobody here can say whether the request ran."""

    code: ResultCode
    detail: str = ''


Outcome = Ran | NotRun | Unknown

_BY_CLASS: Final[dict[str, type[Ran | NotRun | Unknown]]] = {
    'ran': Ran,
    'not-run': NotRun,
}


def outcome_of(exc: BaseException) -> Outcome:
    """Tell what a failed exchange means for its request.

    >>> outcome_of(WagtailforkError(ResultCode.overloaded, 'stockd'))
    NotRun(code=<ResultCode.overloaded: 2001>, detail='stockd')
    >>> outcome_of(ValueError('x'))
    Unknown(code=<ResultCode.internal_error: 4008>, detail="ValueError('x')")
    """
    if not isinstance(exc, WagtailforkError):
        return Unknown(ResultCode.internal_error, repr(exc))
    tag = _BY_CLASS.get(result_class(exc.code), Unknown)
    return tag(exc.code, exc.detail)
