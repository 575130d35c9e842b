"""The dealer of a service's slots, which lends each to one entry VM at a time.

The live entry VMs of a region select the dealer of a service by hashing. Its
state is soft: a new dealer collects it from the holders, and backend servers
shed the requests of a slot that was lent twice meanwhile.
"""

import collections
import hashlib
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..peers.messages import (
    Message,
    SlotGrant,
    SlotRecall,
    SlotReturn,
    SlotsHeld,
    SlotWant,
)
from .virtual_times import VirtualTimes

COLLECT_REPORTS_S: Final = 0.3  # in which a new dealer collects reports
GRANT_LOST_AFTER_S: Final = 1.0  # after which a grant counts as lost
RECALL_INTERVAL_S: Final = 0.02
# After which the slots of a VM that answers no recall are lent again. A VM that
# runs answers within REPORT_INTERVAL_S of the share.
HOLDER_SILENT_AFTER_S: Final = 0.25
CONTENTION_S: Final = 0.05  # for which an unmet want prevents parking

Outgoing = list[tuple[str, Message]]


def dealer_of(service: str, members: Iterable[str]) -> str:
    """Return the dealer of a service, chosen by rendezvous hashing.

    >>> dealer_of('stockd', ['a', 'b']) in {'a', 'b'}
    True
    """
    return max(members, key=lambda name: _weight(service, name))


def _weight(service: str, name: str) -> bytes:
    return hashlib.blake2b(f'{service}/{name}'.encode()).digest()


@attrs.define
class _Want:
    lanes: dict[str, int]
    since: float


