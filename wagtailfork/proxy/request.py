"""Parsing and validation of caller requests."""

import functools
import secrets
import time
from collections.abc import AsyncIterator
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..routing.fingerprints import fingerprint_of
from . import headers as hdrs

BUFFERED_BODY_BYTES: Final = 65536
MAX_FIELD_BYTES: Final = 256
MAX_DEADLINE_MS: Final = 24 * 60 * 60 * 1000


@attrs.frozen(kw_only=True)
class Body:
    """Hold the buffered start of a request body and a stream of the rest."""

    buffered: bytes = b''
    remainder: AsyncIterator[bytes] | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body is buffered and can be sent again."""
        return self.remainder is None


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Hold a parsed request as the dispatcher uses it."""

    service: str
    customer: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    request_id: str
    raw_key: str
    deadline: float  # monotonic time in seconds
    has_caller_deadline: bool
    body: Body

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return a digest of customer, service, method, target and body.

        Of a streamed body it covers the content length and buffered part.
        """
        size = dict(self.headers).get('content-length')
        return fingerprint_of(
            self.customer,
            self.service.encode(),
            self.method.encode(),
            self.target.encode(),
            size=None if size is None else size.encode(),
            body=(self.body.buffered,),
        )


@attrs.frozen(kw_only=True)
class RequestHead:
    """Hold a request's method, path, query and headers from ASGI."""

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]


def parse_request_head(
    head: RequestHead,
    default_deadline_s: float,
) -> CallerRequest:
    """Parse a request head; its body is left empty.

    Raise ``bad_header`` or ``unknown_service`` for an invalid head.

    >>> head = RequestHead(method='GET', path='/s/stockd/a', query='',
    ...     headers=[('wagtailfork-customer', 'kiosk')])
    >>> req = parse_request_head(head, 1)
    >>> (req.service, req.customer, req.target)
    ('stockd', 'kiosk', '/a')
    """
    by_name = dict(head.headers)
    service, target = _split_path(head)
    raw_deadline = _header_value(by_name, hdrs.DEADLINE_MS)
    timeout_s = _parse_deadline(raw_deadline, default_deadline_s)
    return CallerRequest(
        service=service,
        customer=_header_value(by_name, hdrs.CUSTOMER),
        method=head.method,
        target=target,
        headers=head.headers,
        request_id=_header_value(by_name, hdrs.REQUEST_ID)
        or secrets.token_hex(8),
        raw_key=_header_value(by_name, hdrs.IDEMPOTENCY_KEY),
        deadline=time.monotonic() + timeout_s,
        has_caller_deadline=bool(raw_deadline),
        body=Body(),
    )


def _split_path(head: RequestHead) -> tuple[str, str]:
    parts = head.path.split('/', 3)
    if len(parts) < 3 or parts[1] != 's' or not parts[2]:
        raise WagtailforkError(
            ResultCode.unknown_service, head.path[:MAX_FIELD_BYTES]
        )
    target = f'/{parts[3]}' if len(parts) > 3 else '/'
    if head.query:
        target = f'{target}?{head.query}'
    return parts[2], target


def _header_value(by_name: dict[str, str], name: str) -> str:
    value = by_name.get(name, '')
    if len(value) > MAX_FIELD_BYTES:
        raise WagtailforkError(ResultCode.bad_header, f'{name} too long')
    return value


def _parse_deadline(value: str, default_s: float) -> float:
    if not value:
        return default_s
    if not value.isdecimal() or not 0 < int(value) <= MAX_DEADLINE_MS:
        raise WagtailforkError(
            ResultCode.bad_header,
            f'{hdrs.DEADLINE_MS}: {value}',
        )
    return int(value) / 1000
