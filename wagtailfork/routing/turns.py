"""Virtual times by which a dealer gives customers their turns."""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

MAX_TOLD: Final = 16  # customers whose virtual time one message carries


@attrs.define
class FairTurns:
    """Follow start-time fair queueing over what the holders report.

    >>> turns = FairTurns()
    >>> turns.wake({'a', 'b'})
    >>> turns.count({'a': 5.0})
    >>> turns.first({'a', 'b'})
    'b'
    """

    _finish: dict[str, float] = attrs.field(factory=dict)
    _expected: dict[str, int] = attrs.field(factory=dict)
    _clock: float = 0

    def count(self, served: Mapping[str, float]) -> None:
        """Add what customers were served, by weight."""
        for customer, amount in served.items():
            now = self._finish.get(customer, self._clock)
            self._finish[customer] = now + amount
            self._expected.pop(customer, None)

    def wake(self, waiting: Iterable[str]) -> None:
        """Let customers that begin to wait start at the present time."""
        times = []
        for customer in waiting:
            started = max(self._finish.get(customer, 0), self._clock)
            self._finish[customer] = started
            times.append(started)
        if times:
            self._clock = max(self._clock, min(times))
        for idle in [
            name for name, at in self._finish.items() if at < self._clock
        ]:
            self._finish.pop(idle)
            self._expected.pop(idle, None)

    def expect(self, customer: str) -> None:
        """Count one slot lent for a customer until its VM reports it."""
        self._expected[customer] = self._expected.get(customer, 0) + 1

    def first(self, waiting: Iterable[str]) -> str:
        """Choose the customer whose turn it is."""
        return min(sorted(waiting), key=self._at)

    def lowest(self, waiting: Iterable[str]) -> dict[str, float]:
        """Give the virtual times of those whose turns come first."""
        ordered = sorted(waiting, key=self._at)
        return {name: self._at(name) for name in ordered[:MAX_TOLD]}

    def _at(self, customer: str) -> float:
        expected = self._expected.get(customer, 0)
        return self._finish.get(customer, self._clock) + expected
