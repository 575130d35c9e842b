"""This VM's share of the retries that a service allows."""

from collections import deque
from typing import Final

import attrs

from ..core.settings import RetryShare

# Share of the allowance used, since the count of VMs may be out of date.
USABLE_SHARE: Final = 0.85


@attrs.define
class RetryAllowance:
    """Allow retries as a share of the requests in a sliding window.

    ``slack`` is for all VMs together; each VM takes an equal part of it, from
    ``slack_from_s`` on.

    >>> allowance = RetryAllowance(ratio=0.5, slack=2, window_s=10)
    >>> [allowance.spend(now=0.0, vms=2) for _ in range(2)]
    [True, False]
    >>> for _ in range(2):
    ...     allowance.earn(now=1.0)
    >>> allowance.spend(now=1.0, vms=2), allowance.spend(now=1.0, vms=2)
    (True, False)
    >>> allowance = RetryAllowance(0, slack=1, window_s=10, slack_from_s=5)
    >>> allowance.spend(now=4.9, vms=1), allowance.spend(now=5.0, vms=1)
    (False, True)
    """

    ratio: float
    slack: float
    window_s: float
    slack_from_s: float = 0
    _earned: deque[float] = attrs.field(factory=deque)
    _spent: deque[float] = attrs.field(factory=deque)

    def earn(self, now: float) -> None:
        """Count one request of a caller."""
        self._earned.append(now)

    def has(self, now: float, vms: int, *, share: float = 1.0) -> bool:
        """Return whether this ``share`` of the allowance has a retry left."""
        self._drop_expired(now)
        return len(self._spent) + 1 <= share * self._limit(now, vms)

    def used(self, now: float, vms: int) -> float:
        """Return the share of the allowance that is spent."""
        self._drop_expired(now)
        limit = self._limit(now, vms)
        return len(self._spent) / limit if limit else 0

    def spend(self, now: float, vms: int, *, share: float = 1.0) -> bool:
        """Spend one retry if this ``share`` of the allowance has one left."""
        if not self.has(now, vms, share=share):
            return False
        self._spent.append(now)
        return True

    def _limit(self, now: float, vms: int) -> float:
        slack = self.slack if now >= self.slack_from_s else 0
        return self.ratio * len(self._earned) + slack / max(1, vms)

    def _drop_expired(self, now: float) -> None:
        for times in (self._earned, self._spent):
            while times and now - times[0] > self.window_s:
                times.popleft()


@attrs.define
class Allowances:
    """Hold an allowance for each service.

    A process that starts again has no part of the slack for one window: its
    predecessor may have spent it.
    """

    share: RetryShare
    slack_from_s: float = 0
    _by_service: dict[str, RetryAllowance] = attrs.field(factory=dict)

    def of(self, service: str) -> RetryAllowance:
        """Return the allowance of a service."""
        found = self._by_service.get(service)
        if found is None:
            found = RetryAllowance(
                ratio=self.share.ratio * USABLE_SHARE,
                slack=self.share.slack * USABLE_SHARE,
                window_s=self.share.window_s,
                slack_from_s=self.slack_from_s,
            )
            self._by_service[service] = found
        return found
