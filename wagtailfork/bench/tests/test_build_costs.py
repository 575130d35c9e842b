"""Compare a build with itself, in one short round."""

import testtools

from ..build_costs import BuildPlan, compare_builds

INSTALLED = ''
PLAN = BuildPlan(
    checkouts=(INSTALLED, INSTALLED),
    rounds=1,
    requests=60,
    callers=2,
    seconds=0.2,
    settle_s=0.2,
)


class BuildCostsTest(testtools.TestCase):
    """Start gateway processes and send them requests in turns."""

    def test_one_build_twice(self) -> None:
        """Count the sends and connections of each kind of request."""
        rows = compare_builds(PLAN)
        found = {
            (row['what'], row['build']): float(row['median'].split(' ')[0])
            for row in rows
        }
        for build in (0, 1):
            for kind in ('look', 'same id', 'pay', 'upload', 'long answer'):
                self.assertEqual(1000, found[f'{kind}, sends for 1000', build])
            # A connection carries no id twice; some are left from before.
            opened = found['same id, opened for 1000', build]
            self.assertGreaterEqual(opened, 800)
            self.assertLess(found['pay, opened for 1000', build], 100)
            self.assertGreater(found['look, added p50 ms', build], 0)
            self.assertGreater(found['busy, requests a second', build], 0)
            self.assertGreater(found['idle, MB resident', build], 1)
        changes = [row['difference'] for row in rows]
        self.assertEqual([''], sorted(set(changes[::2])))
        self.assertNotIn('', changes[1::2])
