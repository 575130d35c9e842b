"""A short run with a large configuration and a narrow link."""

from typing import Final

import testtools

from ..large_play import LARGE_KINDS
from ..plan import SoakPlan
from .test_soak import play

SECONDS: Final = 10.0  # the last 9 s are quiet
MIN_PROPER: Final = 200
MIN_JUDGED: Final = 4  # of the gateways


class TestLargePlay(testtools.TestCase):
    """A route that is in force is not denied, and comes into force."""

    def test_large_configuration(self) -> None:
        """Routes change while VMs are killed and regions are cut off."""
        plan = SoakPlan(
            seed=51,
            seconds=SECONDS,
            gateways=6,
            servers=8,
            callers=3,
            answers=(),
            stale_entries=0,
            large=True,
            region_mbps=6,
            disruptions=(*LARGE_KINDS, 'freeze'),
        )
        record = play(plan)
        self.assertEqual([], record.broken())
        self.assertEqual([], record.ended)
        self.assertGreaterEqual(record.plays['proper'], MIN_PROPER)
        self.assertGreaterEqual(record.plays['healing_judged'], MIN_JUDGED)
        self.assertGreaterEqual(record.links['datagrams'], 1)
