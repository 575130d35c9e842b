"""Loads of backend servers in messages between entry VMs."""

from typing import Any, Final

import attrs

_PERCENT: Final = 100


@attrs.frozen(kw_only=True)
class LoadRow:
    """Hold the sender's requests in flight at a server, and its load report.

    ``age_ms`` is negative if there is no load report; ``silent`` is set if the
    server did not answer a probe.
    """

    server: str
    in_flight: int
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float = 1.0
    age_ms: int = -1
    silent: bool = False


def render_load_row(row: LoadRow) -> list[Any]:
    """Return the wire form of a row."""
    if row.silent:
        return [row.server, row.in_flight, -1]
    if row.age_ms < 0:
        return [row.server, row.in_flight]
    return [
        row.server,
        row.in_flight,
        row.running,
        row.waiting,
        row.slots,
        round(row.slowness * _PERCENT),
        row.age_ms,
    ]


def parse_load_row(row: list[Any]) -> LoadRow:
    """Parse the wire form of a row."""
    server, in_flight, *report = row
    if not report:
        return LoadRow(server=str(server), in_flight=int(in_flight))
    if report[0] < 0:
        return LoadRow(
            server=str(server), in_flight=int(in_flight), silent=True
        )
    numbers = [int(part) for part in report]
    return LoadRow(
        server=str(server),
        in_flight=int(in_flight),
        running=numbers[0],
        waiting=numbers[1],
        slots=numbers[2],
        slowness=numbers[3] / _PERCENT,
        age_ms=numbers[4],
    )
