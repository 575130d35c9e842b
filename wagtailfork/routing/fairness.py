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


def _get_finish(lane: _Lane[Any]) -> float:
    return lane.finish


@attrs.define
class FairQueue(Generic[Item]):
    """Dequeue items by start-time fair queueing over customers.

    A backlog of one customer delays only the items of that customer.

    >>> queue = FairQueue()
    >>> for item in ('a1', 'a2', 'a3'):
    ...     queue.push('a', 1, item)
    >>> queue.push('b', 1, 'b1')
    >>> [queue.pop_first(lambda item: True) for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    _lanes: dict[str, _Lane[Item]] = attrs.field(factory=dict)
    _weights: dict[str, float] = attrs.field(factory=dict)
    _virtual_now: float = 0
    _size: int = 0

    def __len__(self) -> int:
        """Count the queued items."""
        return self._size

    def backlog(self, customer: str) -> int:
        """Count the queued items of one customer."""
        lane = self._lanes.get(customer)
        return len(lane.waiting) if lane else 0

    def customers(self) -> int:
        """Count the customers with queued items."""
        return len(self._lanes)

    def push(self, customer: str, weight: float, item: Item) -> None:
        """Append an item to its customer's lane."""
        lane = self._lanes.get(customer)
        if lane is None:
            lane = _Lane(finish=self._virtual_now)
            self._lanes[customer] = lane
        self._weights[customer] = weight
        lane.waiting.append(item)
        self._size += 1

    def pop_first(self, usable: Callable[[Item], bool]) -> Item | None:
        """Remove and return the first usable item in fair order, if any."""
        for customer, lane in self._in_order():
            if not usable(lane.waiting[0]):
                continue
            item = lane.waiting.popleft()
            self._virtual_now = max(self._virtual_now, lane.finish)
            lane.finish += 1 / self._weights[customer]
            self._update_after_removal(customer, lane)
            return item
        return None

    def pop_longest(self) -> Item | None:
        """Remove the newest item of the customer with the longest backlog."""
        if not self._lanes:
            return None
        customer = max(
            self._lanes,
            key=lambda name: len(self._lanes[name].waiting),
        )
        lane = self._lanes[customer]
        item = lane.waiting.pop()
        self._update_after_removal(customer, lane)
        return item

    def first(self) -> Item | None:
        """Return the next item in fair order without removing it."""
        lane = min(self._lanes.values(), key=_get_finish, default=None)
        return lane.waiting[0] if lane else None

    def backlogs(self) -> dict[str, int]:
        """Count the queued items by customer."""
        return {name: len(lane.waiting) for name, lane in self._lanes.items()}

    def heads(self) -> list[Item]:
        """Return the first item of each customer."""
        return [lane.waiting[0] for lane in self._lanes.values()]

    def discard(self, customer: str, item: Item) -> bool:
        """Remove an item; return whether it was queued."""
        lane = self._lanes.get(customer)
        if lane is None or item not in lane.waiting:
            return False
        lane.waiting.remove(item)
        self._update_after_removal(customer, lane)
        return True

    def _in_order(self) -> Iterator[tuple[str, _Lane[Item]]]:
        return iter(
            sorted(self._lanes.items(), key=lambda pair: pair[1].finish),
        )

    def _update_after_removal(self, customer: str, lane: _Lane[Item]) -> None:
        self._size -= 1
        if not lane.waiting:
            self._lanes.pop(customer)
            self._weights.pop(customer)


@attrs.define
class TokenBucket:
    """Limit the rate of calls, with a burst.

    >>> bucket = TokenBucket(rate=1, burst=2)
    >>> [bucket.take(now=0) for _ in range(3)], bucket.take(now=1)
    ([True, True, False], True)
    """

    rate: float  # calls per second
    burst: float
    _level: float = attrs.field(init=False)
    _at: float = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._level = self.burst

    def adjust(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from ``now`` on, keeping the level."""
        self._fill(now)
        self.rate = rate
        self.burst = burst

    def take(self, now: float, amount: float = 1) -> bool:
        """Take tokens if there are enough at ``now``, in seconds."""
        self._fill(now)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def _fill(self, now: float) -> None:
        refilled = self._level + max(0, now - self._at) * self.rate
        self._level = min(self.burst, refilled)
        self._at = max(self._at, now)
