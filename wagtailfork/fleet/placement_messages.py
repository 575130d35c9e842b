"""Messages between a VM and the coordinator of a service.

The coordinator places the requests of all VMs of its failure domain. A VM
numbers its placements; the number and the VM's address identify one.
"""

import enum
from typing import Any, Final

import attrs

from .load_rows import LoadRow, parse_load_row, render_load_row

_US_PER_MS: Final = 1000


class Outcome(enum.IntEnum):
    """How the use of a placement ended, for the server's error share."""

    unknown = 0  # not sent, or cancelled
    succeeded = 1
    failed = 2
    unreachable = 3


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """Request a server for one request; times are relative to the sending.

    A repeated message asks whether the coordinator still has the request.
    """

    sender: str
    number: int
    service: str
    rank: int
    age_ms: int
    objective_ms: int
    deadline_ms: int
    service_ms: float
    kilobytes: int
    excluded: tuple[str, ...] = ()


@attrs.frozen
class Placed:
    """Grant a slot of a server."""

    number: int
    server: str


@attrs.frozen
class PlacementQueued:
    """Report that a request waits for a slot."""

    number: int


@attrs.frozen
class PlacementDeclined:
    """Report that no server can answer in time."""

    number: int
    reason: str
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class PlacementEnded:
    """Return a slot with the newest load of its server, or stop waiting."""

    sender: str
    number: int
    outcome: Outcome = Outcome.unknown
    load: LoadRow | None = None


def render_request(message: PlacementRequest) -> list[Any]:
    """Return the wire form of a placement request."""
    return [
        message.sender,
        message.number,
        message.service,
        message.rank,
        message.age_ms,
        message.objective_ms,
        message.deadline_ms,
        round(message.service_ms * _US_PER_MS),
        message.kilobytes,
        *message.excluded,
    ]


def parse_request(parts: list[Any]) -> PlacementRequest:
    """Parse the wire form of a placement request."""
    sender, number, service, *figures = parts[:9]
    rank, age_ms, objective_ms, deadline_ms, service_us, kilobytes = figures
    return PlacementRequest(
        sender=_text(sender),
        number=int(number),
        service=_text(service),
        rank=int(rank),
        age_ms=int(age_ms),
        objective_ms=int(objective_ms),
        deadline_ms=int(deadline_ms),
        service_ms=int(service_us) / _US_PER_MS,
        kilobytes=int(kilobytes),
        excluded=tuple(_text(name) for name in parts[9:]),
    )


def parse_placed(parts: list[Any]) -> Placed:
    """Parse the wire form of a granted placement."""
    return Placed(int(parts[0]), _text(parts[1]))


def parse_queued(parts: list[Any]) -> PlacementQueued:
    """Parse the wire form of the notice that a request waits."""
    return PlacementQueued(int(parts[0]))


def parse_declined(parts: list[Any]) -> PlacementDeclined:
    """Parse the wire form of a declined placement."""
    return PlacementDeclined(int(parts[0]), _text(parts[1]), int(parts[2]))


def render_ended(message: PlacementEnded) -> list[Any]:
    """Return the wire form of an ended placement."""
    parts = [message.sender, message.number, int(message.outcome)]
    if message.load is not None:
        parts.extend(render_load_row(message.load))
    return parts


def parse_ended(parts: list[Any]) -> PlacementEnded:
    """Parse the wire form of an ended placement."""
    sender, number, outcome, *row = parts
    return PlacementEnded(
        sender=_text(sender),
        number=int(number),
        outcome=Outcome(outcome),
        load=parse_load_row(row) if row else None,
    )


def _text(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError(f'{field!r} is not a text')
    return field
