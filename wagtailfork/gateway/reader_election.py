"""Decide which VMs of a failure domain follow the store."""

import math
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.member import rendezvous, rendezvous_rank
from ..fleet.members import Membership

# Time for serving neighbours to respond to the requests of a new VM. If all VMs
# start at once, requests fail until there is a configuration, so the delay is
# short: redundant reads of the store cost less.
STARTUP_DELAY_S: Final = 0.15
# When the whole fleet starts for the first time, no caller waits yet. All VMs
# know each other by then, so that one of each domain reads.
FIRST_START_DELAY_S: Final = 2.0
# For the list of VMs, in which a new VM finds its neighbours.
LIST_WAIT_S: Final = 0.6
# For which listed neighbours count as running although none was heard of yet.
# If a domain starts at once and each of its VMs reads the store, a
# configuration of 400 KB fills a link of 30 Mbit/s between regions for many
# seconds.
START_RANKING_S: Final = 2.0
# Slower calls are to a store in another region. A near one serves a whole
# domain sooner than a neighbour, whose link may have 10 Mbit/s.
FAR_STORE_S: Final = 0.03
TAKEOVER_DELAY_S: Final = 0.6  # for the first reader's heartbeat to arrive
# After a reader was lost, which may reach the store again on a new connection.
LOST_READER_DELAY_S: Final = 0.2
TAKEOVER_STEP_S: Final = 0.15  # for a response of the store and a heartbeat
_KEY: Final = 'store-reader'


def _always() -> bool:
    return True


def _unknown() -> float:
    return math.inf


def start_of_reading_s(*, first_start: bool) -> float:
    """Return the time from which this VM may read the store."""
    delay_s = FIRST_START_DELAY_S if first_start else STARTUP_DELAY_S
    return now_s() + delay_s


@attrs.define(eq=False, kw_only=True)
class ReaderElection:
    """Elect one reader per failure domain, and more while none reads."""

    membership: Membership
    reads_store: Callable[[], bool]
    reads_from_s: float = attrs.field(
        factory=lambda: start_of_reading_s(first_start=False)
    )
    # Whether this VM has read the list of VMs.
    has_list: Callable[[], bool] = _always
    store_call_s: Callable[[], float] = _unknown  # the fastest call
    _unread_since_s: float | None = None
    _had_reader: bool = False

    def should_read(self) -> bool:
        """Return whether this VM follows the store now.

        The VM with the highest hash does. The others take over step by step
        while no neighbour reports that it follows the store successfully.
        """
        now = now_s()
        if now < self.reads_from_s:
            return False
        readers = [one.address for one in self.membership.store_readers(now)]
        if readers:
            self._unread_since_s = None
            self._had_reader = True
            return self._is_first(readers) and self.reads_store()
        if not self.has_list() and now < self.reads_from_s + LIST_WAIT_S:
            return False
        others = self._rivals(now)
        me = self.membership.me.address
        rank = rendezvous_rank(_KEY, me, others)
        return not rank or self._may_take_over(rank, now)

    def _rivals(self, now: float) -> list[str]:
        """Return the VMs of the domain of which one is to read."""
        near = self.store_call_s() < FAR_STORE_S
        if near or now >= self.reads_from_s + START_RANKING_S:
            return [one.address for one in self.membership.neighbours()]
        domain = self.membership.me.failure_domain
        return [
            one.address
            for one in self.membership.known_members()
            if one.failure_domain == domain
        ]

    def _is_first(self, others: list[str]) -> bool:
        me = self.membership.me.address
        return rendezvous(_KEY, [*others, me]) == me

    def _may_take_over(self, rank: int, now: float) -> bool:
        """Return whether this VM's rank is due for a takeover.

        The number of VMs that try doubles with each step: the store may
        reject the first ones, but not every VM of a large domain needs to
        try.
        """
        if self._unread_since_s is None:
            self._unread_since_s = now
        steps = rank.bit_length() - 1
        delay_s = LOST_READER_DELAY_S if self._had_reader else TAKEOVER_DELAY_S
        delay_s += steps * TAKEOVER_STEP_S
        return now - self._unread_since_s > delay_s
