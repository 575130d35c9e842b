"""Check that the load generator sends requests that run."""

import asyncio

import testtools

from ...tests.rig import CUSTOMERS, Rig
from .. import LoadPlan, run_load


class GeneratorTest(testtools.TestCase):
    """Send a small load through a deployment."""

    def test_outcomes_match_runs(self) -> None:
        """Regression: requests went to the load report path and ran nothing."""
        asyncio.run(self._check_outcomes())

    async def _check_outcomes(self) -> None:
        async with Rig(backend_count=2) as rig:
            plan = LoadPlan(
                directory=rig.entries[0].caller_address,
                service='payvend',
                customers=CUSTOMERS,
                rate=50,
                seconds=2,
                once_share=0.5,
            )
            result = await run_load(plan)
            runs = await rig.runs()
            self.assertGreater(len(runs), 0)
            self.assertEqual({'1000 ran': len(runs)}, dict(result.outcomes))
            keyed = [run['key'] for run in runs if run['key']]
            self.assertEqual(len(keyed), len(set(keyed)))
            self.assertGreater(len(keyed), 0)
