"""Which VM skips records that retention removed, and when none does."""

from typing import Any, cast

import attrs
import testtools

from ...control.fold import LogRecord
from ...control.follower import Follower
from ...control.log_client import Page
from ..gap_skipper import GapSkipper
from ..vm_list import ListedVm, VmListing

LAST_READ = 2
EARLIEST = 5


@attrs.frozen
class FakeHeartbeat:
    """Hold the offset that a peer told last."""

    offset: int


@attrs.frozen
class FakeLink:
    """Be a link to a peer that is up."""

    last_heartbeat: FakeHeartbeat | None


@attrs.frozen
class FakeMesh:
    """Hold the links that are up."""

    links: dict[str, FakeLink]

    def by_address(self, address: str) -> FakeLink | None:
        """Return the link to an address."""
        return self.links.get(address)


@attrs.frozen
class FakeVmList:
    """Hold a listing."""

    listing: VmListing


def make_follower(earliest: int) -> Follower:
    """Return a follower that then read an empty page of a trimmed log."""
    follower = Follower(cast(Any, None), 1)
    records = [
        LogRecord(offset=offset, time_ms=0, record='noise')
        for offset in range(LAST_READ + 1)
    ]
    for page in (
        Page(earliest=0, next=LAST_READ + 1, records=records),
        Page(earliest=earliest, next=earliest, records=[]),
    ):
        follower._apply_page(page)
    return follower


def make_skipper(
    peer_offset: int | None,
    own: str = 'vm0',
    earliest: int = EARLIEST,
) -> GapSkipper:
    """Return a skipper of a list of two VMs; None is a peer that is down."""
    listed = [
        ListedVm(
            name=name,
            role='entry',
            state='live',
            address=f'10.0.0.1:8{name[-1]}',
            peer_address=f'10.0.0.1:9{name[-1]}',
        )
        for name in ('vm0', 'vm1')
    ]
    peer = next(vm for vm in listed if vm.name != own)
    links = {}
    if peer_offset is not None:
        links[peer.peer_address] = FakeLink(FakeHeartbeat(peer_offset))
    return GapSkipper(
        own,
        make_follower(earliest),
        cast(Any, None),
        cast(Any, FakeMesh(links)),
        cast(Any, FakeVmList(VmListing(vms=listed))),
        1,
    )


class TestGapSkipper(testtools.TestCase):
    """A gap is skipped by one VM, if no other VM can fill it."""

    def test_gap_before_an_empty_page(self) -> None:
        """Regression: a VM that had missed records appended its old state."""
        self.assertTrue(make_follower(EARLIEST).in_gap)
        self.assertFalse(make_follower(LAST_READ + 1).in_gap)

    def test_one_vm_skips(self) -> None:
        """The first VM of the list skips a gap that no peer can fill."""
        self.assertTrue(make_skipper(LAST_READ).may_skip())
        self.assertTrue(make_skipper(-1).may_skip())
        self.assertFalse(make_skipper(LAST_READ, own='vm1').may_skip())

    def test_no_record_of_a_peer_is_skipped(self) -> None:
        """Skip nothing while a peer is ahead, or may be."""
        self.assertFalse(make_skipper(LAST_READ + 1).may_skip())
        self.assertFalse(make_skipper(None).may_skip())

    def test_nothing_is_skipped_without_a_gap(self) -> None:
        """Skip nothing if the next record is still in the log."""
        skipper = make_skipper(LAST_READ, earliest=LAST_READ + 1)
        self.assertFalse(skipper.may_skip())
