"""Virtual times by which a dealer orders customers."""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

MAX_REPORTED_CUSTOMERS: Final = 16  # customers in one message


@attrs.define
class VirtualTimes:
    """Order customers by start-time fair queueing on reported service.

    >>> times = VirtualTimes()
    >>> times.start_waiting({'a', 'b'})
    >>> times.count({'a': 5.0})
    >>> times.first({'a', 'b'})
    'b'
    """

    _finish: dict[str, float] = attrs.field(factory=dict)
    _expected: dict[str, int] = attrs.field(factory=dict)
    _virtual_now: float = 0

    def count(self, served: Mapping[str, float]) -> None:
        """Add the customers' service, which is already divided by weight."""
        for customer, amount in served.items():
            finish = self._finish.get(customer, self._virtual_now)
            self._finish[customer] = finish + amount
            self._expected.pop(customer, None)

    def start_waiting(self, waiting: Iterable[str]) -> None:
        """Assign the current virtual time to customers that begin to wait."""
        starts = []
        for customer in waiting:
            start = max(self._finish.get(customer, 0), self._virtual_now)
            self._finish[customer] = start
            starts.append(start)
        if starts:
            self._virtual_now = max(self._virtual_now, min(starts))
        for idle in [
            name for name, at in self._finish.items() if at < self._virtual_now
        ]:
            self._finish.pop(idle)
            self._expected.pop(idle, None)

    def expect(self, customer: str) -> None:
        """Count a slot lent for a customer until its VM reports the use."""
        self._expected[customer] = self._expected.get(customer, 0) + 1

    def first(self, waiting: Iterable[str]) -> str:
        """Return the customer with the lowest virtual time."""
        return min(sorted(waiting), key=self._at)

    def lowest(self, waiting: Iterable[str]) -> dict[str, float]:
        """Return the lowest virtual times of waiting customers."""
        ordered = sorted(waiting, key=self._at)
        return {
            name: self._at(name) for name in ordered[:MAX_REPORTED_CUSTOMERS]
        }

    def _at(self, customer: str) -> float:
        expected = self._expected.get(customer, 0)
        return self._finish.get(customer, self._virtual_now) + expected
