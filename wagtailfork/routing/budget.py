"""Budgets for retries and for the link between regions."""

import asyncio
import time
from typing import Final

import attrs

_FLOOR_TOKENS: Final = 3.0  # so that a quiet service can still retry
_MAX_TOKENS: Final = 50.0
_ROUNDING: Final = 1e-9


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
        """Count one request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.percent / 100)

    def spend(self) -> bool:
        """Take one retry if the budget has it."""
        # Ten earnings of a tenth sum to just under one in binary floats.
        if self._tokens < 1 - _ROUNDING:
            return False
        self._tokens -= 1
        return True


@attrs.define
class LinkBudget:
    """Bound the bytes a second that this VM sends to other regions.

    Bytes are charged as they pass, headers included, so the level may fall
    below zero; the link is closed to new requests until it has recovered,
    and bodies under way wait between their chunks.

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
        """Start with one second's worth."""
        self._level = self.bytes_per_s

    def is_open(self, now: float) -> bool:
        """Tell whether another request may cross, ``now`` in seconds."""
        self._recover(now)
        return self._level > 0

    def wait_s(self, now: float) -> float:
        """Give the seconds until the budget is open again."""
        self._recover(now)
        return max(0, -self._level) / self.bytes_per_s

    async def pay(self, size: int) -> None:
        """Count bytes that cross and wait until the budget allows more."""
        self.charge(size, time.monotonic())
        wait_s = self.wait_s(time.monotonic())
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def charge(self, size: int, now: float) -> None:
        """Count bytes that crossed."""
        self._recover(now)
        self._level -= size
        self.charged += size

    def _recover(self, now: float) -> None:
        passed = max(0, now - self._at)
        self._at = max(self._at, now)
        grown = self._level + passed * self.bytes_per_s
        self._level = min(self.bytes_per_s, grown)
