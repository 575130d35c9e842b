"""Delay and budget of hedged requests."""

from typing import Final

import attrs

from .budget import RetryBudget

INITIAL_DELAY_S: Final = 0.05
MIN_DELAY_S: Final = 0.001
MAX_DELAY_S: Final = 1.0
_QUANTILE: Final = 0.95  # of responses arrive before a hedged copy is sent
_RELATIVE_STEP: Final = 0.05  # relative change of the delay by one response


@attrs.define
class Hedging:
    """Track one service's response times and its hedging budget.

    >>> hedging = Hedging(percent=5)
    >>> for _ in range(1000):
    ...     hedging.record(0.01)
    >>> 0.009 < hedging.delay_s < 0.012
    True
    >>> [hedging.spend() for _ in range(4)]
    [True, True, True, False]
    """

    percent: float  # of requests that may have a hedged copy
    delay_s: float = INITIAL_DELAY_S
    hedges: int = 0
    _budget: RetryBudget = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the minimum level of the budget."""
        self._budget = RetryBudget(self.percent)

    def earn(self) -> None:
        """Add the earnings of one request."""
        self._budget.earn()

    def spend(self) -> bool:
        """Spend one hedged request if the budget allows it."""
        if not self._budget.spend():
            return False
        self.hedges += 1
        return True

    def record(self, took_s: float) -> None:
        """Move the delay towards the quantile of the response times."""
        direction = _QUANTILE if took_s > self.delay_s else _QUANTILE - 1
        delay_s = self.delay_s * (1 + _RELATIVE_STEP * direction)
        self.delay_s = min(MAX_DELAY_S, max(MIN_DELAY_S, delay_s))
