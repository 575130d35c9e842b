"""A weighted fair queue over customers, and token-bucket limits."""

import collections
from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import attrs

Item = TypeVar('Item')


@attrs.define
class _Lane(Generic[Item]):
    waiting: collections.deque[Item] = attrs.field(factory=collections.deque)
    finish: float = 0


def _finish_of(lane: _Lane[Any]) -> float:
    return lane.finish


@attrs.define
class FairQueue(Generic[Item]):
    """Hand out items by start-time fair queueing over customers.

    A customer's backlog delays its own items and nobody else's.

    >>> queue = FairQueue()
    >>> for item in ('a1', 'a2', 'a3'):
    ...     queue.push('a', 1, item)
    >>> queue.push('b', 1, 'b1')
    >>> [queue.pop_first(lambda item: True) for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    _lanes: dict[str, _Lane[Item]] = attrs.field(factory=dict)
    _weights: dict[str, float] = attrs.field(factory=dict)
    _clock: float = 0
    _size: int = 0

    def __len__(self) -> int:
        """Count the items waiting."""
        return self._size

    def backlog(self, customer: str) -> int:
        """Count the items of one customer."""
        lane = self._lanes.get(customer)
        return len(lane.waiting) if lane else 0

    def customers(self) -> int:
        """Count the customers with items waiting."""
        return len(self._lanes)

    def push(self, customer: str, weight: float, item: Item) -> None:
        """Add an item to its customer's lane."""
        lane = self._lanes.get(customer)
        if lane is None:
            lane = _Lane(finish=self._clock)
            self._lanes[customer] = lane
        self._weights[customer] = weight
        lane.waiting.append(item)
        self._size += 1

    def pop_first(self, usable: Callable[[Item], bool]) -> Item | None:
        """Take the first usable item in fair order, None if there is none."""
        for customer, lane in self._in_order():
            if not usable(lane.waiting[0]):
                continue
            item = lane.waiting.popleft()
            self._clock = max(self._clock, lane.finish)
            lane.finish += 1 / self._weights[customer]
            self._after_removal(customer, lane)
            return item
        return None

    def pop_longest(self) -> Item | None:
        """Take the newest item of the customer with the longest backlog."""
        if not self._lanes:
            return None
        customer = max(
            self._lanes,
            key=lambda name: len(self._lanes[name].waiting),
        )
        lane = self._lanes[customer]
        item = lane.waiting.pop()
        self._after_removal(customer, lane)
        return item

    def first(self) -> Item | None:
        """Give the item that is next in fair order, without taking it."""
        lane = min(self._lanes.values(), key=_finish_of, default=None)
        return lane.waiting[0] if lane else None

    def backlogs(self) -> dict[str, int]:
        """Count the items by customer."""
        return {name: len(lane.waiting) for name, lane in self._lanes.items()}

    def heads(self) -> list[Item]:
        """Give the item of each customer that would be handed out first."""
        return [lane.waiting[0] for lane in self._lanes.values()]

    def discard(self, customer: str, item: Item) -> bool:
        """Take back an item that no longer waits."""
        lane = self._lanes.get(customer)
        if lane is None or item not in lane.waiting:
            return False
        lane.waiting.remove(item)
        self._after_removal(customer, lane)
        return True

    def _in_order(self) -> Iterator[tuple[str, _Lane[Item]]]:
        return iter(
            sorted(self._lanes.items(), key=lambda pair: pair[1].finish),
        )

    def _after_removal(self, customer: str, lane: _Lane[Item]) -> None:
        self._size -= 1
        if not lane.waiting:
            self._lanes.pop(customer)
            self._weights.pop(customer)


@attrs.define
class TokenBucket:
    """Allow so many calls a second with a burst.

    >>> bucket = TokenBucket(rate=1, burst=2)
    >>> [bucket.take(now=0) for _ in range(3)], bucket.take(now=1)
    ([True, True, False], True)
    """

    rate: float  # calls per second
    burst: float
    _level: float = attrs.field(init=False)
    _at: float = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Start full."""
        self._level = self.burst

    def adjust(self, rate: float, burst: float, now: float) -> None:
        """Go on at another rate and burst from ``now``."""
        self._fill(now)
        self.rate = rate
        self.burst = burst

    def take(self, now: float, amount: float = 1) -> bool:
        """Take tokens if there are enough at ``now``, seconds."""
        self._fill(now)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def _fill(self, now: float) -> None:
        grown = self._level + max(0, now - self._at) * self.rate
        self._level = min(self.burst, grown)
        self._at = max(self._at, now)