@attrs.define
class Dealer:
    """Lend the slots of one service's endpoints to entry VMs.

    >>> dealer = Dealer('stockd', collecting_until=0)
    >>> dealer.adjust_slots({'stockd.1': 1}, now=0)
    []
    >>> want = SlotWant(
    ...     service='stockd', lanes={'kiosk': 1}, served={}, waited_ms=0)
    >>> dealer.on_want('vm-a', want, now=1)[0][1].backends
    ['stockd.1']
    """

    service: str
    collecting_until: float
    _slots: dict[str, int] = attrs.field(factory=dict)
    _held: dict[str, collections.Counter[str]] = attrs.field(factory=dict)
    _wants: dict[str, _Want] = attrs.field(factory=dict)
    _virtual_times: VirtualTimes = attrs.field(factory=VirtualTimes)
    _sequence: dict[str, int] = attrs.field(factory=dict)
    _granted_at: dict[str, float] = attrs.field(factory=dict)
    _recalled_at: float = float('-inf')
    # Time of the first recall that a holder has not answered.
    _unanswered_since: dict[str, float] = attrs.field(factory=dict)
    _contended_until: float = float('-inf')

    def adjust_slots(self, slots: Mapping[str, int], now: float) -> Outgoing:
        """Store the slots of each usable endpoint."""
        self._slots = dict(slots)
        return self._serve(now)

    def adjust_members(self, members: Iterable[str], now: float) -> Outgoing:
        """Store the live entry VMs; slots held by others become free."""
        live = set(members)
        for gone in sorted(set(self._held) - live):
            self._held.pop(gone)
            self._unanswered_since.pop(gone, None)
        for gone in set(self._wants) - live:
            self._wants.pop(gone)
        for name in sorted(live):
            self._held.setdefault(name, collections.Counter())
        return self._serve(now)

    def on_want(self, holder: str, want: SlotWant, now: float) -> Outgoing:
        """Store a VM's queued requests; an empty want withdraws the last."""
        self._held.setdefault(holder, collections.Counter())
        self._unanswered_since.pop(holder, None)
        self._wants.pop(holder, None)
        self._virtual_times.count(want.served)
        if want.lanes:
            since = now - want.waited_ms / 1000
            self._wants[holder] = _Want(dict(want.lanes), since)
        return self._serve(now)

    def on_return(
        self, holder: str, returned: SlotReturn, now: float
    ) -> Outgoing:
        """Free returned slots."""
        self._unanswered_since.pop(holder, None)
        held = self._held.setdefault(holder, collections.Counter())
        held.subtract(returned.backends)
        self._held[holder] = +held
        return self._serve(now)

    def on_held(self, holder: str, report: SlotsHeld, now: float) -> Outgoing:
        """Store a holder's report, unless a grant to it is in transit."""
        self._unanswered_since.pop(holder, None)
        last_sequence = self._sequence.get(holder)
        granted_at = self._granted_at.get(holder, 0)
        is_outdated = (
            last_sequence is not None and report.sequence < last_sequence
        )
        if is_outdated and now - granted_at < GRANT_LOST_AFTER_S:
            return []
        self._sequence[holder] = report.sequence
        self._held[holder] = collections.Counter(report.backends)
        return self._serve(now)

    def _balance(self, now: float) -> collections.Counter[str]:
        """Count free slots by endpoint, below zero where too many are lent."""
        balance = collections.Counter(self._slots)
        for holder, held in self._held.items():
            if not self._is_silent(holder, now):
                balance.subtract(held)
        return balance

    def _is_silent(self, holder: str, now: float) -> bool:
        since = self._unanswered_since.get(holder, now)
        return now - since > HOLDER_SILENT_AFTER_S

    def _serve(self, now: float) -> Outgoing:
        if now < self.collecting_until:
            return []
        self._drop_silent_wants(now)
        balance = self._balance(now)
        free = +balance
        is_overcommitted = bool(-balance)
        grants: dict[str, list[str]] = {}
        self._virtual_times.start_waiting(self._waiting_customers())
        while free and self._wants:
            self._lend(self._next_holder(), free, grants)
        if self._wants:
            self._contended_until = now + CONTENTION_S
        if now >= self._contended_until:
            self._park(free, grants, now)
        granted = [
            self._grant(holder, names, now) for holder, names in grants.items()
        ]
        return granted + self._recall(now, is_overcommitted=is_overcommitted)

    def _drop_silent_wants(self, now: float) -> None:
        """Lend nothing to silent VMs, which ask again once they run."""
        for holder in tuple(self._wants):
            if self._is_silent(holder, now):
                self._wants.pop(holder)

    def _park(
        self,
        free: collections.Counter[str],
        grants: dict[str, list[str]],
        now: float,
    ) -> None:
        """Lend idle slots in advance to the VMs that hold the fewest."""
        heard = [name for name in self._held if not self._is_silent(name, now)]
        while free and heard:
            self._lend(min(heard, key=self._count_held), free, grants)

    def _next_holder(self) -> str:
        """Select the holder of the next slot and count it against its want."""
        customer = self._virtual_times.first(self._waiting_customers())
        self._virtual_times.expect(customer)
        candidates = [
            name for name, want in self._wants.items() if customer in want.lanes
        ]
        holder = min(candidates, key=self._count_held)
        lanes = self._wants[holder].lanes
        lanes[customer] -= 1
        if not lanes[customer]:
            lanes.pop(customer)
        if not lanes:
            self._wants.pop(holder)
        return holder

    def _waiting_customers(self) -> set[str]:
        return {name for want in self._wants.values() for name in want.lanes}

    def _lend(
        self,
        holder: str,
        free: collections.Counter[str],
        grants: dict[str, list[str]],
    ) -> None:
        # The endpoint with the most free slots is the least loaded one.
        name = max(free, key=lambda each: free[each] / self._slots[each])
        free[name] -= 1
        if not free[name]:
            free.pop(name)
        self._held[holder][name] += 1
        grants.setdefault(holder, []).append(name)

    def _grant(
        self,
        holder: str,
        names: list[str],
        now: float,
    ) -> tuple[str, Message]:
        self._granted_at[holder] = now
        sequence = self._sequence.get(holder, 0) + 1
        self._sequence[holder] = sequence
        grant = SlotGrant(
            service=self.service,
            backends=names,
            sequence=sequence,
        )
        return holder, grant

    def _recall(self, now: float, *, is_overcommitted: bool) -> Outgoing:
        if (
            not (self._wants or is_overcommitted)
            or now - self._recalled_at < RECALL_INTERVAL_S
        ):
            return []
        self._recalled_at = now
        waits = [want.since for want in self._wants.values()]
        since = min(waits, default=now)
        recall = SlotRecall(
            service=self.service,
            waited_ms=(now - since) * 1000,
            finish=self._virtual_times.lowest(self._waiting_customers()),
        )
        for holder, held in self._held.items():
            if held:
                self._unanswered_since.setdefault(holder, now)
        return [(name, recall) for name in self._held]

    def is_busy(self, now: float) -> bool:
        """Return whether a want is open or was until recently.

        A dealer that still collects reports counts as busy.
        """
        recent_until = self._contended_until + 2 * CONTENTION_S
        is_collecting = now < self.collecting_until + CONTENTION_S
        return bool(self._wants) or is_collecting or now < recent_until

    def tick(self, now: float) -> Outgoing:
        """Park idle slots if no want was open lately."""
        return self._serve(now)

    def _count_held(self, holder: str) -> int:
        return self._held[holder].total()
