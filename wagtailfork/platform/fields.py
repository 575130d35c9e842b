"""Checked fields of the documents in the store."""

import reprlib
from typing import Any, Final

from ..core.errors import WagtailforkError
from ..core.results import ResultCode

_MAX_ERROR_CHARS: Final = 120
# A larger number cannot be a count, a time or a size.
MAX_NUMBER: Final = 1000000000000000

BRIEF: Final = reprlib.Repr()  # bounds depth and size of what it renders
BRIEF.maxother = _MAX_ERROR_CHARS
BRIEF.maxstring = _MAX_ERROR_CHARS


def malformed(what: str, found: Any) -> WagtailforkError:
    """Return the error for a field or a document."""
    return WagtailforkError(
        ResultCode.record_malformed,
        f'{what}: {BRIEF.repr(found)}'[:_MAX_ERROR_CHARS],
    )


def require_text(fields: dict[str, Any], key: str) -> str:
    """Return a text that can be printed."""
    found = fields.get(key)
    if not isinstance(found, str) or not found or not found.isprintable():
        raise malformed(key, found)
    return found


def require_number(
    fields: dict[str, Any], key: str, maximum: int = MAX_NUMBER
) -> int:
    """Return a number as an integer, from 0 to ``maximum``."""
    found = fields.get(key)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise malformed(key, found)
    if not 0 <= found <= maximum:
        raise malformed(key, found)
    return int(found)


def require_whole(fields: dict[str, Any], key: str) -> int:
    """Return a whole number."""
    found = fields.get(key)
    if isinstance(found, float) and not found.is_integer():
        raise malformed(key, found)
    return require_number(fields, key)


def optional_number(fields: dict[str, Any], key: str) -> int:
    """Return a number, 0 if it is missing or null."""
    if fields.get(key) is None:
        return 0
    return require_number(fields, key)


def optional_rate(fields: dict[str, Any], key: str) -> float:
    """Return a number that need not be whole, 0 if missing or null."""
    found = fields.get(key)
    if found is None:
        return 0
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise malformed(key, found)
    if not 0 <= found <= MAX_NUMBER:
        raise malformed(key, found)
    return float(found)


def is_target(text: str) -> bool:
    """Return whether a text can be the target of a request."""
    return text.startswith('/') and is_header_text(text) and ' ' not in text


def is_header_text(text: str) -> bool:
    """Return whether a text can stand in the head of a request."""
    return bool(text) and text.isascii() and text.isprintable()


def read_regions(fields: dict[str, Any]) -> frozenset[str]:
    """Return the regions that may serve, empty if all may."""
    regions = fields.get('allowedRegions')
    if regions is None:
        return frozenset()
    if not isinstance(regions, list):
        raise malformed('allowedRegions', regions)
    return frozenset(
        require_text({'allowedRegions': each}, 'allowedRegions')
        for each in regions
    )
