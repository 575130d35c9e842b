"""A retry budget as a share of traffic."""

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
