"""Token budgets for retries and for the link between regions."""

import asyncio
import time
from typing import Final

import attrs

_FLOOR_TOKENS: Final = 3.0  # lets a service with few requests retry
_MAX_TOKENS: Final = 50.0
_ROUNDING_TOLERANCE: Final = 1e-9


@attrs.define
class RetryBudget:
    """Earn a fraction of a retry with each request.

    >>> budget = RetryBudget(percent=10)
    >>> [budget.spend() for _ in range(4)]
    [True, True, True, False]
    >>> for _ in range(10):
    ...     budget.earn()
    >>> budget.spend()
    True
    """

    percent: float
    _tokens: float = _FLOOR_TOKENS

    def earn(self) -> None:
        """Add the earnings of one request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.percent / 100)

    def spend(self) -> bool:
        """Spend one retry if the budget allows it."""
        # Ten times 0.1 sums to slightly less than 1 in binary floating point.
        if self._tokens < 1 - _ROUNDING_TOLERANCE:
            return False
        self._tokens -= 1
        return True


@attrs.define
class LinkBudget:
    """Bound the bytes per second that this VM sends to other regions.

    Bytes, headers included, are charged as they are sent, so the level may
    become negative. The link is then closed to new requests until the level
    has recovered, and bodies in transit wait between chunks.

    >>> budget = LinkBudget(bytes_per_s=100)
    >>> budget.charge(250, now=0)
    >>> budget.wait_s(now=1), budget.is_open(now=1), budget.is_open(now=2)
    (0.5, False, True)
    """

    bytes_per_s: float
    _level: float = attrs.field(init=False)
    _at: float = attrs.field(init=False, default=0)
    charged: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with one second's worth of bytes."""
        self._level = self.bytes_per_s

    def is_open(self, now: float) -> bool:
        """Return whether another request may cross; ``now`` in seconds."""
        self._recover(now)
        return self._level > 0

    def wait_s(self, now: float) -> float:
        """Return the seconds until the budget is open again."""
        self._recover(now)
        return max(0, -self._level) / self.bytes_per_s

    async def pay(self, size: int) -> None:
        """Charge bytes sent and wait until the budget allows more."""
        self.charge(size, time.monotonic())
        wait_s = self.wait_s(time.monotonic())
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def charge(self, size: int, now: float) -> None:
        """Charge bytes sent."""
        self._recover(now)
        self._level -= size
        self.charged += size

    def _recover(self, now: float) -> None:
        elapsed_s = max(0, now - self._at)
        self._at = max(self._at, now)
        recovered = self._level + elapsed_s * self.bytes_per_s
        self._level = min(self.bytes_per_s, recovered)
