"""Parsing of a document that holds keys, which no error may quote."""

import json
import math
from collections import Counter
from typing import Any, Final

from .fields import malformed

_INFINITE: Final = frozenset((math.inf, -math.inf))


class _UnreadableNumber:
    """Stand for a number that JSON has no room for, as no number at all.

    Only the entry that holds it is rejected.
    """


class Table(dict[str, Any]):
    """Hold an object in which ``repeated`` names stand more than once."""

    repeated: frozenset[str] = frozenset()


def _make_table(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Keep the last value of each name, as JSON parsers usually do."""
    plain = dict(pairs)
    if len(plain) == len(pairs):
        return plain
    table = Table(plain)
    counts = Counter(name for name, _ in pairs)
    table.repeated = frozenset(
        name for name, count in counts.items() if count > 1
    )
    return table


def parse_secret_object(raw: bytes) -> dict[str, Any]:
    """Parse a JSON object; an error tells where it is, not what is there."""
    try:
        document = json.loads(
            raw,
            parse_constant=_reject,
            parse_float=_parse_float,
            object_pairs_hook=_make_table,
        )
    except json.JSONDecodeError as exc:
        raise malformed('invalid JSON at', exc.pos) from None
    except (ValueError, RecursionError) as exc:
        raise malformed('invalid JSON', type(exc).__name__) from None
    if not isinstance(document, dict):
        raise malformed('not a JSON object', type(document).__name__)
    return document


def _reject(_text: str) -> _UnreadableNumber:
    return _UnreadableNumber()


def _parse_float(text: str) -> float | _UnreadableNumber:
    number = float(text)
    return _UnreadableNumber() if number in _INFINITE else number
