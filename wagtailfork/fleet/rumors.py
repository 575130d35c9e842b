"""Queue of membership changes that are each sent a limited number of times."""

import math
from typing import Final

import attrs

MAX_ROWS: Final = 6  # gossip rows per heartbeat


@attrs.define(eq=False)
class GossipQueue:
    """Track the send count of each change; the least sent go first.

    >>> queue = GossipQueue()
    >>> queue.add('a')
    >>> [queue.next_addresses(2) for _ in range(3)][-2:]
    [['a'], []]
    """

    _sends: dict[str, int] = attrs.field(factory=dict)

    def add(self, address: str) -> None:
        """Queue the change of a VM, with a send count of zero."""
        self._sends[address] = 0

    def next_addresses(self, member_count: int) -> list[str]:
        """Return the VMs to include in the next heartbeat."""
        if not self._sends:
            return []
        chosen = sorted(self._sends, key=self._sends.__getitem__)[:MAX_ROWS]
        # Heartbeats go to five VMs, so log2 rounds reach the fleet several
        # times over.
        send_limit = math.ceil(math.log2(member_count + 1))
        for address in chosen:
            self._sends[address] += 1
            if self._sends[address] >= send_limit:
                self._sends.pop(address)
        return chosen
