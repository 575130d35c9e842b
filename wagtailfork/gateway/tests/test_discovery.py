"""Removal of expired VMs from the list in the store."""

import attrs
import testtools

from ...core.clock import now_s
from ...fleet.member import Member
from ...fleet.members import MEMBER_EXPIRY_S
from .rig import Rig, run_scenario


FLEET = 12


class TestPrune(testtools.TestCase):
    """Expired VMs are removed from the list; running ones stay."""

    def test_only_expired_vms_are_removed(self) -> None:
        """Entries of other domains are left to the VMs there."""
        run_scenario(self._prune)

    async def _prune(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        node = rig.nodes[0]
        running = {one.membership.me.address for one in rig.nodes}
        expired = _make_vm('192.0.2.1:1', 'a')
        elsewhere = _make_vm('192.0.2.2:1', 'z')
        for member in (expired, elsewhere):
            await node.source.register_vm(member)
        await node.discovery.prune(now_s() + MEMBER_EXPIRY_S / 2)
        self.assertIn(expired.address, await _listed(rig))
        await node.source.deregister_vm(node.membership.me.address)
        await node.discovery.prune(now_s() + MEMBER_EXPIRY_S * 2)
        self.assertEqual(running | {elsewhere.address}, await _listed(rig))


class TestFirstStart(testtools.TestCase):
    """The whole fleet starts at once, before there are callers."""

    def test_few_calls_to_the_store(self) -> None:
        """One VM reads; the others register and at most list the VMs.

        Every VM read all topics, 5.6 calls for each of 98 VMs, as none knew
        its neighbours yet.
        """
        run_scenario(self._start_many)

    async def _start_many(self, rig: Rig) -> None:
        await rig.start(gateways=0)
        for number in range(FLEET):
            rig.add_gateway(f'vm-{number}', first_start=True)
        await rig.until(rig.all_connected)
        await rig.until(lambda: all(one.is_ready() for one in rig.nodes))
        calls = sorted(one.source.usage.calls for one in rig.nodes)
        self.assertLessEqual(calls[-2], 2)
        self.assertLess(sum(calls[:-1]), 2 * (FLEET - 1))


async def _listed(rig: Rig) -> set[str]:
    return {one.address for one in await rig.nodes[0].source.list_vms()}


def _make_vm(address: str, domain: str) -> Member:
    me = Member(
        address=address,
        caller_address=address,
        failure_domain=domain,
        region='r',
        incarnation=1,
    )
    return attrs.evolve(me, ready=True)
