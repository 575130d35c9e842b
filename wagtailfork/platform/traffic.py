"""Traffic summaries in the platform's store."""

import json
import logging
import zlib
from typing import Any, Final

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import ResultCode
from ..traffic.ledger import TrafficRow
from ..traffic.report import TimeRange, rank_rows
from .store import RecordsTrimmed, StoreClient

TRAFFIC_TOPIC: Final = 'wagtailfork-traffic'
_MAX_SUMMARY_BYTES: Final = 4194304  # decompressed

_logger = logging.getLogger(__name__)


def render_summary(plain: Any) -> bytes:
    """Encode a summary as a compressed record."""
    text = json.dumps(plain, separators=(',', ':'))
    return zlib.compress(text.encode())


def parse_summary(record: bytes) -> Any:
    """Decode a record; return None if it is not a summary.

    >>> parse_summary(render_summary({'a': 1})), parse_summary(b'junk')
    ({'a': 1}, None)
    """
    try:
        text = zlib.decompressobj().decompress(record, _MAX_SUMMARY_BYTES)
        return json.loads(text)
    except (zlib.error, ValueError, RecursionError) as exc:
        log_warning(_logger, 'summary_unreadable', error=repr(exc))
        return None


async def read_store_traffic(
    store: StoreClient,
    time_range: TimeRange,
) -> list[TrafficRow]:
    """Sum the retained summaries by key, most requests first."""
    found: list[Any] = []
    start = 0
    while True:
        records, start = await _read_page(store, start)
        if not records:
            return rank_rows(found, time_range)
        found.extend(parse_summary(record) for record in records)


async def _read_page(
    store: StoreClient,
    start: int,
) -> tuple[list[bytes], int]:
    """Read from an offset, or from the first retained one after it."""
    try:
        return await store.read_log(TRAFFIC_TOPIC, start)
    except RecordsTrimmed as exc:
        if exc.first_offset is None or exc.first_offset <= start:
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'{TRAFFIC_TOPIC} from {start}: {exc}',
            ) from exc
        return await store.read_log(TRAFFIC_TOPIC, exc.first_offset)
