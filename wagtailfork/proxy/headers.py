"""HTTP header names and header filters of the proxy."""

from collections.abc import Iterable
from typing import Final

CUSTOMER: Final = 'wagtailfork-customer'
IDEMPOTENCY_KEY: Final = 'idempotency-key'
DEADLINE_MS: Final = 'wagtailfork-deadline-ms'
REQUEST_ID: Final = 'x-request-id'
RESULT: Final = 'wagtailfork-result'
BACKEND: Final = 'wagtailfork-backend'
SHED: Final = 'wagtailfork-shed'
DRAINING: Final = 'wagtailfork-draining'

_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_DROPPED_FROM_REQUEST: Final = _HOP_BY_HOP | {'host', 'expect', DEADLINE_MS}
_DROPPED_FROM_RESPONSE: Final = _HOP_BY_HOP | {REQUEST_ID, RESULT, BACKEND}

_SEPARATOR_BYTES: Final = 4  # colon, space and CRLF of one header line

HeaderPairs = Iterable[tuple[str, str]]


def filter_request_headers(headers: HeaderPairs) -> list[tuple[str, str]]:
    """Return the request headers to forward to a backend server.

    >>> filter_request_headers(
    ...     [('host', 'x'), ('accept', '*/*'), ('te', 'trailers')],
    ... )
    [('accept', '*/*')]
    """
    dropped = _connection_options(headers) | _DROPPED_FROM_REQUEST
    return [pair for pair in headers if pair[0].lower() not in dropped]


def filter_response_headers(headers: HeaderPairs) -> list[tuple[str, str]]:
    """Return the response headers to forward to the caller."""
    dropped = _connection_options(headers) | _DROPPED_FROM_RESPONSE
    return [pair for pair in headers if pair[0].lower() not in dropped]


def header_bytes(headers: HeaderPairs) -> int:
    """Return the size of headers in HTTP/1.1 wire format.

    >>> header_bytes([('accept', '*/*')])
    13
    """
    return sum(
        len(name) + len(value) + _SEPARATOR_BYTES for name, value in headers
    )


def _connection_options(headers: HeaderPairs) -> set[str]:
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == 'connection':
            named.update(part.strip().lower() for part in value.split(','))
    return named
