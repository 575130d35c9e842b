"""A short run of real gateway processes with faulty servers."""

import asyncio
import pathlib
import tempfile
from typing import Final

import testtools

from ..answers import GROUPS
from ..crash_play import CRASH_DOMAIN
from ..deployment import Deployment
from ..plan import SoakPlan
from ..record import Record

SECONDS: Final = 12.0
SHORT_SECONDS: Final = 5.0
# A removed key is judged after 5 s, and a gateway cut off for up to 9.5 s.
CUSTOMERS_SECONDS: Final = 12.0
CRASHES_SECONDS: Final = 25.0  # a path is judged 8 s after a crash
MIN_REVISITS: Final = 20
MIN_ANSWERS: Final = 20  # of each of the two kinds, or the run proves nothing


def play(plan: SoakPlan) -> Record:
    """Return what callers and servers saw of a plan."""
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(Deployment(plan, pathlib.Path(name)).run())


class TestSoak(testtools.TestCase):
    """What was refused has not run, what runs once has run once."""

    def test_no_refused_request_runs(self) -> None:
        """Gateways are disrupted while servers give each kind of answer."""
        plan = SoakPlan(
            seed=36, seconds=SECONDS, gateways=8, answers=tuple(GROUPS)
        )
        record = play(plan)
        self.assertEqual([], record.broken())
        self.assertEqual([], record.unasked)
        self.assertEqual({}, record.excessive)
        self.assertEqual([], record.ended)
        for kind in ('stated/named/reused/not_run', '503/unstated'):
            count = sum(
                found for key, found in record.answers.items() if kind in key
            )
            self.assertGreaterEqual(count, MIN_ANSWERS, kind)

    def test_copied_refusals_answer_nothing(self) -> None:
        """Regression: a copy was taken for the answer to a later send.

        Servers have a second entry and callers send refused ids again, so
        that ids come back to a server, yet never on the same connection.
        """
        plan = SoakPlan(
            seed=39,
            seconds=SHORT_SECONDS,
            gateways=2,
            servers=6,
            callers=20,
            disrupted=False,
        )
        record = play(plan)
        self.assertEqual([], record.broken())
        self.assertEqual(0, record.returned_ids)
        self.assertGreaterEqual(record.revisits, MIN_REVISITS)

    def test_crashes(self) -> None:
        """A path is served again after crashes, one that crashes is bounded.

        Guards against refusals that nothing ends, and against trials without
        a bound.
        """
        plan = SoakPlan(
            seed=48,
            seconds=CRASHES_SECONDS,
            gateways=4,
            servers=16,
            callers=4,
            answers=('stated',),
            stale_entries=0,
            crashes=True,
            disruptions=(CRASH_DOMAIN,),
        )
        record = play(plan)
        self.assertEqual([], record.broken())
        self.assertEqual([], record.ended)
        self.assertGreaterEqual(record.plays['crashes_by_request'], 1)
        self.assertGreaterEqual(record.plays['popular_judged'], MIN_ANSWERS)

    def test_customers(self) -> None:
        """Keys are taken away from gateways that are cut off.

        Guards against keys and customers that servers should not see, keys
        that run too long, quotas that are exceeded, and answers to pipelined
        requests out of order.
        """
        plan = SoakPlan(
            seed=43,
            seconds=CUSTOMERS_SECONDS,
            gateways=4,
            servers=12,
            callers=20,
            pipelined=6,
            customers=True,
            disruptions=('revoke', 'revoke_cut_off', 'evacuate', 'freeze'),
        )
        record = play(plan)
        self.assertEqual([], record.broken())
        self.assertEqual([], record.unasked)
        self.assertEqual([], record.ended)
        for kind in ('revoked_answered', 'flood_429', 'unknown', 'gold_ran'):
            self.assertGreaterEqual(record.customers[kind], 1, kind)
        self.assertGreaterEqual(record.pipelined, MIN_ANSWERS)
