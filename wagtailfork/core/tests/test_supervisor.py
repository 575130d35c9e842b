"""Restarts of failed child tasks, in virtual time."""

import asyncio
from unittest import mock

import testtools

from ...bench.virtual import VirtualLoop
from .. import supervisor
from ..supervisor import STABLE_AFTER_S, Supervisor

QUICK_FAILURES = 8


class TestBackoff(testtools.TestCase):
    """The delay before a restart depends on recent failures alone."""

    def test_a_stable_run_resets_the_backoff(self) -> None:
        """Regression: one early series of failures delayed all later restarts.

        A child that failed after hours was restarted after five seconds.
        """
        loop = VirtualLoop()
        starts: list[float] = []

        async def fail() -> None:
            starts.append(loop.time())
            if len(starts) == QUICK_FAILURES:
                await asyncio.sleep(2 * STABLE_AFTER_S)
            if len(starts) > QUICK_FAILURES:
                return
            raise ValueError('a fault')

        root = Supervisor('root')
        root.add('child', fail)
        with mock.patch.object(supervisor, 'now_s', loop.time):
            loop.run_until_complete(root.run())
        loop.close()
        delay_s = starts[-1] - starts[-2] - 2 * STABLE_AFTER_S
        self.assertLess(delay_s, 0.2)
        self.assertGreater(starts[-2] - starts[-3], 1)
