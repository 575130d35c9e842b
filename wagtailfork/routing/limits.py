"""Limits of customers, held by all entry VMs together.

Each VM applies its part of a limit: the part of the calls that come to it.
Peers hear of each other's demand with their heartbeats, so a limit moves
with its callers and no call waits for a message.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from ..control.objects import Limit
from .fairness import TokenBucket

ADJUST_EVERY_S: Final = 0.25
LEAST_BURST: Final = 4.0  # calls at each VM, where the limit allows it
MAX_TOLD: Final = 16  # limits in one heartbeat, those in greatest demand
_WEIGHT: Final = 0.5  # of the last period in the demand
_FLOOR: Final = 0.01  # of a limit, kept by each VM for its first callers


@attrs.define
class _Held:
    limit: Limit
    bucket: TokenBucket
    asked: int = 0  # calls since the last adjustment, refused ones too
    demand: float = 0  # calls a second


@attrs.define
class FleetLimits:
    """Apply this VM's parts of the limits.

    >>> limits = FleetLimits()
    >>> limit = Limit(customer='clerk', service='stockd', calls_per_s=1)
    >>> limits.replace({'slow': limit})
    >>> [limits.take('clerk', 'stockd', now=0) for _ in range(2)]
    [True, False]
    >>> limits.take('kiosk', 'stockd', now=0)
    True
    """

    _by_name: dict[str, _Held] = attrs.field(factory=dict)
    _by_pair: dict[tuple[str, str], _Held] = attrs.field(factory=dict)
    _active: set[str] = attrs.field(factory=set)
    _adjusted_at: float = 0

    def replace(self, limits: Mapping[str, Limit]) -> None:
        """Take the limits by name and keep the level of those unchanged."""
        kept = self._by_name
        self._by_name = {}
        self._by_pair = {}
        for name, limit in limits.items():
            held = kept.get(name)
            if held is None or held.limit != limit:
                bucket = TokenBucket(limit.calls_per_s, limit.burst)
                held = _Held(limit, bucket)
            self._by_name[name] = held
            self._by_pair[limit.customer, limit.service] = held
        self._active = set(self._by_name)

    def take(self, customer: str, service: str, now: float) -> bool:
        """Tell whether one more call is within its limit."""
        held = self._by_pair.get((customer, service))
        if held is None:
            return True
        held.asked += 1
        return held.bucket.take(now)

    def demands(self) -> dict[str, float]:
        """Give the demand by limit, for the peers, the greatest first."""
        found = {
            name: round(held.demand, 2)
            for name, held in self._by_name.items()
            if held.demand > held.limit.calls_per_s * _FLOOR
        }
        names = sorted(found, key=lambda name: -found[name])
        return {name: found[name] for name in names[:MAX_TOLD]}

    def adjust(self, peers: Sequence[Mapping[str, float]], now: float) -> None:
        """Set this VM's parts by the last demands of all listed peers.

        A peer that is cut off keeps its part as long as it is listed, so
        two halves of a fleet do not pass the limit twice.
        """
        passed_s = now - self._adjusted_at
        if passed_s < ADJUST_EVERY_S:
            return
        self._adjusted_at = now
        others: collections.Counter[str] = collections.Counter()
        for demands in peers:
            others.update(demands)
        for name in self._concerned(others):
            held = self._by_name[name]
            _note_demand(held, passed_s)
            _set_part(held, others[name], len(peers) + 1, now)
            if not held.demand:
                self._active.discard(name)

    def _concerned(self, others: Iterable[str]) -> list[str]:
        asked = {name for name, held in self._by_name.items() if held.asked}
        self._active |= asked
        return sorted((self._active | set(others)) & self._by_name.keys())


def _note_demand(held: _Held, passed_s: float) -> None:
    moved = held.asked / passed_s - held.demand
    held.demand += moved * _WEIGHT
    held.asked = 0
    if held.demand < held.limit.calls_per_s * _FLOOR * _FLOOR:
        held.demand = 0


def _set_part(held: _Held, others: float, vms: int, now: float) -> None:
    limit = held.limit
    floor = limit.calls_per_s * _FLOOR
    part = (held.demand + floor) / (held.demand + others + floor * vms)
    # Calls bunch at a VM that has few of them, far below the limit too.
    burst = max(limit.burst * part, min(limit.burst, LEAST_BURST))
    held.bucket.adjust(limit.calls_per_s * part, burst, now)
