"""Membership rows of entry VMs, and rendezvous hashing over their addresses."""

import zlib
from collections.abc import Iterable

import attrs

from .position import NO_EDITION, START, Edition, Position


@attrs.frozen(kw_only=True)
class Member:
    """Describe one entry VM as it reports itself, or as reported down."""

    address: str  # IP address and port for traffic between VMs
    caller_address: str
    failure_domain: str
    region: str
    incarnation: int
    heartbeat_count: int = 0
    down: bool = False  # set by the VMs that monitor it
    ready: bool = False
    reads_store: bool = False  # reads the platform's store successfully
    stale: bool = False  # its configuration is confirmed too long ago
    edition: Edition = NO_EDITION  # of the configuration
    position: Position = START  # in the table of servers
    evacuations: Position = START  # of what it knows, if there ever was one

    def supersedes(self, other: 'Member') -> bool:
        """Return whether this row is newer than ``other``.

        A down report overrides the last heartbeat of a VM, and the next
        heartbeat of the VM overrides the report.
        """
        mine = (self.incarnation, self.heartbeat_count, self.down)
        return mine > (other.incarnation, other.heartbeat_count, other.down)


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """Hold the fields of a member that change within an incarnation."""

    address: str
    incarnation: int
    heartbeat_count: int
    ready: bool
    reads_store: bool
    edition: Edition
    position: Position
    stale: bool = False
    evacuations: Position = START

    def apply_to(self, known: Member) -> Member:
        """Return a known member with these fields updated."""
        return attrs.evolve(
            known,
            heartbeat_count=self.heartbeat_count,
            down=False,
            ready=self.ready,
            reads_store=self.reads_store,
            stale=self.stale,
            edition=self.edition,
            position=self.position,
            evacuations=self.evacuations,
        )


MemberRow = Member | MemberUpdate


def short_row(member: Member) -> MemberRow:
    """Return the short form of a member, or the member if it is down.

    >>> me = Member(address='10.0.0.1:1', caller_address='10.0.0.1:2',
    ...             failure_domain='a', region='r', incarnation=1,
    ...             heartbeat_count=7)
    >>> short_row(me).apply_to(me) == me
    True
    """
    if member.down:
        return member
    return MemberUpdate(
        address=member.address,
        incarnation=member.incarnation,
        heartbeat_count=member.heartbeat_count,
        ready=member.ready,
        reads_store=member.reads_store,
        stale=member.stale,
        edition=member.edition,
        position=member.position,
        evacuations=member.evacuations,
    )


def rendezvous(key: str, addresses: Iterable[str]) -> str | None:
    """Return the address with the highest rendezvous hash for a key.

    >>> rendezvous('a', ['10.0.0.1:1', '10.0.0.2:1']) in (
    ...     '10.0.0.1:1', '10.0.0.2:1')
    True
    """
    return max(addresses, key=lambda name: _score(key, name), default=None)


def rendezvous_rank(key: str, address: str, others: Iterable[str]) -> int:
    """Count the other addresses that rank before an address for a key.

    >>> ranks = [rendezvous_rank('k', one, 'abc') for one in 'abc']
    >>> sorted(ranks)
    [0, 1, 2]
    """
    mine = _score(key, address)
    return sum(_score(key, other) > mine for other in others)


def _score(key: str, address: str) -> tuple[int, str]:
    return zlib.crc32(f'{key} {address}'.encode()), address
