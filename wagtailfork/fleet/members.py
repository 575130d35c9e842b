"""Gossip membership of the entry VMs and their failure detection state.

Each VM sends heartbeats to a few VMs of its failure domain, which monitor it
and report its failure to the others. Changes spread by gossip, so the traffic
per VM does not grow with the size of the fleet.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from .member import Member, MemberRow
from .ring import Ring
from .rumors import GossipQueue

HEARTBEAT_PERIOD_S: Final = 0.2  # five heartbeats per DOWN_TIMEOUT_S
DOWN_TIMEOUT_S: Final = 1.0  # without a heartbeat, for the monitors of a VM
# Time without updates after which a failure domain counts as down. A domain
# sends two heartbeats per second to each other domain of its region and one to
# each domain of other regions; receivers relay them one domain at a time.
SAME_REGION_DOWN_S: Final = 3.5
OTHER_REGION_DOWN_S: Final = 8.0
# Every VM relays the heartbeats of a store reader; three rounds reach all VMs.
READER_LEASE_S: Final = DOWN_TIMEOUT_S + 3 * HEARTBEAT_PERIOD_S
MEMBER_EXPIRY_S: Final = 900.0  # time until the entry of a down VM is removed


@attrs.define
class _Entry:
    member: Member
    updated_at_s: float  # last update, from any VM
    was_up: bool = False  # since this VM knows it
    heartbeat_at_s: float = 0  # last heartbeat from the VM itself


@attrs.define(eq=False)
class Membership:
    """Merge heartbeats and gossip into a table of all VMs."""

    me: Member
    disputed: bool = False  # another VM sent a wrong row about this one
    ring: Ring = attrs.field(init=False)
    gossip: GossipQueue = attrs.field(factory=GossipQueue)
    _table: dict[str, _Entry] = attrs.field(factory=dict)
    _alive: dict[str, dict[str, Member]] = attrs.field(factory=dict)
    _domain_updated_at_s: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create a ring that holds only this VM."""
        self.ring = Ring(self.me.address)

    # State of this VM.

    def advance(self, **changes: object) -> None:
        """Advance the heartbeat counter of this VM and change its fields."""
        self.me = attrs.evolve(
            self.me,
            heartbeat_count=self.me.heartbeat_count + 1,
            **changes,  # type: ignore[arg-type]
        )

    # Updates about other VMs.

    def merge(self, rows: list[MemberRow], now: float) -> list[Member]:
        """Merge newer rows and return the members that became alive.

        The first row describes the sender. A short row is ignored if its
        incarnation is unknown.
        """
        joined = []
        for row in rows:
            member = self._expand_row(row)
            if member is None:
                continue
            if member.address == self.me.address:
                self._check_own_row(member)
            elif self._apply_row(member, now):
                joined.append(member)
        if rows:
            self._record_heartbeat(rows[0].address, now)
        return joined

    def add_listed(self, members: Iterable[Member], now: float) -> None:
        """Add listed VMs as down until a heartbeat confirms them."""
        for member in members:
            if member.address == self.me.address:
                continue
            if member.address not in self._table:
                unconfirmed = attrs.evolve(member, down=True)
                self._table[member.address] = _Entry(unconfirmed, now)

    def mark_down(self, address: str, now: float) -> Member:
        """Mark a monitored VM as down and return its new row."""
        member = attrs.evolve(self._table[address].member, down=True)
        self._apply_row(member, now)
        return member

    def last_heartbeat_s(self, address: str) -> float:
        """Return the time of the last heartbeat from a VM itself."""
        return self._table[address].heartbeat_at_s

    def last_update_s(self, address: str) -> float:
        """Return the time of the last update about a known VM, from any VM."""
        return self._table[address].updated_at_s

    # Queries.

    def alive(self, now: float) -> list[Member]:
        """Return the other VMs that are up and in a reachable domain."""
        found: list[Member] = []
        for domain, members in self._alive.items():
            if self._is_reachable(domain, now):
                found.extend(members.values())
        return found

    def neighbours(self) -> list[Member]:
        """Return the other live VMs of this failure domain."""
        return list(self._own_domain().values())

    def store_readers(self, now: float) -> list[Member]:
        """Return the neighbours that hold an unexpired store reader lease."""
        return [
            one
            for one in self._own_domain().values()
            if one.reads_store
            and now - self._table[one.address].updated_at_s <= READER_LEASE_S
        ]

    def is_known(self, member: MemberRow) -> bool:
        """Return whether the table holds this incarnation of a VM."""
        entry = self._table.get(member.address)
        if entry is None:
            return False
        return entry.member.incarnation == member.incarnation

    def is_alive(self, address: str, incarnation: int) -> bool:
        """Return whether an incarnation of a VM is current and up."""
        entry = self._table.get(address)
        if entry is None or entry.member.down:
            return False
        return entry.member.incarnation == incarnation

    def is_neighbour(self, address: str) -> bool:
        """Return whether an address is that of a live VM of this domain."""
        return address in self._own_domain()

    def is_up(self, address: str, now: float) -> bool:
        """Return whether an address is that of a live VM that is reachable."""
        entry = self._table.get(address)
        if entry is None or entry.member.down:
            return False
        return self._is_reachable(entry.member.failure_domain, now)

    def last_update_or_zero_s(self, address: str) -> float:
        """Return the time of the last update about any VM, 0 if unknown."""
        entry = self._table.get(address)
        return entry.updated_at_s if entry else 0

    def get(self, address: str) -> Member:
        """Return the row of a known VM."""
        return self._table[address].member

    def known_members(self) -> list[Member]:
        """Return all other VMs of the table, up or down."""
        return [one.member for one in self._table.values()]

    def unreachable(self, now: float) -> list[Member]:
        """Return the VMs that are down or in an unreachable domain."""
        return [
            one.member
            for one in self._table.values()
            if one.member.down
            or not self._is_reachable(one.member.failure_domain, now)
        ]

    def domains(self) -> dict[str, str]:
        """Return the regions of the failure domains that have VMs.

        A domain that cannot be reached at present is included.
        """
        found = {self.me.failure_domain: self.me.region}
        for domain, members in self._alive.items():
            for member in members.values():
                found[domain] = member.region
                break
        return found

    def count_lost(self, now: float, within_s: float) -> int:
        """Count the VMs of this domain that went down recently."""
        return sum(
            entry.member.down
            and entry.was_up
            and now - entry.updated_at_s <= within_s
            for entry in self._table.values()
            if entry.member.failure_domain == self.me.failure_domain
        )

    def in_domain(self, domain: str, now: float) -> list[Member]:
        """Return the live VMs of a failure domain, including this one."""
        found: list[Member] = []
        if self._is_reachable(domain, now):
            found.extend(self._alive.get(domain, {}).values())
        if self.me.failure_domain == domain:
            found.append(self.me)
        return found

    def other_domains(self, now: float) -> dict[str, list[str]]:
        """Return the addresses of live VMs per other failure domain."""
        return {
            domain: list(members)
            for domain, members in self._alive.items()
            if members
            and domain != self.me.failure_domain
            and self._is_reachable(domain, now)
        }

    def count(self, now: float) -> int:
        """Count the live VMs, including this one."""
        return 1 + sum(
            len(members)
            for domain, members in self._alive.items()
            if self._is_reachable(domain, now)
        )

    def known_count(self) -> int:
        """Count the VMs of the table, up or down, including this one."""
        return 1 + len(self._table)

    def recent_count(self, now: float, within_s: float) -> int:
        """Count the VMs that are up or were so long ago, with this one."""
        return 1 + sum(
            not one.member.down or now - one.updated_at_s < within_s
            for one in self._table.values()
        )

    def region_count(self, now: float) -> int:
        """Count the live VMs of this region, including this one."""
        return 1 + sum(one.region == self.me.region for one in self.alive(now))

    def remove_expired(self, now: float) -> list[Member]:
        """Remove and return VMs that have been down for ``MEMBER_EXPIRY_S``."""
        expired = [
            one.member
            for one in self._table.values()
            if one.member.down and now - one.updated_at_s > MEMBER_EXPIRY_S
        ]
        for member in expired:
            self._table.pop(member.address)
        return expired

    # Internals.

    def _own_domain(self) -> dict[str, Member]:
        return self._alive.get(self.me.failure_domain, {})

    def _is_reachable(self, domain: str, now: float) -> bool:
        if domain == self.me.failure_domain:
            return True
        members = self._alive.get(domain, {})
        one = next(iter(members.values()), None)
        same_region = one is not None and one.region == self.me.region
        limit_s = SAME_REGION_DOWN_S if same_region else OTHER_REGION_DOWN_S
        return (
            now - self._domain_updated_at_s.get(domain, -OTHER_REGION_DOWN_S)
            <= limit_s
        )

    def _expand_row(self, row: MemberRow) -> Member | None:
        if isinstance(row, Member):
            return row
        if row.address == self.me.address:
            return row.apply_to(
                attrs.evolve(self.me, incarnation=row.incarnation)
            )
        if self.is_known(row):
            return row.apply_to(self._table[row.address].member)
        return None

    def _check_own_row(self, claim: Member) -> None:
        """Detect a wrong row about this VM, for a heartbeat to refute."""
        mine = self.me
        if (claim.incarnation, claim.heartbeat_count) > (
            mine.incarnation,
            mine.heartbeat_count,
        ):
            # The row is from a previous incarnation, numbered by a clock that
            # was ahead of the present one.
            self.me = attrs.evolve(mine, incarnation=claim.incarnation + 1)
            self.disputed = True
        elif claim.down and claim.incarnation == mine.incarnation:
            self.disputed = True

    def _apply_row(self, member: Member, now: float) -> bool:
        """Apply a row if it is newer; return whether the VM became alive."""
        entry = self._table.get(member.address)
        if entry is None:
            entry = _Entry(member, now)
            self._table[member.address] = entry
            changed = True
        elif member.supersedes(entry.member):
            changed = _has_state_change(member, entry.member)
            entry.member = member
            entry.updated_at_s = now
        else:
            return False
        if changed:
            self.gossip.add(member.address)
        entry.was_up = entry.was_up or not member.down
        return self._update_alive(member, now)

    def _update_alive(self, member: Member, now: float) -> bool:
        domain = member.failure_domain
        members = self._alive.setdefault(domain, {})
        was_alive = member.address in members
        if member.down:
            members.pop(member.address, None)
        else:
            members[member.address] = member
            self._domain_updated_at_s[domain] = now
        if domain == self.me.failure_domain and was_alive == member.down:
            self.ring.update(members)
        return not (was_alive or member.down)

    def _record_heartbeat(self, address: str, now: float) -> None:
        entry = self._table.get(address)
        if entry is not None:
            entry.heartbeat_at_s = now


def _has_state_change(member: Member, before: Member) -> bool:
    """Return whether more than the heartbeat counter differs."""
    return (
        member.incarnation,
        member.down,
        member.ready,
        member.stale,
        member.reads_store,
    ) != (
        before.incarnation,
        before.down,
        before.ready,
        before.stale,
        before.reads_store,
    )
