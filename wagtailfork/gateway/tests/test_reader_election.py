"""Selection of the VMs of a failure domain that follow the store."""

from unittest import mock

import testtools

from ...bench.membership import make_member
from ...fleet.members import Membership
from .. import reader_election
from ..reader_election import (
    TAKEOVER_DELAY_S,
    TAKEOVER_STEP_S,
    ReaderElection,
)

VMS = 28
REMOVAL_LIMIT_S = 3.0  # the users' limit for removing servers that leave


def _never_reading() -> bool:
    return False


def make_readers() -> list[ReaderElection]:
    """Return the readers of a domain whose VMs all know each other."""
    members = [make_member('a', number) for number in range(VMS)]
    readers = []
    for me in members:
        membership = Membership(me)
        membership.merge([one for one in members if one is not me], 0)
        readers.append(
            ReaderElection(
                membership=membership,
                reads_store=_never_reading,
                reads_from_s=0,
            )
        )
    return readers


def count_readers_at(readers: list[ReaderElection], now: float) -> int:
    """Count the VMs that follow the store at a time."""
    with mock.patch.object(reader_election, 'now_s', lambda: now):
        return sum(reader.should_read() for reader in readers)


class TestTakeOver(testtools.TestCase):
    """One VM reads; the others take over step by step."""

    def test_first_reads_alone(self) -> None:
        """No other VM reads before the takeover delay has passed."""
        readers = make_readers()
        self.assertEqual(1, count_readers_at(readers, 0.1))
        self.assertEqual(1, count_readers_at(readers, 0.1 + TAKEOVER_DELAY_S))

    def test_others_take_over_in_steps(self) -> None:
        """If no VM reports reading, twice as many try after each step."""
        readers = make_readers()
        count_readers_at(readers, 0)
        seen = [
            count_readers_at(
                readers, 0.01 + TAKEOVER_DELAY_S + step * TAKEOVER_STEP_S
            )
            for step in range(5)
        ]
        self.assertEqual([2, 4, 8, 16, VMS], seen)

    def test_all_have_tried_within_the_bound(self) -> None:
        """All VMs have tried, even if the store rejects most of them."""
        readers = make_readers()
        count_readers_at(readers, 0)
        self.assertEqual(VMS, count_readers_at(readers, REMOVAL_LIMIT_S / 2))
