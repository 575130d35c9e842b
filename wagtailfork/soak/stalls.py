"""Stalls of the process that plays the store, the servers and the callers."""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from .excuses import Disruptions

CHECK_INTERVAL_S: Final = 0.1
MIN_STALL_S: Final = 0.5  # well below the silence that readers accept


@attrs.define(eq=False)
class StallWatch:
    """Record each stall as trouble of the store, which answers nobody then."""

    store: Disruptions
    stalls_s: list[float] = attrs.field(factory=list)

    async def run(self) -> None:
        """Compare the time of each pause with its length until cancelled."""
        while True:
            begun_s = now_s()
            await asyncio.sleep(CHECK_INTERVAL_S)
            late_s = now_s() - begun_s - CHECK_INTERVAL_S
            if late_s >= MIN_STALL_S:
                self.store.add_trouble(begun_s, now_s())
                self.stalls_s.append(late_s)
