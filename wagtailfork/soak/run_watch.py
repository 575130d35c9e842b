"""What is watched while a soak runs: memory of gateways, stalls of itself."""

import asyncio

import attrs

from .excuses import Disruptions
from .gateways import GatewayProcess
from .memory import MemoryWatch
from .record import Record
from .stalls import StallWatch


@attrs.define(eq=False)
class RunWatch:
    """Watch one run and record what was seen."""

    gateways: list[GatewayProcess]
    store: Disruptions
    _memory: MemoryWatch = attrs.field(init=False)
    _stalls: StallWatch = attrs.field(init=False)
    _tasks: 'list[asyncio.Task[None]]' = attrs.field(factory=list)

    def start(self) -> None:
        """Begin to watch."""
        self._memory = MemoryWatch(self.gateways)
        self._stalls = StallWatch(self.store)
        for watch in (self._memory, self._stalls):
            self._tasks.append(asyncio.create_task(watch.run()))

    def stop(self, record: Record) -> None:
        """End and record."""
        for task in self._tasks:
            task.cancel()
        record.stalls_s = self._stalls.stalls_s
        record.excessive = self._memory.excessive()
        record.peak_bytes = max(self._memory.peaks.values(), default=0)
