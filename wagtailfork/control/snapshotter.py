"""Append snapshots before the log's retention takes the start away."""

import asyncio
import random
import time
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from .follower import Follower, LogSight
from .publisher import Publisher
from .snapshots import snapshot_body

_CHECK_S: Final = 1.0
_WAIT_S: Final = 10.0
_REPEAT_FRACTION: Final = 0.25  # of the period, where clocks disagree


@attrs.frozen(kw_only=True)
class SnapshotPlan:
    """Say how much of the log may follow the last snapshot."""

    every_records: int
    every_s: float


def is_snapshot_due(plan: SnapshotPlan, sight: LogSight, now_s: float) -> bool:
    """Tell whether the log needs a new snapshot at wall time ``now_s``.

    A quiet log needs one too: retention takes the last one away in the end.

    >>> plan = SnapshotPlan(every_records=10, every_s=60)
    >>> sight = LogSight(offset=5, earliest=0, snapshot=2, snapshot_s=100)
    >>> is_snapshot_due(plan, sight, 120), is_snapshot_due(plan, sight, 170)
    (False, True)
    >>> is_snapshot_due(plan, attrs.evolve(sight, earliest=3), 120)
    True
    """
    if sight.offset < 0:
        return False
    if sight.earliest > max(sight.snapshot, 0):
        return True
    if sight.offset - max(sight.snapshot, 0) >= plan.every_records:
        return True
    return now_s - sight.snapshot_s > plan.every_s


@attrs.define
class Snapshotter:
    """Append a snapshot when the log needs one.

    Every entry VM runs one. A random wait lets the first one's snapshot be
    seen by the others, which then hold theirs back; two at once are harmless.
    """

    _follower: Follower
    _publisher: Publisher
    _plan: SnapshotPlan
    _appended_at: float = float('-inf')

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S * (1 + random.random()))  # noqa: S311
            if self._may_append():
                await self._append()

    def _may_append(self) -> bool:
        follower = self._follower
        if not follower.ready or follower.reader.in_gap:
            return False
        if not is_snapshot_due(self._plan, follower.sight(), time.time()):
            return False
        pause_s = self._plan.every_s * _REPEAT_FRACTION
        return time.monotonic() - self._appended_at > pause_s

    async def _append(self) -> None:
        before = self._follower.sight().snapshot
        body = snapshot_body(self._follower.state)
        try:
            await self._publisher.publish('snapshot', body, _WAIT_S)
        except WagtailforkError:
            return
        if self._follower.sight().snapshot > before:
            self._appended_at = time.monotonic()
