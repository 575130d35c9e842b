"""Periodic sums of this VM's traffic, appended to a log."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.structure import render_plain

MAX_SUMMARY_ROWS: Final = 1000  # some 150 KB as JSON
_MAX_PENDING_SUMMARIES: Final = 1000  # buffered while the log is unavailable

_logger = logging.getLogger(__name__)

# Takes a summary as plain values.
AppendSummary = Callable[[Any], Awaitable[Any]]


def _now_ms() -> int:
    return round(time.time() * 1000)


@attrs.frozen(kw_only=True)
class TrafficKey:
    """Identify the requests that are summed in one row."""

    customer: str
    service: str
    backend: str
    failure_domain: str
    result: str


@attrs.define(kw_only=True)
class TrafficRow:
    """Hold the sums over the requests of one key."""

    key: TrafficKey
    requests: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    time_ms: float = 0


@attrs.frozen(kw_only=True)
class TrafficSummary:
    """Hold one VM's sums for a period; ``sequence`` identifies duplicates."""

    vm: str
    incarnation: str
    sequence: int
    from_ms: int
    to_ms: int
    rows: list[TrafficRow]


@attrs.frozen(kw_only=True)
class FinishedRequest:
    """Describe a finished request."""

    key: TrafficKey
    bytes_in: int
    bytes_out: int
    time_ms: float


@attrs.define
class Ledger:
    """Sum finished requests and append the sums to a log."""

    _vm: str
    _incarnation: str
    _append: AppendSummary
    _flush_s: float
    _rows: dict[TrafficKey, TrafficRow] = attrs.field(factory=dict)
    _pending: list[TrafficSummary] = attrs.field(factory=list)
    _sequence: int = 0
    _period_start_ms: int = attrs.field(factory=_now_ms)
    dropped: int = 0

    def add(self, finished: FinishedRequest) -> None:
        """Add a finished request."""
        row = self._rows.get(finished.key)
        if row is None:
            if len(self._rows) >= MAX_SUMMARY_ROWS:
                self._close_period()
            row = TrafficRow(key=finished.key)
            self._rows[finished.key] = row
        row.requests += 1
        row.bytes_in += finished.bytes_in
        row.bytes_out += finished.bytes_out
        row.time_ms += finished.time_ms

    async def run(self) -> None:
        """Flush at intervals until cancelled."""
        # Random delay, so that VMs started together do not all write at once.
        await asyncio.sleep(self._flush_s * random.random())  # noqa: S311
        while True:
            await asyncio.sleep(self._flush_s)
            await self.flush()

    async def flush(self) -> None:
        """Append the pending sums; keep those that the log does not accept."""
        self._close_period()
        while self._pending:
            plain: Any = render_plain(self._pending[0])
            try:
                await self._append(plain)
            except WagtailforkError as exc:
                log_warning(_logger, 'traffic_not_appended', why=exc.detail)
                return
            self._pending.pop(0)

    def unappended_summaries(self) -> list[TrafficSummary]:
        """Return the summaries not yet appended, with that of this period."""
        if not self._rows:
            return list(self._pending)
        return [*self._pending, self._summary(_now_ms())]

    def _summary(self, now_ms: int) -> TrafficSummary:
        return TrafficSummary(
            vm=self._vm,
            incarnation=self._incarnation,
            sequence=self._sequence + 1,
            from_ms=self._period_start_ms,
            to_ms=now_ms,
            rows=list(self._rows.values()),
        )

    def _close_period(self) -> None:
        now_ms = _now_ms()
        if self._rows:
            self._pending.append(self._summary(now_ms))
            self._sequence += 1
        self._rows = {}
        self._period_start_ms = now_ms
        if len(self._pending) > _MAX_PENDING_SUMMARIES:
            self._pending.pop(0)
            self.dropped += 1
