"""Follow the control stream and tell others when the state moves."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_fault
from .fold import ControlState, LogRecord, Verdict
from .log_client import CONTROL_STREAM, LogClient, Page
from .snapshots import Folded, LogReader

Listener = Callable[[ControlState], None]

_RETRY_S: Final = 0.25
_NEVER: Final = float('-inf')

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class LogSight:
    """Say what this VM has seen of the log's ends and its last snapshot."""

    offset: int  # folded so far
    earliest: int  # kept by the log
    snapshot: int  # offset of the last one read, -1 before the first
    snapshot_s: float  # wall time of it, or of this VM's start


@attrs.define
class Follower:
    """Read the control stream and keep the folded state."""

    _client: LogClient
    _poll_s: float
    reader: LogReader = attrs.field(factory=LogReader)
    read_at: float = _NEVER  # monotonic time of the last whole read
    _earliest: int = 0
    _snapshot: int = -1
    _snapshot_s: float = attrs.field(factory=time.time)
    _listeners: list[Listener] = attrs.field(factory=list)
    _verdicts: dict[str, asyncio.Future[tuple[int, Verdict]]] = attrs.field(
        factory=dict,
    )
    _caught_up: bool = False
    _moved: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def state(self) -> ControlState:
        """Give the current state; empty before the first whole read."""
        return self.reader.state or ControlState()

    @property
    def ready(self) -> bool:
        """Tell whether the log was once read to its end, here or by a peer."""
        return self._caught_up and self.reader.state is not None

    def sight(self) -> LogSight:
        """Give what was seen of the log."""
        return LogSight(
            offset=self.state.offset,
            earliest=self._earliest,
            snapshot=self._snapshot,
            snapshot_s=self._snapshot_s,
        )

    def age_s(self) -> float:
        """Give the seconds since the log was last read to its end."""
        return time.monotonic() - self.read_at

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each new state."""
        self._listeners.append(listener)

    def expect(self, ident: str) -> asyncio.Future[tuple[int, Verdict]]:
        """Give a future of the offset and verdict of the record ``ident``."""
        return self._verdicts.setdefault(
            ident,
            asyncio.get_running_loop().create_future(),
        )

    def forget(self, ident: str) -> None:
        """Drop the interest in a record."""
        self._verdicts.pop(ident, None)

    async def wait_ready(self) -> None:
        """Wait until a whole prefix of the log is known."""
        while not self.ready:
            await self._moved.wait()

    def adopt(self, state: ControlState) -> bool:
        """Take a peer's state where it is further on."""
        before = self.state.offset
        known = self.ready
        self.reader.adopt(state)
        self._caught_up = True
        # The peers see to snapshots of what came before.
        self._snapshot = max(self._snapshot, self.state.offset)
        if known and self.state.offset == before:
            return False
        log_event(_logger, 'state_adopted', offset=self.state.offset)
        self._publish()
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
                    log_fault(_logger, 'log_unreadable', error=exc.detail)
                failing = True
                await asyncio.sleep(_RETRY_S)
                continue
            failing = False
            self._take(page)

    def _take(self, page: Page) -> None:
        folds: dict[int, Folded] = {}
        first_time = False
        self._earliest = page.earliest
        if self.reader.state is None and page.next == 0:
            self.reader.state = ControlState()
        for entry in page.records:
            folds.update(self.reader.push(entry))
            self._note_snapshot(entry)
            self._resolve(entry.offset, entry.record, folds)
        if self.reader.next_offset() >= page.next and not self.reader.in_gap:
            self.read_at = time.monotonic()
            first_time = not self._caught_up
            self._caught_up = True
        if page.records or first_time:
            self._publish()

    def _note_snapshot(self, entry: LogRecord) -> None:
        record = entry.record
        if isinstance(record, dict) and record.get('kind') == 'snapshot':
            self._snapshot = entry.offset
            self._snapshot_s = entry.time_ms / 1000

    def _resolve(
        self,
        offset: int,
        record: object,
        folds: dict[int, Folded],
    ) -> None:
        if offset not in folds or not isinstance(record, dict):
            return
        fut = self._verdicts.pop(str(record.get('id')), None)
        if fut is not None and not fut.done():
            fut.set_result((offset, folds[offset][1]))

    def _publish(self) -> None:
        if not self.ready:
            return
        self._moved.set()
        self._settle_from_recent()
        for listener in self._listeners:
            listener(self.state)

    def _settle_from_recent(self) -> None:
        # A snapshot can skip over the record that someone waits for.
        recent = self.state.recent
        for ident in [name for name in self._verdicts if name in recent]:
            fut = self._verdicts.pop(ident)
            if not fut.done():
                fut.set_result((self.state.offset, recent[ident]))
