"""Numbered result codes, their classes and HTTP statuses."""

import enum
from typing import Final

HTTP_OK: Final = 200


class ResultCode(enum.IntEnum):
    """List every numbered result; docs/RESULT-CODES.md explains each."""

    ok = 1000

    overloaded = 2001
    deadline_passed = 2002
    no_backend = 2003
    backend_shed = 2004
    forbidden = 2005
    unknown_service = 2006
    unknown_customer = 2007
    key_missing = 2008
    key_malformed = 2009
    key_conflict = 2010
    quarantined = 2011
    bad_header = 2012
    key_closed = 2013
    rate_limited = 2014
    customer_key_missing = 2015
    customer_key_unknown = 2016
    customer_key_repeated = 2017
    no_common_region = 2018
    configuration_stale = 2019

    replayed = 3001
    ran_answer_not_kept = 3002

    range_unreachable = 4001
    connection_lost = 4002
    in_progress = 4004
    key_expired = 4005
    backend_silent = 4006
    not_serving = 4007
    internal_error = 4008

    ticket_malformed = 5001
    ticket_stale = 5002
    ticket_conflict = 5003
    ticket_dangling = 5004
    log_unavailable = 5005
    record_malformed = 5006
    view_conflict = 5007
    log_gap = 5008
    bad_request = 5009
    body_too_large = 5010

    settings_unreadable = 6001
    settings_invalid = 6002
    address_in_use = 6003
    service_unreachable = 6004
    log_unreadable = 6005

    frame_malformed = 7001
    frame_unknown_type = 7002
    wrong_incarnation = 7003
    stale_view = 7004


_CLASS_BY_THOUSAND: Final = {
    1: 'ran',
    2: 'not-run',
    3: 'ran',
    4: 'unknown',
    5: 'control',
    6: 'settings',
    7: 'peer',
}

_HTTP_STATUS: Final = {
    ResultCode.ok: HTTP_OK,
    ResultCode.overloaded: 503,
    ResultCode.deadline_passed: 504,
    ResultCode.no_backend: 503,
    ResultCode.backend_shed: 503,
    ResultCode.forbidden: 403,
    ResultCode.unknown_service: 404,
    ResultCode.unknown_customer: 403,
    ResultCode.key_missing: 400,
    ResultCode.key_malformed: 400,
    ResultCode.key_conflict: 422,
    ResultCode.quarantined: 422,
    ResultCode.bad_header: 400,
    ResultCode.key_closed: 409,
    ResultCode.not_serving: 503,
    ResultCode.rate_limited: 429,
    ResultCode.customer_key_missing: 401,
    ResultCode.customer_key_unknown: 401,
    ResultCode.customer_key_repeated: 400,
    ResultCode.no_common_region: 503,
    ResultCode.configuration_stale: 503,
    ResultCode.body_too_large: 413,
    ResultCode.replayed: HTTP_OK,
    ResultCode.ran_answer_not_kept: 409,
    ResultCode.range_unreachable: 502,
    ResultCode.connection_lost: 502,
    ResultCode.in_progress: 409,
    ResultCode.key_expired: 409,
    ResultCode.backend_silent: 504,
    ResultCode.ticket_malformed: 400,
    ResultCode.ticket_stale: 409,
    ResultCode.ticket_conflict: 409,
    ResultCode.ticket_dangling: 409,
    ResultCode.log_unavailable: 503,
    ResultCode.bad_request: 400,
    ResultCode.frame_malformed: 400,
}

_INTERNAL_ERROR: Final = 500


def result_class(code: ResultCode) -> str:
    """Return the class of a result code.

    >>> result_class(ResultCode.overloaded)
    'not-run'
    >>> result_class(ResultCode.in_progress)
    'unknown'
    """
    return _CLASS_BY_THOUSAND[code // 1000]


def http_status(code: ResultCode) -> int:
    """Return the HTTP status for a result code.

    >>> http_status(ResultCode.rate_limited)
    429
    """
    return _HTTP_STATUS.get(code, _INTERNAL_ERROR)
