"""Who of a failure domain follows the store."""

from unittest import mock

import testtools

from ...bench.membership import make_member
from ...fleet.members import Membership
from .. import store_reader
from ..store_reader import (
    TAKEOVER_DELAY_S,
    TAKEOVER_STEP_S,
    StoreReader,
)

VMS = 28
BOUND_S = 3.0  # in which servers that leave must be known, by the users' sheet


def _not_yet() -> bool:
    return False


def make_readers() -> list[StoreReader]:
    """Give the VMs of one domain that all know each other."""
    members = [make_member('a', number) for number in range(VMS)]
    readers = []
    for me in members:
        membership = Membership(me)
        membership.merge([one for one in members if one is not me], 0)
        readers.append(
            StoreReader(
                membership=membership,
                is_reading=_not_yet,
                reads_from_s=0,
            )
        )
    return readers


def asked_at(readers: list[StoreReader], now: float) -> int:
    """Count the VMs that follow the store at a time."""
    with mock.patch.object(store_reader, 'now_s', lambda: now):
        return sum(reader.should_read() for reader in readers)


class TestTakeOver(testtools.TestCase):
    """One VM reads; the others take over step by step."""

    def test_first_reads_alone(self) -> None:
        """As long as there is time for it to be heard."""
        readers = make_readers()
        self.assertEqual(1, asked_at(readers, 0.1))
        self.assertEqual(1, asked_at(readers, 0.1 + TAKEOVER_DELAY_S))

    def test_others_follow_by_and_by(self) -> None:
        """If nobody is heard reading, twice as many try after each step."""
        readers = make_readers()
        asked_at(readers, 0)
        seen = [
            asked_at(readers, 0.01 + TAKEOVER_DELAY_S + step * TAKEOVER_STEP_S)
            for step in range(5)
        ]
        self.assertEqual([2, 4, 8, 16, VMS], seen)

    def test_all_have_tried_within_the_bound(self) -> None:
        """Even if the store turns most of them away."""
        readers = make_readers()
        asked_at(readers, 0)
        self.assertEqual(VMS, asked_at(readers, BOUND_S / 2))
