"""At most once for requests that must not be repeated."""

from .keys import IdempotencyKey, format_prefix, parse_key
from .register import Register
from .table import ClaimTable, Decision

__all__ = (
    'ClaimTable',
    'Decision',
    'IdempotencyKey',
    'Register',
    'format_prefix',
    'parse_key',
)
