"""Load reports of backend servers in messages between entry VMs."""

from typing import Any, Final

import attrs

from ..routing.load import LoadReport

_PERCENT: Final = 100
LOAD_ROW_SIZE: Final = 5  # fields
_MS: Final = 1000


@attrs.frozen(kw_only=True)
class LoadRow:
    """Hold a load report with its age, as the clocks of VMs differ."""

    running: int
    waiting: int
    slots: int
    slowness: float
    age_ms: int


def make_row(report: LoadReport | None, now: float) -> LoadRow | None:
    """Return the row of a report, None without one."""
    if report is None:
        return None
    return LoadRow(
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        slowness=report.slowness,
        age_ms=round((now - report.at_s) * _MS),
    )


def restore_report(row: LoadRow, now: float) -> LoadReport:
    """Return the report of a row, dated by its age.

    >>> row = make_row(LoadReport(1, 0, 4, 1.5, at_s=2.0), now=2.5)
    >>> restore_report(row, now=10.0).at_s
    9.5
    """
    return LoadReport(
        row.running,
        row.waiting,
        row.slots,
        row.slowness,
        now - row.age_ms / _MS,
    )


def render_load_row(row: LoadRow) -> list[Any]:
    """Return the wire form of a row."""
    return [
        row.running,
        row.waiting,
        row.slots,
        round(row.slowness * _PERCENT),
        row.age_ms,
    ]


def parse_load_row(row: list[Any]) -> LoadRow:
    """Parse the wire form of a row."""
    figures = [int(part) for part in row]
    return LoadRow(
        running=figures[0],
        waiting=figures[1],
        slots=figures[2],
        slowness=figures[3] / _PERCENT,
        age_ms=max(0, figures[4]),
    )
