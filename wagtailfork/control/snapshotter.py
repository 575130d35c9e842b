"""Append snapshots before the log's retention takes the start away."""

import asyncio
import random
import time

import attrs

from ..core.errors import WagtailforkError
from .follower import Follower
from .publisher import Publisher
from .snapshots import snapshot_body

_CHECK_S = 1.0
_WAIT_S = 10.0


@attrs.define
class Snapshotter:
    """Append a snapshot after so many records or so many seconds.

    Every entry VM runs one. A random wait lets the first one's snapshot be
    seen by the others, which then hold theirs back; two at once are harmless.
    """

    _follower: Follower
    _publisher: Publisher
    _every_records: int
    _every_s: float
    _last_at: float = attrs.field(factory=time.monotonic)

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S * (1 + random.random()))  # noqa: S311
            if self._follower.records_since_snapshot == 0:
                self._last_at = time.monotonic()
                continue
            if self._is_due():
                await self._append()

    def _is_due(self) -> bool:
        if not self._follower.ready or self._follower.reader.in_gap:
            return False
        if self._follower.records_since_snapshot >= self._every_records:
            return True
        return time.monotonic() - self._last_at > self._every_s

    async def _append(self) -> None:
        body = snapshot_body(self._follower.state)
        try:
            await self._publisher.publish('snapshot', body, _WAIT_S)
        except WagtailforkError:
            return
        self._last_at = time.monotonic()
