"""Wire form of the evacuated failure domains in a snapshot."""

import logging
from typing import Any, Final

import attrs

from ..core.logs import log_warning
from .position import NO_POSITION, Position
from .wire_values import as_count, as_text

_ROW_ERRORS: Final = (IndexError, TypeError, ValueError)
_MAX_ERROR_CHARS: Final = 99  # of a decoder error

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class EvacuationRows:
    """Hold the evacuated domains as of a position in the store.

    ``held`` names domains that a restored store lacks, with the milliseconds
    for which they still count as evacuated.
    """

    position: Position = NO_POSITION
    listed: tuple[str, ...] = ()
    held: tuple[tuple[str, int], ...] = ()


def render_evacuations(rows: EvacuationRows) -> list[Any]:
    """Return the wire form."""
    position = rows.position
    return [position.era, position.offset, rows.listed, rows.held]


def parse_evacuations(parts: Any) -> EvacuationRows | None:
    """Parse the wire form; return None if it is missing or malformed.

    >>> rows = EvacuationRows(
    ...     position=Position(1, 4), listed=('a',), held=(('b', 50),))
    >>> parse_evacuations(render_evacuations(rows)) == rows
    True
    >>> parse_evacuations([1, -4, [], []])
    """
    if parts is None:
        return None
    try:
        return EvacuationRows(
            position=Position(as_count(parts[0]), as_count(parts[1])),
            listed=tuple(as_text(name) for name in parts[2]),
            held=tuple(
                (as_text(name), as_count(left_ms)) for name, left_ms in parts[3]
            ),
        )
    except _ROW_ERRORS as exc:
        error = repr(exc)[:_MAX_ERROR_CHARS]
        log_warning(_logger, 'evacuations_unreadable', error=error)
        return None
