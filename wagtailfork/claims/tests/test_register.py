"""Test the claim protocol under interleaved events and message loss."""

from typing import Any

import attrs
import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from ...control.views import View
from ...peers import messages
from ..register import ClaimRegister
from .machine import INCARNATIONS, RANGE_ID, ClaimMachine


class UnreplicatedRegister(ClaimRegister):
    """Grant without the other members' acknowledgement."""

    async def _replicate(self, *_message: Any) -> None:
        """Return as if the member had acknowledged."""


class AnyViewRegister(ClaimRegister):
    """Store a claim without a check of its view."""

    async def handle_replicate(self, req: messages.Replicate) -> messages.Ack:
        """Acknowledge every claim."""
        record = self._ranges.get(req.range_id)
        if record is not None:
            record.table.store_replica(req.slot, req.key, req.digest)
        return messages.Ack()


class GrantAfterHandoverRegister(ClaimRegister):
    """Keep granting keys during and after a handover."""

    async def handle_claim(self, req: messages.ClaimRequest) -> Any:
        """Drop the record of the handover, then decide as usual."""
        self._handover_recipients.pop(req.range_id, None)
        return await super().handle_claim(req)


class EmptyTableRegister(ClaimRegister):
    """Open a handed-over range with an empty table."""

    def _open_range(self, range_id: str, view: View) -> None:
        self._dropped.discard(range_id)
        super()._open_range(range_id, attrs.evolve(view, handovers=0))


class GrantAfterHandoverMachine(ClaimMachine):
    """Run the events with grants after a handover."""

    register_class = GrantAfterHandoverRegister


class EmptyTableMachine(ClaimMachine):
    """Run the events with an empty table after a handover."""

    register_class = EmptyTableRegister


class UnreplicatedMachine(ClaimMachine):
    """Run the events without replication."""

    register_class = UnreplicatedRegister


class AnyViewMachine(ClaimMachine):
    """Run the events without view checks."""

    register_class = AnyViewRegister


def claim_across_views(machine: ClaimMachine) -> None:
    """Let the backup take over while the primary replicates a claim."""
    primary, backup = INCARNATIONS[:2]
    machine.claim(primary, 'k')
    machine.shrink(backup)
    machine.fold(backup)
    machine.claim(backup, 'k')
    machine.deliver(0)
    machine.deliver(0)
    machine.at_most_once()


def claim_across_handover(machine: ClaimMachine) -> None:
    """Claim keys before, during and after a handover by the primary."""
    primary = INCARNATIONS[0]
    machine.shrink(primary)
    machine.fold(primary)
    machine.claim(primary, 'k')
    machine.hand_over(primary)
    while machine.pending_calls:
        machine.deliver(0)
    machine.claim(primary, 'm')
    for name in INCARNATIONS[1:]:
        machine.fold(name)
        machine.fold(name)
    for key in ('k', 'm'):
        machine.claim(INCARNATIONS[1], key)
        while machine.pending_calls:
            machine.deliver(0)
        machine.at_most_once()


def claim_during_handover(machine: ClaimMachine) -> None:
    """Let the old backup acknowledge a claim after the handover."""
    primary, backup = INCARNATIONS[:2]
    machine.claim(primary, 'k')
    machine.shrink(primary)
    machine.fold(primary)
    machine.hand_over(primary)
    # Call 0 is the replication of the claim to the backup. The table (call 1)
    # reaches the backup only; the handover to the third VM is lost.
    machine.deliver(1)
    machine.deliver(1)
    machine.lose(1)
    machine.deliver(0)
    machine.deliver(0)
    for name in INCARNATIONS[1:]:
        machine.fold(name)
        machine.fold(name)
    machine.claim(backup, 'k')
    while machine.pending_calls:
        machine.deliver(0)
    machine.at_most_once()


def explore(machine: type[ClaimMachine], examples: int) -> None:
    """Run a deterministic sequence of event histories."""
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
    """Test the protocol, and that the check detects broken variants."""

    def test_no_key_is_dispatched_twice(self) -> None:
        """No explored order of events dispatches a key twice."""
        explore(ClaimMachine, 300)

    def test_unreplicated_grant_breaks_it(self) -> None:
        """The check detects a double dispatch without replication."""
        self.assertRaises(AssertionError, explore, UnreplicatedMachine, 2000)

    def test_backup_follows_slot_clock(self) -> None:
        """Regression: the backup's slots ran ahead in a new range."""
        machine = ClaimMachine()
        primary, backup = INCARNATIONS[:2]
        machine.claim(primary, 'k')
        machine.deliver(0)
        slots = [
            machine.registers[name].current_slot(RANGE_ID)
            for name in (primary, backup)
        ]
        self.assertEqual([0, 0], slots)
        machine.teardown()

    def test_handover_keeps_every_claim(self) -> None:
        """After a handover old keys stay claimed and new keys are granted."""
        machine = ClaimMachine()
        claim_across_handover(machine)
        self.assertEqual({'k': 1, 'm': 1}, machine.dispatches)
        machine.teardown()

    def test_claim_during_a_handover(self) -> None:
        """Regression: an acknowledgement after the handover granted a key."""
        machine = ClaimMachine()
        claim_during_handover(machine)
        self.assertEqual(1, sum(machine.dispatches.values()))
        machine.teardown()

    def test_granting_after_handover_breaks_it(self) -> None:
        """The check detects a leaving VM that still grants keys."""
        machine = GrantAfterHandoverMachine()
        self.assertRaises(AssertionError, claim_across_handover, machine)
        machine.teardown()

    def test_empty_table_after_handover_breaks_it(self) -> None:
        """The check detects a new member with an empty table."""
        machine = EmptyTableMachine()
        self.assertRaises(AssertionError, claim_across_handover, machine)
        machine.teardown()

    def test_old_view_cannot_grant(self) -> None:
        """A claim from before the failover is refused."""
        machine = ClaimMachine()
        claim_across_views(machine)
        self.assertEqual({'k': 1}, machine.dispatches)
        machine.teardown()

    def test_accepting_old_views_breaks_it(self) -> None:
        """The check detects a member that accepts claims of old views."""
        machine = AnyViewMachine()
        self.assertRaises(AssertionError, claim_across_views, machine)
        machine.teardown()
