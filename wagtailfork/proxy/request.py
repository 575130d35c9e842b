"""A caller's request, parsed and checked."""

import functools
import hashlib
import secrets
import time
from collections.abc import AsyncIterator
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from . import headers as names

BUFFERED_BODY_BYTES: Final = 65536
MAX_FIELD_BYTES: Final = 256
MAX_DEADLINE_MS: Final = 24 * 60 * 60 * 1000
_DIGEST_BYTES: Final = 16


@attrs.frozen(kw_only=True)
class Body:
    """Hold a request's body: its first part, and the rest if it is longer."""

    first: bytes = b''
    rest: AsyncIterator[bytes] | None = None

    @property
    def is_whole(self) -> bool:
        """Tell whether the body is held whole and can be sent again."""
        return self.rest is None


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Hold what the dispatcher needs to know of a request."""

    service: str
    customer: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    request_id: str
    key_text: str
    deadline: float  # monotonic, seconds
    deadline_given: bool
    body: Body

    @functools.cached_property
    def fingerprint(self) -> str:
        """Name requests alike in customer, target and first body part."""
        hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for part in (self.customer, self.service, self.method, self.target):
            hashed.update(part.encode())
            hashed.update(b'\0')
        for name, text in self.headers:
            if name == 'content-length':
                hashed.update(text.encode())
        hashed.update(b'\0')
        hashed.update(self.body.first)
        return hashed.hexdigest()


@attrs.frozen(kw_only=True)
class Head:
    """Hold a request's head as the server gave it."""

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]


def parse_head(head: Head, default_deadline_s: float) -> CallerRequest:
    """Parse a head or raise ``bad_header`` or ``unknown_service``.

    >>> head = Head(method='GET', path='/s/stockd/a', query='',
    ...     headers=[('wagtailfork-customer', 'kiosk')])
    >>> req = parse_head(head, 1)
    >>> (req.service, req.customer, req.target)
    ('stockd', 'kiosk', '/a')
    """
    found = dict(head.headers)
    service, target = _split_path(head)
    deadline_text = _field(found, names.DEADLINE_MS)
    limit_s = _parse_deadline(deadline_text, default_deadline_s)
    return CallerRequest(
        service=service,
        customer=_field(found, names.CUSTOMER),
        method=head.method,
        target=target,
        headers=head.headers,
        request_id=_field(found, names.REQUEST_ID) or secrets.token_hex(8),
        key_text=_field(found, names.KEY),
        deadline=time.monotonic() + limit_s,
        deadline_given=bool(deadline_text),
        body=Body(),
    )


def _split_path(head: Head) -> tuple[str, str]:
    parts = head.path.split('/', 3)
    if len(parts) < 3 or parts[1] != 's' or not parts[2]:
        raise WagtailforkError(
            ResultCode.unknown_service, head.path[:MAX_FIELD_BYTES]
        )
    target = f'/{parts[3]}' if len(parts) > 3 else '/'
    if head.query:
        target = f'{target}?{head.query}'
    return parts[2], target


def _field(found: dict[str, str], name: str) -> str:
    text = found.get(name, '')
    if len(text) > MAX_FIELD_BYTES:
        raise WagtailforkError(ResultCode.bad_header, f'{name} too long')
    return text


def _parse_deadline(text: str, default_s: float) -> float:
    if not text:
        return default_s
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise WagtailforkError(
            ResultCode.bad_header,
            f'{names.DEADLINE_MS}: {text}',
        )
    return int(text) / 1000
