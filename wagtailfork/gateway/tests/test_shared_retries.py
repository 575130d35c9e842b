"""The retries that all VMs share, while VMs are killed, cut off and started."""

from typing import Final

import testtools

from ...bench.membership import make_member
from ...core.clock import now_s
from ...core.settings import RetryShare
from ...fleet.members import Membership
from ...platform.adapter import make_gateway
from ...routing.allowance import Allowances
from .rig import Rig, run_scenario

VMS: Final = 12
SHARE: Final = RetryShare(ratio=0.2, slack=56, window_s=10)
SERVICE: Final = 'stock'
KILLED: Final = 7  # of the VMs, three in five


def _spend_all(allowances: Allowances, now: float, vms: int) -> int:
    """Spend what an allowance has; return how many retries it had."""
    spent = 0
    while allowances.of(SERVICE).spend(now, vms):
        spent += 1
    return spent


def _membership() -> Membership:
    """Return the table of a VM that knows all others."""
    membership = Membership(make_member('a', 0))
    membership.merge([make_member('a', number) for number in range(1, VMS)], 0)
    return membership


class TestSharedRetries(testtools.TestCase):
    """No order of kills, starts and cuts spends the slack twice."""

    def test_slack_is_not_spent_twice_by_killed_vms(self) -> None:
        """Killed VMs start again twice within one window."""
        spent = sum(_spend_all(Allowances(SHARE), 0, VMS) for _ in range(VMS))
        for kill_s in (1.5, 4.0):
            restarted = Allowances(SHARE, kill_s + SHARE.window_s)
            spent += KILLED * _spend_all(restarted, kill_s + 0.5, VMS)
        self.assertLessEqual(spent, SHARE.slack)

    def test_lost_vms_leave_no_slack_to_the_others(self) -> None:
        """Some VMs are killed after they have spent their part."""
        membership = _membership()
        for number in range(1, KILLED + 1):
            address = make_member('a', number).address
            membership.mark_down(address, 1)
        self.assertEqual(VMS - KILLED, membership.count(1))
        self.assertEqual(VMS, membership.known_count())

    def test_vm_that_is_cut_off_keeps_its_part(self) -> None:
        """It counts the VMs that it cannot reach."""
        membership = _membership()
        for other in membership.known_members():
            membership.mark_down(other.address, 12)
        spent = _spend_all(Allowances(SHARE), 12, membership.known_count())
        self.assertLessEqual(VMS * spent, SHARE.slack)

    def test_gateway_that_starts_again_has_no_slack(self) -> None:
        """Only the first start of the whole fleet has it at once."""
        run_scenario(self._start_again)

    async def _start_again(self, rig: Rig) -> None:
        for first_start in (True, False):
            cfg = rig.settings('vm0', first_start=first_start)
            allowance = make_gateway(cfg).allowances.of(SERVICE)
            self.assertEqual(first_start, allowance.has(now_s(), 1))
            later_s = now_s() + cfg.retries.window_s
            self.assertTrue(allowance.has(later_s, 1))
