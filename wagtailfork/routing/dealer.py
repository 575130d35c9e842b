"""The dealer of a service's slots: lends each to one entry VM at a time.

A dealer is chosen for each service by hashing over the live entry VMs of a
region. What it knows is soft state: a new dealer learns it from the holders,
and a slot lent twice meanwhile is caught by the backend server's shed.
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
from .turns import FairTurns

LEARNING_S: Final = 0.3  # a new dealer first hears what is held
GRANT_ARRIVES_S: Final = 1.0  # after which it counts as lost
RECALL_EVERY_S: Final = 0.02
CONTENTION_S: Final = 0.05  # how long one unmet want keeps slots from parking

Outgoing = list[tuple[str, Message]]


def dealer_of(service: str, members: Iterable[str]) -> str:
    """Choose a service's dealer by rendezvous hashing.

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
    """Lend the slots of one service's endpoints.

    >>> dealer = Dealer('stockd', learning_until=0)
    >>> dealer.adjust_slots({'stockd.1': 1}, now=0)
    []
    >>> want = SlotWant(
    ...     service='stockd', lanes={'kiosk': 1}, served={}, waited_ms=0)
    >>> dealer.on_want('vm-a', want, now=1)[0][1].backends
    ['stockd.1']
    """

    service: str
    learning_until: float
    _slots: dict[str, int] = attrs.field(factory=dict)
    _held: dict[str, collections.Counter[str]] = attrs.field(factory=dict)
    _wants: dict[str, _Want] = attrs.field(factory=dict)
    _turns: FairTurns = attrs.field(factory=FairTurns)
    _sequence: dict[str, int] = attrs.field(factory=dict)
    _granted_at: dict[str, float] = attrs.field(factory=dict)
    _recalled_at: float = float('-inf')
    _contended_until: float = float('-inf')

    def adjust_slots(self, slots: Mapping[str, int], now: float) -> Outgoing:
        """Take the endpoints that may be used and their slots."""
        self._slots = dict(slots)
        return self._serve(now)

    def adjust_members(self, members: Iterable[str], now: float) -> Outgoing:
        """Take the live entry VMs; what the others held is free again."""
        live = set(members)
        for gone in sorted(set(self._held) - live):
            self._held.pop(gone)
        for gone in set(self._wants) - live:
            self._wants.pop(gone)
        for name in sorted(live):
            self._held.setdefault(name, collections.Counter())
        return self._serve(now)

    def on_want(self, holder: str, want: SlotWant, now: float) -> Outgoing:
        """Take what waits at a VM, none of it withdrawing the want."""
        self._held.setdefault(holder, collections.Counter())
        self._wants.pop(holder, None)
        self._turns.count(want.served)
        if want.lanes:
            since = now - want.waited_ms / 1000
            self._wants[holder] = _Want(dict(want.lanes), since)
        return self._serve(now)

    def on_return(self, holder: str, back: SlotReturn, now: float) -> Outgoing:
        """Take slots back."""
        held = self._held.setdefault(holder, collections.Counter())
        held.subtract(back.backends)
        self._held[holder] = +held
        return self._serve(now)

    def on_held(self, holder: str, told: SlotsHeld, now: float) -> Outgoing:
        """Take a holder's own count, unless a grant is on its way to it."""
        known = self._sequence.get(holder)
        granted_at = self._granted_at.get(holder, 0)
        is_behind = known is not None and told.sequence < known
        if is_behind and now - granted_at < GRANT_ARRIVES_S:
            return []
        self._sequence[holder] = told.sequence
        self._held[holder] = collections.Counter(told.backends)
        return self._serve(now)

    def _balance(self) -> collections.Counter[str]:
        """Count free slots by endpoint, below zero where too many are lent."""
        balance = collections.Counter(self._slots)
        for held in self._held.values():
            balance.subtract(held)
        return balance

    def _serve(self, now: float) -> Outgoing:
        if now < self.learning_until:
            return []
        balance = self._balance()
        free = +balance
        is_over = bool(-balance)
        grants: dict[str, list[str]] = {}
        self._turns.wake(self._waiting_customers())
        while free and self._wants:
            self._lend(self._next_holder(), free, grants)
        if self._wants:
            self._contended_until = now + CONTENTION_S
        while free and self._held and now >= self._contended_until:
            # Idle slots are parked where the fewest are, ready for use.
            holder = min(self._held, key=self._held_count)
            self._lend(holder, free, grants)
        sent = [
            self._grant(holder, names, now) for holder, names in grants.items()
        ]
        return sent + self._recall(now, is_over=is_over)

    def _next_holder(self) -> str:
        """Choose whose turn it is and take one request off its want."""
        customer = self._turns.first(self._waiting_customers())
        self._turns.expect(customer)
        asking = [
            name for name, want in self._wants.items() if customer in want.lanes
        ]
        holder = min(asking, key=self._held_count)
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

    def _recall(self, now: float, *, is_over: bool) -> Outgoing:
        if (
            not (self._wants or is_over)
            or now - self._recalled_at < RECALL_EVERY_S
        ):
            return []
        self._recalled_at = now
        waits = [want.since for want in self._wants.values()]
        since = min(waits, default=now)
        recall = SlotRecall(
            service=self.service,
            waited_ms=(now - since) * 1000,
            finish=self._turns.lowest(self._waiting_customers()),
        )
        return [(name, recall) for name in self._held]

    def is_busy(self, now: float) -> bool:
        """Tell whether something waits, or did until just now."""
        lately = self._contended_until + 2 * CONTENTION_S
        is_learning = now < self.learning_until + CONTENTION_S
        return bool(self._wants) or is_learning or now < lately

    def tick(self, now: float) -> Outgoing:
        """Park idle slots once nothing has waited for some time."""
        return self._serve(now)

    def _held_count(self, holder: str) -> int:
        return self._held[holder].total()
