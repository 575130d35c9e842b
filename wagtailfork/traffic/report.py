"""Traffic sums over a time range."""

from collections.abc import Iterable
from typing import Any

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain
from .ledger import TrafficKey, TrafficRow, TrafficSummary


@attrs.frozen(kw_only=True)
class TimeRange:
    """Bound a report in milliseconds since the epoch; excludes ``to_ms``."""

    from_ms: int
    to_ms: int

    def contains(self, summary: TrafficSummary) -> bool:
        """Return whether a summary's period ends in the range."""
        return self.from_ms <= summary.to_ms < self.to_ms


def sum_rows(
    records: Iterable[Any],
    time_range: TimeRange,
) -> dict[TrafficKey, TrafficRow]:
    """Sum the summaries in the records, without duplicates.

    Of two copies of a summary the one with the later end counts: a neighbour
    may have appended an incomplete copy for a VM that it considered lost.

    >>> sum_rows(['noise'], TimeRange(from_ms=0, to_ms=1))
    {}
    """
    latest: dict[tuple[str, str, int], TrafficSummary] = {}
    for record in records:
        summary = _parse(record)
        if summary is None:
            continue
        summary_id = (summary.vm, summary.incarnation, summary.sequence)
        previous = latest.get(summary_id)
        if previous is None or previous.to_ms < summary.to_ms:
            latest[summary_id] = summary
    sums: dict[TrafficKey, TrafficRow] = {}
    for summary in latest.values():
        if time_range.contains(summary):
            _add_rows(sums, summary.rows)
    return sums


def _parse(record: Any) -> TrafficSummary | None:
    try:
        return parse_plain(record, TrafficSummary, ResultCode.record_malformed)
    except WagtailforkError:
        return None


def _add_rows(
    sums: dict[TrafficKey, TrafficRow],
    rows: list[TrafficRow],
) -> None:
    for row in rows:
        total = sums.setdefault(row.key, TrafficRow(key=row.key))
        total.requests += row.requests
        total.bytes_in += row.bytes_in
        total.bytes_out += row.bytes_out
        total.time_ms += row.time_ms


def rank_rows(
    records: Iterable[Any], time_range: TimeRange
) -> list[TrafficRow]:
    """Return the sums of a time range, most requests first."""
    sums = sum_rows(records, time_range)
    return sorted(sums.values(), key=lambda row: -row.requests)
