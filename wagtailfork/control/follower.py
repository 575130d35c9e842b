"""Follow the control stream and notify listeners of each new state."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from .fold import ControlState, LogRecord, RecordResult
from .log_client import CONTROL_STREAM, LogClient, Page
from .snapshots import FoldResult, LogReader

Listener = Callable[[ControlState], None]

_RETRY_S: Final = 0.25
_NEVER: Final = float('-inf')

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class LogStatus:
    """Describe the log's range and last snapshot as last read by this VM."""

    offset: int  # of the last record folded
    earliest: int  # offset of the first record that the log retains
    snapshot_offset: int  # of the last snapshot read, -1 before the first
    snapshot_time_s: float  # wall time of that snapshot, or of this VM's start


@attrs.define
class Follower:
    """Read the control stream and maintain the folded state."""

    _client: LogClient
    _poll_s: float
    reader: LogReader = attrs.field(factory=LogReader)
    read_at: float = (
        _NEVER  # time, by `now_s`, of the last read to the log's end
    )
    _earliest: int = 0
    _snapshot_offset: int = -1
    _snapshot_time_s: float = attrs.field(factory=time.time)
    _listeners: list[Listener] = attrs.field(factory=list)
    _watched: dict[str, asyncio.Future[tuple[int, RecordResult]]] = attrs.field(
        factory=dict,
    )
    _caught_up: bool = False
    _became_ready: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def state(self) -> ControlState:
        """Return the current state; empty until one is available."""
        return self.reader.state or ControlState()

    @property
    def ready(self) -> bool:
        """Return whether the state, read or adopted, reached the log's end."""
        return self._caught_up and self.reader.state is not None

    @property
    def in_gap(self) -> bool:
        """Return whether records after the state are missing from the log."""
        if self.reader.state is None:
            return self.reader.in_gap
        return self.first_retained() > self.state.offset + 1

    def first_retained(self) -> int:
        """Return the offset of the first record to fold after a gap."""
        if self._earliest > self.reader.next_offset():
            return self._earliest
        return self.reader.next_to_fold()

    def log_status(self) -> LogStatus:
        """Return the log's range and last snapshot as last read."""
        return LogStatus(
            offset=self.state.offset,
            earliest=self._earliest,
            snapshot_offset=self._snapshot_offset,
            snapshot_time_s=self._snapshot_time_s,
        )

    def age_s(self) -> float:
        """Return the seconds since the log was last read to its end."""
        return now_s() - self.read_at

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each new state."""
        self._listeners.append(listener)

    def watch_record(
        self, ident: str
    ) -> asyncio.Future[tuple[int, RecordResult]]:
        """Return a future of the offset and result of the record ``ident``."""
        return self._watched.setdefault(
            ident,
            asyncio.get_running_loop().create_future(),
        )

    def unwatch_record(self, ident: str) -> None:
        """Discard the future of a record."""
        self._watched.pop(ident, None)

    async def wait_ready(self) -> None:
        """Wait until the follower is ready."""
        while not self.ready:
            await self._became_ready.wait()

    def adopt(self, state: ControlState) -> bool:
        """Replace the state with a peer's if that is at a later offset.

        Return whether the follower became ready or its offset changed.
        """
        old_offset = self.state.offset
        was_ready = self.ready
        self.reader.adopt(state)
        self._caught_up = True
        # The peers already append snapshots of the records up to here.
        self._snapshot_offset = max(self._snapshot_offset, self.state.offset)
        if was_ready and self.state.offset == old_offset:
            return False
        log_event(_logger, 'state_adopted', offset=self.state.offset)
        self._notify_listeners()
        return True

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        failing = False
        while True:
            try:
                page = await self._client.read(
                    CONTROL_STREAM,
                    self.reader.next_offset(),
                    self._poll_s,
                )
            except WagtailforkError as exc:
                if not failing:
                    log_warning(_logger, 'log_unreadable', error=exc.detail)
                failing = True
                await asyncio.sleep(_RETRY_S)
                continue
            failing = False
            self._apply_page(page)

    def _apply_page(self, page: Page) -> None:
        folds: dict[int, FoldResult] = {}
        newly_caught_up = False
        self._earliest = page.earliest
        if self.reader.state is None and page.next == 0:
            self.reader.state = ControlState()
        for entry in page.records:
            folds.update(self.reader.push(entry))
            self._update_last_snapshot(entry)
            self._resolve_watched(entry.offset, entry.record, folds)
        if self.reader.next_offset() >= page.next and not self.in_gap:
            self.read_at = now_s()
            newly_caught_up = not self._caught_up
            self._caught_up = True
        if page.records or newly_caught_up:
            self._notify_listeners()

    def _update_last_snapshot(self, entry: LogRecord) -> None:
        record = entry.record
        if isinstance(record, dict) and record.get('kind') == 'snapshot':
            self._snapshot_offset = entry.offset
            self._snapshot_time_s = entry.time_ms / 1000

    def _resolve_watched(
        self,
        offset: int,
        record: object,
        folds: dict[int, FoldResult],
    ) -> None:
        if offset not in folds or not isinstance(record, dict):
            return
        fut = self._watched.pop(str(record.get('id')), None)
        if fut is not None and not fut.done():
            fut.set_result((offset, folds[offset][1]))

    def _notify_listeners(self) -> None:
        if not self.ready:
            return
        self._became_ready.set()
        self._resolve_from_recent()
        for listener in self._listeners:
            listener(self.state)

    def _resolve_from_recent(self) -> None:
        # Restoring a snapshot can skip a record whose future is pending.
        recent = self.state.recent
        for ident in [name for name in self._watched if name in recent]:
            fut = self._watched.pop(ident)
            if not fut.done():
                fut.set_result((self.state.offset, recent[ident]))
