"""Traffic summaries in the platform's store."""

import json
import logging
import zlib
from typing import Any, Final

from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..core.results import ResultCode
from ..fleet.position import Position
from ..traffic.ledger import TrafficRow
from ..traffic.report import TimeRange, rank_rows
from .store import PositionLost, StoreClient

TRAFFIC_TOPIC: Final = 'wagtailfork-traffic'
_MAX_SUMMARY_BYTES: Final = 4194304  # decompressed
# Of the whole topic: the first one learns the store's era.
_MAX_READS: Final = 3

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
    """Sum the retained summaries by key, most requests first.

    Raise ``log_unavailable`` if records are lost in each of some reads.
    """
    for _ in range(_MAX_READS):
        try:
            return rank_rows(await _read_summaries(store), time_range)
        except PositionLost as exc:
            log_event(_logger, 'position_lost', error=exc)
    raise WagtailforkError(
        ResultCode.log_unavailable,
        f'{TRAFFIC_TOPIC}: its records were lost in {_MAX_READS} reads',
    )


async def _read_summaries(store: StoreClient) -> list[Any]:
    """Read all retained summaries; raise ``PositionLost`` after a restore."""
    found: list[Any] = []
    start = Position(store.era, 0)
    while True:
        records, start = await _read_page(store, start)
        if not records:
            return found
        found.extend(parse_summary(record) for record in records)


async def _read_page(
    store: StoreClient,
    start: Position,
) -> tuple[list[bytes], Position]:
    """Read from a position, or from the first retained one after it."""
    try:
        return await store.read_log(TRAFFIC_TOPIC, start)
    except PositionLost as exc:
        first = exc.first
        if first is None or first.era != start.era or first <= start:
            raise
        return await store.read_log(TRAFFIC_TOPIC, first)
