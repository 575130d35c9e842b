"""Explore interleavings of claims, messages, view changes and losses."""

from typing import Any

import attrs
import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from ...control.views import View
from ...peers import messages
from ..register import Register
from .machine import HOMES, RANGE, ClaimMachine


class UnreplicatedRegister(Register):
    """Grant without the other members' acknowledgement."""

    async def _replicate(self, *_message: Any) -> None:
        """Claim that the member has acknowledged."""


class ViewlessRegister(Register):
    """Store a claim without looking at the view it was made in."""

    async def serve_replicate(self, req: messages.Replicate) -> messages.Ack:
        """Acknowledge whatever comes."""
        held = self._ranges.get(req.range_id)
        if held is not None:
            held.table.store(req.slot, req.key, req.digest)
        return messages.Ack()


class GrantingRegister(Register):
    """Grant on while the table goes over."""

    async def serve_claim(self, req: messages.ClaimRequest) -> Any:
        """Forget the vow."""
        self._handed_to.pop(req.range_id, None)
        return await super().serve_claim(req)


class EmptyHandedRegister(Register):
    """Open a range that was handed over with an empty table."""

    def _open(self, range_id: str, view: View) -> None:
        self._dropped.discard(range_id)
        super()._open(range_id, attrs.evolve(view, handovers=0))


class GrantingMachine(ClaimMachine):
    """Run the same events without the vow."""

    register_class = GrantingRegister


class EmptyHandedMachine(ClaimMachine):
    """Run the same events without the handed table."""

    register_class = EmptyHandedRegister


class ForgetfulMachine(ClaimMachine):
    """Run the same events without acknowledgements."""

    register_class = UnreplicatedRegister


class ViewlessMachine(ClaimMachine):
    """Run the same events without views."""

    register_class = ViewlessRegister


def claim_across_views(machine: ClaimMachine) -> None:
    """Let the backup take over while a claim of the home is under way."""
    home, backup = HOMES[:2]
    machine.claim(home, 'k')
    machine.shrink(backup)
    machine.fold(backup)
    machine.claim(backup, 'k')
    machine.deliver(0)
    machine.deliver(0)
    machine.at_most_once()


def claim_across_handover(machine: ClaimMachine) -> None:
    """Claim before, during and after a handover by the home."""
    home = HOMES[0]
    machine.shrink(home)
    machine.fold(home)
    machine.claim(home, 'k')
    machine.hand_over(home)
    while machine.flights:
        machine.deliver(0)
    machine.claim(home, 'm')
    for name in HOMES[1:]:
        machine.fold(name)
        machine.fold(name)
    for key in ('k', 'm'):
        machine.claim(HOMES[1], key)
        while machine.flights:
            machine.deliver(0)
        machine.at_most_once()


def claim_under_way_at_handover(machine: ClaimMachine) -> None:
    """Let the old backup acknowledge a claim after the table has gone."""
    home, backup = HOMES[:2]
    machine.claim(home, 'k')
    machine.shrink(home)
    machine.fold(home)
    machine.hand_over(home)
    # The first one under way is the claim's own message to the backup; the
    # table reaches the backup alone.
    machine.deliver(1)
    machine.deliver(1)
    machine.lose(1)
    machine.deliver(0)
    machine.deliver(0)
    for name in HOMES[1:]:
        machine.fold(name)
        machine.fold(name)
    machine.claim(backup, 'k')
    while machine.flights:
        machine.deliver(0)
    machine.at_most_once()


def explore(machine: type[ClaimMachine], examples: int) -> None:
    """Explore a fixed sequence of histories."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


class RegisterTest(testtools.TestCase):
    """Check the claim protocol and that the check can fail."""

    def test_no_key_is_dispatched_twice(self) -> None:
        """Hold over every explored order of events."""
        explore(ClaimMachine, 300)

    def test_without_acknowledgement_it_breaks(self) -> None:
        """Find the double dispatch when members are not asked."""
        self.assertRaises(AssertionError, explore, ForgetfulMachine, 2000)

    def test_backup_follows_the_clock_of_slots(self) -> None:
        """Regression: in a young range the backup's slots ran ahead."""
        machine = ClaimMachine()
        home, backup = HOMES[:2]
        machine.claim(home, 'k')
        machine.deliver(0)
        slots = [
            machine.registers[name].current_slot(RANGE)
            for name in (home, backup)
        ]
        self.assertEqual([0, 0], slots)
        machine.teardown()

    def test_handover_keeps_every_claim(self) -> None:
        """Grant old keys never again and new keys at the next member."""
        machine = ClaimMachine()
        claim_across_handover(machine)
        self.assertEqual({'k': 1, 'm': 1}, machine.dispatches)
        machine.teardown()

    def test_claim_under_way_at_a_handover(self) -> None:
        """Regression: an acknowledgement after the vow granted a key."""
        machine = ClaimMachine()
        claim_under_way_at_handover(machine)
        self.assertEqual(1, sum(machine.dispatches.values()))
        machine.teardown()

    def test_without_the_vow_it_breaks(self) -> None:
        """Find the double dispatch when the leaving VM still grants."""
        machine = GrantingMachine()
        self.assertRaises(AssertionError, claim_across_handover, machine)
        machine.teardown()

    def test_without_the_handed_table_it_breaks(self) -> None:
        """Find the double dispatch when the next member knows nothing."""
        machine = EmptyHandedMachine()
        self.assertRaises(AssertionError, claim_across_handover, machine)
        machine.teardown()

    def test_old_view_can_not_grant(self) -> None:
        """Refuse a claim that was made before the backup took over."""
        machine = ClaimMachine()
        claim_across_views(machine)
        self.assertEqual({'k': 1}, machine.dispatches)
        machine.teardown()

    def test_without_views_it_breaks(self) -> None:
        """Find the double dispatch when an old view is still served."""
        machine = ViewlessMachine()
        self.assertRaises(AssertionError, claim_across_views, machine)
        machine.teardown()
