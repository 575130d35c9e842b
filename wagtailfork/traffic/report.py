"""Read the traffic stream and sum it over a time range."""

from collections.abc import Iterable
from typing import Any

import attrs

from ..control.log_client import TRAFFIC_STREAM, LogClient
from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain
from .ledger import TrafficKey, TrafficRow, TrafficSummary


@attrs.frozen(kw_only=True)
class TimeRange:
    """Bound a report, milliseconds since the epoch, the end excluded."""

    from_ms: int
    to_ms: int

    def holds(self, summary: TrafficSummary) -> bool:
        """Tell whether a summary's period ends in the range."""
        return self.from_ms <= summary.to_ms < self.to_ms


def sum_rows(
    records: Iterable[Any],
    bounds: TimeRange,
) -> dict[TrafficKey, TrafficRow]:
    """Sum the summaries in the records, each counted once.

    >>> sum_rows(['noise'], TimeRange(from_ms=0, to_ms=1))
    {}
    """
    seen: set[tuple[str, int]] = set()
    sums: dict[TrafficKey, TrafficRow] = {}
    for record in records:
        summary = _parse(record)
        if summary is None or not bounds.holds(summary):
            continue
        ident = (summary.incarnation, summary.sequence)
        if ident in seen:
            continue
        seen.add(ident)
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


async def read_report(
    client: LogClient,
    bounds: TimeRange,
) -> list[TrafficRow]:
    """Read the whole stream and give the sums, most requests first."""
    records: list[Any] = []
    start = 0
    while True:
        page = await client.read(TRAFFIC_STREAM, start)
        records.extend(entry.record for entry in page.records)
        if not page.records:
            break
        start = page.records[-1].offset + 1
    sums = sum_rows(records, bounds)
    return sorted(sums.values(), key=lambda row: -row.requests)
