"""Check the lending policy against the bounds of issue 5 in seeded runs."""

from typing import Any

import testtools

from ..experiment import POLICY_SETUPS, run_experiment
from ..scenarios import BROLLYBOX, SCENARIOS

CALLS = 6000
SEED = 7
P99_RATIO_LIMIT = 1.15  # relative to the central queue
P99_9_RATIO_LIMIT = 1.5
QUIET_RATIO_LIMIT = 1.2


def run(scenario: str, policy: str) -> dict[str, Any]:
    """Return the result row of one policy in one scenario."""
    setup = next(each for each in POLICY_SETUPS if each.name == policy)
    load_scenario = next(each for each in SCENARIOS if each.name == scenario)
    return run_experiment(BROLLYBOX, load_scenario, setup, CALLS, SEED)


class LendingTest(testtools.TestCase):
    """Compare slot lending with the central queue and other policies."""

    def test_close_to_central_queue(self) -> None:
        """Stay within the bounds with steady load, a straggler and a rush."""
        for scenario in ('steady-85', 'straggler-85', 'rush-28-85'):
            ideal = run(scenario, 'central')
            lent = run(scenario, 'lending')
            self.assertEqual(1, lent['answered'])
            self.assertLessEqual(
                lent['p99_ms'], P99_RATIO_LIMIT * ideal['p99_ms']
            )
            self.assertLessEqual(
                lent['p99_9_ms'],
                P99_9_RATIO_LIMIT * ideal['p99_9_ms'],
            )

    def test_own_counts_refuse_requests(self) -> None:
        """Refuse calls at 85 % load with own counts over shedding servers."""
        self.assertLess(run('steady-85', 'least-own')['answered'], 1)

    def test_greedy_customer_at_three_vms(self) -> None:
        """Bound the quiet customer's p99 while another overloads three VMs."""
        ideal = run('steady-50', 'central')
        lent = run('greedy-150', 'lending')
        self.assertLessEqual(
            lent['quiet_p99_ms'],
            QUIET_RATIO_LIMIT * ideal['p99_ms'],
        )

    def test_no_load_requests(self) -> None:
        """Send no load requests to backend servers."""
        lent = run('steady-85', 'lending')
        self.assertEqual(0, lent['report_requests_per_s'])

    def test_same_seed_same_figures(self) -> None:
        """Return the same row for the same seed."""
        self.assertEqual(
            run('steady-70', 'lending'),
            run('steady-70', 'lending'),
        )
