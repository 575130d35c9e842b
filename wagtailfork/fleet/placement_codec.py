"""Wire form of the messages between a VM and a coordinator."""

from functools import singledispatch
from typing import Any, Final

from .limit_rows import parse_limit_row, render_limit_row
from .load_rows import LOAD_ROW_SIZE, parse_load_row, render_load_row
from .placement_messages import (
    Outcome,
    Placed,
    PlacementDeclined,
    PlacementEnded,
    PlacementMessage,
    PlacementQueued,
    PlacementRequest,
)
from .wire_values import as_address, as_number, as_text

_US_PER_MS: Final = 1000
_REQUEST_KIND: Final = 5
_PLACED_KIND: Final = 6
_QUEUED_KIND: Final = 7
_DECLINED_KIND: Final = 8
_ENDED_KIND: Final = 9
_FIGURES: Final = slice(3, 9)  # integer fields of a request
# Ends the row of a request that did not run; the rows before it hold numbers.
_NOT_RUN: Final = True
_CUSTOMER_INDEX: Final = 11  # of the fields that not every request has


@singledispatch
def render_placement(message: PlacementMessage) -> list[Any]:
    """Return the wire form of a message, its kind first."""
    raise TypeError(f'no wire form of {type(message).__name__}')


@render_placement.register
def _(message: PlacementRequest) -> list[Any]:
    row = [
        _REQUEST_KIND,
        message.sender,
        message.number,
        message.service,
        message.rank,
        message.age_ms,
        message.objective_ms,
        message.deadline_ms,
        round(message.service_ms * _US_PER_MS),
        message.kilobytes,
        message.excluded,
        message.connected,
    ]
    if message.customer or message.regions:
        row.extend((message.customer, message.regions))
    return row


@render_placement.register
def _(message: Placed) -> list[Any]:
    row = [_PLACED_KIND, message.number, message.server]
    if message.coordinator:
        row.append(message.coordinator)
    return row


@render_placement.register
def _(message: PlacementQueued) -> list[Any]:
    return [_QUEUED_KIND, message.number, message.waiting]


@render_placement.register
def _(message: PlacementDeclined) -> list[Any]:
    return [
        _DECLINED_KIND,
        message.number,
        message.reason,
        message.retry_after_ms,
    ]


@render_placement.register
def _(message: PlacementEnded) -> list[Any]:
    row = [] if message.load is None else render_load_row(message.load)
    return [
        _ENDED_KIND,
        message.sender,
        message.number,
        int(message.outcome),
        *row,
        *render_limit_row(message.limit),
        *([_NOT_RUN] if message.not_run else ()),
    ]


def _parse_request(parts: list[Any]) -> PlacementRequest:
    figures = [as_number(part) for part in parts[_FIGURES]]
    required, optional = parts[:_CUSTOMER_INDEX], parts[_CUSTOMER_INDEX:]
    customer, regions = optional or ('', [])
    return PlacementRequest(
        sender=as_address(parts[0]),
        number=as_number(parts[1]),
        service=as_text(parts[2]),
        rank=figures[0],
        age_ms=figures[1],
        objective_ms=figures[2],
        deadline_ms=figures[3],
        service_ms=figures[4] / _US_PER_MS,
        kilobytes=figures[5],
        excluded=_texts(required[-2]),
        connected=_texts(required[-1]),
        customer=as_text(customer),
        regions=_texts(regions),
    )


def _parse_placed(parts: list[Any]) -> Placed:
    number, server, *coordinator = parts
    return Placed(
        as_number(number),
        as_text(server),
        as_address(coordinator[0]) if coordinator else '',
    )


def _parse_queued(parts: list[Any]) -> PlacementQueued:
    return PlacementQueued(as_number(parts[0]), as_number(parts[1]))


def _parse_declined(parts: list[Any]) -> PlacementDeclined:
    return PlacementDeclined(
        as_number(parts[0]), as_text(parts[1]), as_number(parts[2])
    )


def _parse_ended(parts: list[Any]) -> PlacementEnded:
    sender, number, outcome, *row = parts
    not_run = bool(row) and row[-1] is _NOT_RUN
    if not_run:
        row.pop()
    has_load = len(row) >= LOAD_ROW_SIZE
    load_row = row[:LOAD_ROW_SIZE] if has_load else []
    return PlacementEnded(
        sender=as_address(sender),
        number=as_number(number),
        outcome=Outcome(outcome),
        load=parse_load_row(load_row) if load_row else None,
        limit=parse_limit_row(row[len(load_row) :]),
        not_run=not_run,
    )


def _texts(fields: Any) -> tuple[str, ...]:
    if not isinstance(fields, list):
        raise TypeError(f'{fields!r} is not a list')
    return tuple(as_text(field) for field in fields)


PLACEMENT_PARSERS: Final[dict[int, Any]] = {
    _REQUEST_KIND: _parse_request,
    _PLACED_KIND: _parse_placed,
    _QUEUED_KIND: _parse_queued,
    _DECLINED_KIND: _parse_declined,
    _ENDED_KIND: _parse_ended,
}
