"""Rate limits of customers, enforced by all entry VMs together.

Each VM applies its part of a limit, in proportion to the calls that arrive
there. Heartbeats carry each VM's demand to its peers, so the parts follow the
callers and no call waits for a message.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from ..control.objects import Limit
from .fairness import TokenBucket

ADJUST_INTERVAL_S: Final = 0.25
MIN_BURST_CALLS: Final = 4.0  # calls at each VM, if the limit allows it
MAX_REPORTED_LIMITS: Final = 16  # limits in one heartbeat, by greatest demand
_DEMAND_EWMA_WEIGHT: Final = 0.5  # of the last period in the average demand
# Share of a limit that each VM keeps for its first callers.
_MIN_SHARE: Final = 0.01


@attrs.define
class _LimitState:
    limit: Limit
    bucket: TokenBucket
    calls: int = 0  # since the last adjustment, refused ones included
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

    _by_name: dict[str, _LimitState] = attrs.field(factory=dict)
    _by_pair: dict[tuple[str, str], _LimitState] = attrs.field(factory=dict)
    _active: set[str] = attrs.field(factory=set)
    _last_adjusted_at: float = 0

    def replace(self, limits: Mapping[str, Limit]) -> None:
        """Set the limits by name; unchanged ones keep their bucket level."""
        kept = self._by_name
        self._by_name = {}
        self._by_pair = {}
        for name, limit in limits.items():
            state = kept.get(name)
            if state is None or state.limit != limit:
                bucket = TokenBucket(limit.calls_per_s, limit.burst)
                state = _LimitState(limit, bucket)
            self._by_name[name] = state
            self._by_pair[limit.customer, limit.service] = state
        self._active = set(self._by_name)

    def take(self, customer: str, service: str, now: float) -> bool:
        """Take a token for one call; return whether its limit allows it."""
        state = self._by_pair.get((customer, service))
        if state is None:
            return True
        state.calls += 1
        return state.bucket.take(now)

    def demands(self) -> dict[str, float]:
        """Return the demand by limit for the heartbeat, the greatest first."""
        found = {
            name: round(state.demand, 2)
            for name, state in self._by_name.items()
            if state.demand > state.limit.calls_per_s * _MIN_SHARE
        }
        names = sorted(found, key=lambda name: -found[name])
        return {name: found[name] for name in names[:MAX_REPORTED_LIMITS]}

    def adjust(self, peers: Sequence[Mapping[str, float]], now: float) -> None:
        """Set this VM's parts from the last demands of all listed peers.

        A partitioned peer keeps its part as long as it is listed, so that the
        two sides of a partition do not admit the limit twice.
        """
        elapsed_s = now - self._last_adjusted_at
        if elapsed_s < ADJUST_INTERVAL_S:
            return
        self._last_adjusted_at = now
        others: collections.Counter[str] = collections.Counter()
        for demands in peers:
            others.update(demands)
        for name in self._to_adjust(others):
            state = self._by_name[name]
            _update_demand(state, elapsed_s)
            _set_part(state, others[name], len(peers) + 1, now)
            if not state.demand:
                self._active.discard(name)

    def _to_adjust(self, others: Iterable[str]) -> list[str]:
        called = {name for name, state in self._by_name.items() if state.calls}
        self._active |= called
        return sorted((self._active | set(others)) & self._by_name.keys())


def _update_demand(state: _LimitState, elapsed_s: float) -> None:
    change = state.calls / elapsed_s - state.demand
    state.demand += change * _DEMAND_EWMA_WEIGHT
    state.calls = 0
    if state.demand < state.limit.calls_per_s * _MIN_SHARE * _MIN_SHARE:
        state.demand = 0


def _set_part(state: _LimitState, others: float, vms: int, now: float) -> None:
    limit = state.limit
    floor = limit.calls_per_s * _MIN_SHARE
    part = (state.demand + floor) / (state.demand + others + floor * vms)
    # At a VM with few calls they arrive in bursts, even far below the limit.
    burst = max(limit.burst * part, min(limit.burst, MIN_BURST_CALLS))
    state.bucket.adjust(limit.calls_per_s * part, burst, now)
