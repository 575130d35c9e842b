"""Order of the queued requests of customers, by start-time fair queueing.

Requests are ordered by rank, then by the virtual time at which their customer
is due, then those that can be in time before late ones, then by age. Requests
without a customer count as those of one customer; if all are, the virtual
times change nothing.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from .queued_request import QueuedRequest

MAX_TRACKED: Final = 512  # customers by rank; bounds the memory

_Lane = tuple[int, str]  # rank, customer


@attrs.define(eq=False)
class CustomerOrder:
    """Charge customers for the service they get and order their requests.

    Each rank has a virtual time of its own, so that requests of one rank do
    not delay those of customers that begin to send with another.

    >>> order = CustomerOrder()
    >>> hot, other = (
    ...     QueuedRequest(1, 2, 3, 0.1, customer=name) for name in ('hot', 'o'))
    >>> order.charge(hot)
    >>> waiting = [hot, other]
    >>> order.sort(waiting, now=0, min_service_times=1)
    >>> [queued.customer for queued in waiting]
    ['o', 'hot']
    """

    _finish: dict[_Lane, float] = attrs.field(factory=dict)
    _virtual_now: dict[int, float] = attrs.field(factory=dict)  # by rank

    def enter(
        self, queued: QueuedRequest, waiting: Iterable[QueuedRequest]
    ) -> None:
        """Set the turn of a new request behind its customer's others."""
        lane = _lane(queued)
        queued.turn = self._start(lane) + sum(
            other.service_s for other in waiting if _lane(other) == lane
        )

    def sort(
        self,
        waiting: list[QueuedRequest],
        now: float,
        min_service_times: float,
    ) -> None:
        """Sort requests in the order of binding and update their turns.

        A request is late if less than ``min_service_times`` times its service
        time remains.
        """
        waiting.sort(
            key=lambda queued: _own_order(queued, now, min_service_times)
        )
        if not has_customers(waiting):
            return
        turns: dict[_Lane, float] = {}
        for queued in waiting:
            lane = _lane(queued)
            turn = turns.get(lane)
            queued.turn = self._start(lane) if turn is None else turn
            turns[lane] = queued.turn + queued.service_s
        # A stable sort keeps the order of late and old requests.
        waiting.sort(key=binding_order)

    def charge(self, queued: QueuedRequest) -> None:
        """Count the service of a request that is bound to a server."""
        lane = _lane(queued)
        start = self._start(lane)
        self._virtual_now[queued.rank] = start
        self._finish[lane] = start + queued.service_s
        if len(self._finish) > MAX_TRACKED:
            self._forget_idle()

    def refund(self, queued: QueuedRequest) -> None:
        """Take back the charge of a request that is queued again."""
        lane = _lane(queued)
        if lane in self._finish:
            self._finish[lane] -= queued.service_s

    def _start(self, lane: _Lane) -> float:
        virtual_now = self._virtual_now.get(lane[0], 0)
        return max(virtual_now, self._finish.get(lane, 0))

    def _forget_idle(self) -> None:
        """Keep the customers whose next turn is the latest."""
        ahead = [
            (at - self._virtual_now.get(lane[0], 0), lane)
            for lane, at in self._finish.items()
        ]
        latest = sorted(ahead, reverse=True)[: MAX_TRACKED // 2]
        self._finish = {
            lane: self._finish[lane] for excess, lane in latest if excess > 0
        }


def has_customers(waiting: Iterable[QueuedRequest]) -> bool:
    """Return whether any request belongs to a customer."""
    return any(queued.customer for queued in waiting)


def binding_order(queued: QueuedRequest) -> tuple[int, float]:
    """Return the sort key of a request whose turn is set."""
    return queued.rank, queued.turn


def count_ahead(queued: QueuedRequest, waiting: Iterable[QueuedRequest]) -> int:
    """Count the requests that are likely to be bound before one.

    Customers that wait now send more requests, which are bound before a later
    one of a customer that has several queued.
    """
    turn = binding_order(queued)
    before = [
        other.customer for other in waiting if binding_order(other) <= turn
    ]
    own = before.count(queued.customer)
    return max(len(before), own * len(set(before)))


def _lane(queued: QueuedRequest) -> _Lane:
    return queued.rank, queued.customer


def _own_order(
    queued: QueuedRequest,
    now: float,
    min_service_times: float,
) -> tuple[int, bool, float]:
    """Return the sort key among requests of one customer."""
    late = queued.objective_at_s - now < queued.service_s * min_service_times
    return queued.rank, late, queued.arrived_s
