"""Hash ring that assigns monitors to the VMs of a failure domain."""

import zlib
from collections.abc import Iterable
from typing import Final

import attrs

MONITOR_COUNT: Final = 4  # if all fail together, detection is delayed


def _ring_key(address: str) -> tuple[int, str]:
    return zlib.crc32(address.encode()), address


@attrs.define(eq=False)
class Ring:
    """Order VMs in a ring by the hash of their addresses.

    >>> ring = Ring('a')
    >>> ring.update(['b', 'c'])
    >>> sorted(ring.successors()) == sorted(ring.predecessors())
    True
    >>> ring.update(str(number) for number in range(20))
    >>> len(ring.successors()), len(ring.predecessors())
    (4, 4)
    """

    me: str
    _order: list[str] = attrs.field(init=False)
    _index: int = 0

    def __attrs_post_init__(self) -> None:
        """Create a ring with one position."""
        self._order = [self.me]

    def update(self, others: Iterable[str]) -> None:
        """Replace the other VMs of the ring."""
        self._order = sorted({self.me, *others}, key=_ring_key)
        self._index = self._order.index(self.me)

    def successors(self) -> list[str]:
        """Return the VMs that monitor this one."""
        return self._nearest(1)

    def predecessors(self) -> list[str]:
        """Return the VMs that this one monitors."""
        return self._nearest(-1)

    def _nearest(self, direction: int) -> list[str]:
        size = len(self._order)
        count = min(MONITOR_COUNT, size - 1)
        return [
            self._order[(self._index + direction * step) % size]
            for step in range(1, count + 1)
        ]
