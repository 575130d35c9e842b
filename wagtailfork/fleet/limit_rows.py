"""Limits of backend servers in messages between entry VMs."""

from typing import Any, Final

import attrs

from ..routing.server_limit import NO_LIMIT, ServerLimit

_MS: Final = 1000
_SCALE: Final = 1000  # figures are requests in so many seconds
_UNLIMITED: Final = -1


@attrs.frozen
class LimitRow:
    """Hold what a response told, with its age as the clocks of VMs differ."""

    requests_per_s: float
    age_ms: int


def make_limit_row(limit: ServerLimit, now: float) -> LimitRow | None:
    """Return the row of a limit, None if the server never named one.

    >>> make_limit_row(ServerLimit(), now=1.0) is None
    True
    """
    if not limit.was_named:
        return None
    age_ms = round((now - limit.told_at_s) * _MS)
    return LimitRow(limit.requests_per_s, age_ms)


def render_limit_row(row: LimitRow | None) -> list[Any]:
    """Return the wire form of a row.

    >>> parse_limit_row(render_limit_row(LimitRow(2.5, 30)))
    LimitRow(requests_per_s=2.5, age_ms=30)
    >>> parse_limit_row(render_limit_row(LimitRow(NO_LIMIT, 30)))
    LimitRow(requests_per_s=inf, age_ms=30)
    """
    if row is None:
        return []
    if row.requests_per_s == NO_LIMIT:
        return [_UNLIMITED, row.age_ms]
    return [round(row.requests_per_s * _SCALE), row.age_ms]


def parse_limit_row(row: list[Any]) -> LimitRow | None:
    """Parse the wire form of a row."""
    if not row:
        return None
    figure, age_ms = (int(part) for part in row)
    limit = NO_LIMIT if figure < 0 else figure / _SCALE
    return LimitRow(limit, max(0, age_ms))
