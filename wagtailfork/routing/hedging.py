"""When a second copy of a slow request may be sent, and how often."""

from typing import Final

import attrs

from .budget import RetryBudget

FIRST_DELAY_S: Final = 0.05
LEAST_DELAY_S: Final = 0.001
LAST_DELAY_S: Final = 1.0
_QUANTILE: Final = 0.95  # of answers come before a hedge
_STEP: Final = 0.05  # by which one answer moves the delay, of itself


@attrs.define
class Hedging:
    """Follow one service's answer times and spend its hedging budget.

    >>> hedging = Hedging(percent=5)
    >>> for _ in range(1000):
    ...     hedging.note(0.01)
    >>> 0.009 < hedging.delay_s < 0.012
    True
    >>> [hedging.spend() for _ in range(4)]
    [True, True, True, False]
    """

    percent: float  # of requests that may have a second copy
    delay_s: float = FIRST_DELAY_S
    hedges: int = 0
    _budget: RetryBudget = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the floor of the budget."""
        self._budget = RetryBudget(self.percent)

    def earn(self) -> None:
        """Count one request."""
        self._budget.earn()

    def spend(self) -> bool:
        """Take one hedge if the budget has it."""
        if not self._budget.spend():
            return False
        self.hedges += 1
        return True

    def note(self, took_s: float) -> None:
        """Move the delay towards the quantile of the answer times."""
        moved = _QUANTILE if took_s > self.delay_s else _QUANTILE - 1
        delay_s = self.delay_s * (1 + _STEP * moved)
        self.delay_s = min(LAST_DELAY_S, max(LEAST_DELAY_S, delay_s))
