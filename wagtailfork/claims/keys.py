"""Idempotency keys: a prefix from the directory and a caller's suffix."""

import re
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode

_KEY: Final = re.compile(
    r'^wf1\.([0-9a-f]{12}-[0-9]{1,9})\.([0-9]{1,9})\.([A-Za-z0-9_-]{1,64})$',
)

_MAX_SHOWN: Final = 99  # characters of a malformed key in an error


@attrs.frozen
class IdempotencyKey:
    """Hold the key range, the time slot of issue and the suffix of a key."""

    range_id: str
    slot: int
    suffix: str


def format_prefix(range_id: str, slot: int) -> str:
    """Return the prefix to which a caller appends its own suffix.

    >>> format_prefix('00000000000a-1', 7)
    'wf1.00000000000a-1.7.'
    """
    return f'wf1.{range_id}.{slot}.'


def parse_key(text: str) -> IdempotencyKey:
    """Parse a key or raise ``key_malformed``.

    >>> parse_key('wf1.00000000000a-1.7.order-9').suffix
    'order-9'
    """
    match = _KEY.match(text)
    if match is None:
        raise WagtailforkError(ResultCode.key_malformed, text[:_MAX_SHOWN])
    range_id, slot, suffix = match.groups()
    return IdempotencyKey(range_id, int(slot), suffix)
