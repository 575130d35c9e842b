"""Decide whether this VM follows the store for its failure domain."""

from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.member import rendezvous, rendezvous_rank
from ..fleet.members import Membership

# In which a VM that starts is answered by neighbours that serve. If all start
# at once, each tenth of a second without a configuration costs a tenth of a
# second's callers; reads that one VM could have done for all cost less.
STARTUP_DELAY_S: Final = 0.15
TAKEOVER_DELAY_S: Final = 0.6  # time for the first VM to be heard reading
TAKEOVER_STEP_S: Final = 0.15  # an answer of the store, and to be heard
_KEY: Final = 'store-reader'


def _after_startup_delay() -> float:
    return now_s() + STARTUP_DELAY_S


@attrs.define(eq=False, kw_only=True)
class StoreReader:
    """Let one VM of a domain read; more only while none is heard to."""

    membership: Membership
    is_reading: Callable[[], bool]
    reads_from_s: float = attrs.field(factory=_after_startup_delay)
    _unread_since_s: float | None = None

    def should_read(self) -> bool:
        """Tell whether this VM follows the store now.

        The VM with the highest hash does; the others do so as well as long
        as no neighbour is heard to follow it with success.
        """
        now = now_s()
        if now < self.reads_from_s:
            return False
        reading = [one.address for one in self.membership.readers(now)]
        if reading:
            self._unread_since_s = None
            return self._is_first(reading) and self.is_reading()
        others = [one.address for one in self.membership.neighbours()]
        me = self.membership.me.address
        rank = rendezvous_rank(_KEY, me, others)
        return not rank or self._may_take_over(rank, now)

    def _is_first(self, others: list[str]) -> bool:
        me = self.membership.me.address
        return rendezvous(_KEY, [*others, me]) == me

    def _may_take_over(self, rank: int, now: float) -> bool:
        """Tell whether it is this VM's turn to take over.

        After each step twice as many try: those before may be turned away by
        the store, but not all VMs of a large domain need to find that out.
        """
        if self._unread_since_s is None:
            self._unread_since_s = now
        steps = rank.bit_length() - 1
        delay_s = TAKEOVER_DELAY_S + steps * TAKEOVER_STEP_S
        return now - self._unread_since_s > delay_s
