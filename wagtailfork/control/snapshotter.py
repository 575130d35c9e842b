"""Append snapshots before the log trims the records that they cover."""

import asyncio
import random
import time
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from .follower import Follower, LogStatus
from .publisher import Publisher
from .snapshots import snapshot_body

_POLL_S: Final = 1.0
_PUBLISH_TIMEOUT_S: Final = 10.0
# Least time between two snapshots of one VM, as a fraction of the period.
# Without it, a VM whose clock is ahead of the log's by more than the period
# would append one at each check.
_MIN_REPEAT_FRACTION: Final = 0.25


@attrs.frozen(kw_only=True)
class SnapshotPlan:
    """Limit how many records or seconds may follow the last snapshot."""

    every_records: int
    every_s: float


def is_snapshot_due(
    plan: SnapshotPlan, status: LogStatus, now_s: float
) -> bool:
    """Return whether the log needs a new snapshot at wall time ``now_s``.

    A log without new records needs one too, since retention eventually
    removes the last snapshot.

    >>> plan = SnapshotPlan(every_records=10, every_s=60)
    >>> status = LogStatus(
    ...     offset=5, earliest=0, snapshot_offset=2, snapshot_time_s=100)
    >>> is_snapshot_due(plan, status, 120), is_snapshot_due(plan, status, 170)
    (False, True)
    >>> is_snapshot_due(plan, attrs.evolve(status, earliest=3), 120)
    True
    """
    if status.offset < 0:
        return False
    if status.earliest > max(status.snapshot_offset, 0):
        return True
    if status.offset - max(status.snapshot_offset, 0) >= plan.every_records:
        return True
    return now_s - status.snapshot_time_s > plan.every_s


@attrs.define
class Snapshotter:
    """Append a snapshot when the log needs one.

    Every entry VM runs a snapshotter. The check interval is random, so that
    the other VMs usually read the first VM's snapshot before they would
    append one. Two snapshots at the same time are harmless.
    """

    _follower: Follower
    _publisher: Publisher
    _plan: SnapshotPlan
    _appended_at: float = float('-inf')

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(_POLL_S * (1 + random.random()))  # noqa: S311
            if self._should_append():
                await self._append()

    def _should_append(self) -> bool:
        follower = self._follower
        if not follower.ready or follower.in_gap:
            return False
        if not is_snapshot_due(self._plan, follower.log_status(), time.time()):
            return False
        pause_s = self._plan.every_s * _MIN_REPEAT_FRACTION
        return time.monotonic() - self._appended_at > pause_s

    async def _append(self) -> None:
        before = self._follower.log_status().snapshot_offset
        body = snapshot_body(self._follower.state)
        try:
            await self._publisher.publish('snapshot', body, _PUBLISH_TIMEOUT_S)
        except WagtailforkError:
            return
        if self._follower.log_status().snapshot_offset > before:
            self._appended_at = time.monotonic()
