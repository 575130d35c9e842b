"""Messages between the lender of shared rates and its borrowers.

One datagram carries the rows of several rates, as many as fit it.
"""

from typing import Any, Final

import attrs

from ..routing.shared_rate import DrawRow, GrantRow
from .wire_values import as_address, as_count, as_name, as_number

MAX_ROWS: Final = 64  # of one datagram; a row takes 24 bytes and a name
_DRAW_KIND: Final = 10
_GRANT_KIND: Final = 11
_SCALE: Final = 1000  # figures are sent in thousandths


@attrs.frozen
class TokenDraw:
    """Request tokens; a repeated message has the same number and rows."""

    sender: str
    number: int
    rows: list[DrawRow]


@attrs.frozen
class TokenGrant:
    """Grant the tokens of the draw of that number."""

    number: int
    rows: list[GrantRow]


TokenMessage = TokenDraw | TokenGrant


def render_tokens(message: TokenMessage) -> list[Any]:
    """Return the wire form of a message, its kind first."""
    if isinstance(message, TokenGrant):
        grants = [
            [
                row.name,
                _scaled(row.granted),
                _scaled(row.lease),
                _scaled(row.room),
            ]
            for row in message.rows
        ]
        return [_GRANT_KIND, message.number, *grants]
    draws = [
        [
            row.name,
            _scaled(row.stock),
            _scaled(row.wanted),
            _scaled(row.demand),
            _scaled(row.lease),
        ]
        for row in message.rows
    ]
    return [_DRAW_KIND, message.sender, message.number, *draws]


def _scaled(figure: float) -> int:
    # Rounding down lends no more than the bucket lost.
    return int(figure * _SCALE)


def _parse_draw(parts: list[Any]) -> TokenDraw:
    sender, number, *rows = parts
    return TokenDraw(
        as_address(sender),
        as_number(number),
        [_parse_draw_row(*row) for row in rows[:MAX_ROWS]],
    )


def _parse_draw_row(name: Any, *figures: Any) -> DrawRow:
    stock, wanted, demand, lease = (as_number(figure) for figure in figures)
    return DrawRow(
        name=as_name(name),
        stock=stock / _SCALE,
        wanted=wanted / _SCALE,
        demand=as_count(demand) / _SCALE,
        lease=as_count(lease) / _SCALE,
    )


def _parse_grant(parts: list[Any]) -> TokenGrant:
    number, *rows = parts
    return TokenGrant(
        as_number(number), [_parse_grant_row(*row) for row in rows[:MAX_ROWS]]
    )


def _parse_grant_row(name: Any, *figures: Any) -> GrantRow:
    granted, lease, room = (as_count(figure) / _SCALE for figure in figures)
    return GrantRow(name=as_name(name), granted=granted, lease=lease, room=room)


TOKEN_PARSERS: Final[dict[int, Any]] = {
    _DRAW_KIND: _parse_draw,
    _GRANT_KIND: _parse_grant,
}
