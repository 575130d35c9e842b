"""Stalls of the soak's own process."""

import asyncio
import time

import testtools

from ...core.clock import now_s
from ..excuses import Disruptions
from ..stalls import CHECK_INTERVAL_S, MIN_STALL_S, StallWatch


class TestStalls(testtools.TestCase):
    """Gateways are not judged by a store that did not run."""

    def test_stall_is_trouble_of_the_store(self) -> None:
        """Regression: CONFIG was judged after a stall (seed 446)."""
        store = Disruptions()
        watch = asyncio.run(stall(StallWatch(store)))
        self.assertEqual(1, len(watch.stalls_s))
        self.assertGreaterEqual(watch.stalls_s[0], MIN_STALL_S)
        self.assertFalse(store.in_touch(now_s()))

    def test_no_stall(self) -> None:
        """Pauses of the usual length are no trouble."""
        store = Disruptions()
        watch = StallWatch(store)
        asyncio.run(pause(watch))
        self.assertEqual([], watch.stalls_s)
        self.assertTrue(store.in_touch(now_s()))


async def pause(watch: StallWatch) -> None:
    """Let the watch check twice."""
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(2 * CHECK_INTERVAL_S)
    task.cancel()


async def stall(watch: StallWatch) -> StallWatch:
    """Stall the process once."""
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0)
    time.sleep(MIN_STALL_S + 2 * CHECK_INTERVAL_S)
    await asyncio.sleep(2 * CHECK_INTERVAL_S)
    task.cancel()
    return watch
