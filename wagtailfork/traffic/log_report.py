"""A traffic report from the log service."""

from typing import Any

from ..control.log_client import TRAFFIC_STREAM, LogClient
from .ledger import TrafficRow
from .report import TimeRange, rank_rows


async def read_log_traffic(
    client: LogClient,
    time_range: TimeRange,
) -> list[TrafficRow]:
    """Sum the traffic stream of a log by key, most requests first."""
    records: list[Any] = []
    start = 0
    while True:
        page = await client.read(TRAFFIC_STREAM, start)
        records.extend(entry.record for entry in page.records)
        if not page.records:
            break
        start = page.records[-1].offset + 1
    return rank_rows(records, time_range)
