"""One direction of a connection through a link: delayed, paced, held."""

import asyncio
import enum
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

import attrs

WINDOW_BYTES: Final = 131072  # of one connection, each way
MAX_BACKLOG_S: Final = 0.25  # before a full link; then its senders wait
LATE_MS: Final = 20
_BITS: Final = 8
_MEGA: Final = 1000000
_MS: Final = 1000


class Mark(enum.Enum):
    """Say how a connection ended."""

    END = 'end'  # nothing more comes this way
    RESET = 'reset'


@attrs.define(eq=False, kw_only=True)
class Lane:
    """Share the bandwidth of one direction of a link."""

    delay_s: float  # one way
    mbps: float  # 0: without a limit
    played: Counter[str]
    cut_until_s: float = 0
    _free_s: float = 0

    def reserve(self, size: int, at_s: float) -> float:
        """Return when bytes that are sent at a time have arrived.

        >>> lane = Lane(delay_s=0.5, mbps=8, played=Counter())
        >>> lane.reserve(1000000, 10), lane.reserve(1000000, 10)
        (11.5, 12.5)
        >>> lane.backlog_s(10)
        2.0
        """
        if self.mbps:
            at_s = max(at_s, self._free_s) + size * _BITS / self.mbps / _MEGA
            self._free_s = at_s
        return at_s + self.delay_s

    def backlog_s(self, at_s: float) -> float:
        """Return how long bytes would wait for their turn."""
        return max(0, self._free_s - at_s)

    def record_late(self, late_s: float) -> None:
        """Count deliveries, and how late the relay itself was."""
        late_ms = round(late_s * _MS)
        self.played['deliveries'] += 1
        self.played['late'] += late_ms > LATE_MS
        self.played['late_ms'] = max(self.played['late_ms'], late_ms)


@attrs.define(eq=False, kw_only=True)
class Flow:
    """Carry the bytes of one connection in one direction.

    What is on its way is bounded: the source isn't read beyond that.
    """

    lane: Lane
    opened_s: float  # nothing leaves before
    ended: Callable[[Mark], None]  # called when an end has arrived
    silent: bool = False  # for good
    source: asyncio.Transport | None = None
    sink: asyncio.Transport | None = None
    blocked: bool = False  # the sink takes no more for now
    _queue: 'deque[tuple[float, bytes | Mark]]' = attrs.field(factory=deque)
    _queued: int = 0
    _reading: bool = True
    _marked: bool = False
    _timer: asyncio.TimerHandle | None = None
    _resume_timer: asyncio.TimerHandle | None = None

    def take(self, piece: bytes) -> None:
        """Send a piece on its way."""
        now = self._now()
        self._queued += len(piece)
        self.lane.played['bytes'] += len(piece)
        due_s = self.lane.reserve(len(piece), max(now, self.opened_s))
        self._queue.append((due_s, piece))
        self._adjust_reading()
        self._schedule()

    def take_mark(self, mark: Mark) -> None:
        """Send the end on its way; a reset discards what is held back."""
        if self._marked and mark is Mark.END:
            return
        self._marked = True
        now = self._now()
        if mark is Mark.RESET and (self.silent or self.lane.cut_until_s > now):
            self._clear()
        due_s = self.lane.reserve(0, max(now, self.opened_s))
        self._queue.append((due_s, mark))
        self._schedule()

    def pass_on(self) -> None:
        """Deliver what is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._now()
        while self._may_pass(now) and self._queue[0][0] <= now:
            _, piece = self._queue.popleft()
            if isinstance(piece, Mark):
                self.ended(piece)
                continue
            self._queued -= len(piece)
            if self.sink is not None and not self.sink.is_closing():
                self.sink.write(piece)
        self._adjust_reading()
        self._schedule()

    def close(self) -> None:
        """Forget everything."""
        self._clear()
        self._marked = True
        for timer in (self._timer, self._resume_timer):
            if timer is not None:
                timer.cancel()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _clear(self) -> None:
        self._queue.clear()
        self._queued = 0

    def _may_pass(self, now: float) -> bool:
        held = self.silent or self.blocked or self.sink is None
        return not held and now >= self.lane.cut_until_s and bool(self._queue)

    def _schedule(self) -> None:
        held = self.silent or self.blocked or self.sink is None
        if held or self._timer is not None or not self._queue:
            return
        due_s = max(self._queue[0][0], self.lane.cut_until_s)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(due_s, self._pass_at, due_s)

    def _pass_at(self, due_s: float) -> None:
        self.lane.record_late(self._now() - due_s)
        self.pass_on()

    def _adjust_reading(self) -> None:
        """Read from the source unless the window or the link is full."""
        source = self.source
        if source is None or self._marked or source.is_closing():
            return
        waiting_s = self.lane.backlog_s(self._now()) - MAX_BACKLOG_S
        room = self._queued < WINDOW_BYTES and waiting_s <= 0
        if room and not self._reading:
            source.resume_reading()
        elif not room and self._reading:
            source.pause_reading()
        self._reading = room
        if waiting_s > 0 and self._resume_timer is None:
            loop = asyncio.get_running_loop()
            self._resume_timer = loop.call_later(waiting_s, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        self._adjust_reading()
