"""At-most-once execution of requests by idempotency key."""

from .keys import IdempotencyKey, format_prefix, parse_key
from .register import ClaimRegister
from .table import ClaimTable, Decision

__all__ = (
    'ClaimTable',
    'Decision',
    'IdempotencyKey',
    'ClaimRegister',
    'format_prefix',
    'parse_key',
)
