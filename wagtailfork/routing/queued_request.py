"""A request that waits for a backend server, and its refusal."""

import asyncio
from collections.abc import Callable
import attrs

from ..core.clock import now_s
from .candidate import Candidate
from .worth import MIN_OBJECTIVE_S, RequestProfile


def _ignore_wait(_queue_length: int) -> None:
    """Ignore that a request is queued."""


@attrs.define(eq=False)
class QueuedRequest:
    """Hold one request that waits for a server; ``now_s`` is its clock."""

    rank: int
    objective_at_s: float
    deadline_at_s: float
    service_s: float
    kilobytes: float = 1.0
    customer: str = ''  # empty if requests need no key
    # Regions whose servers may serve it; all if empty.
    regions: frozenset[str] = frozenset()
    excluded: set[str] = attrs.field(factory=set)
    # Servers to which the VM of the request has an idle connection; None if
    # that is this VM, whose connections the candidates record.
    connected: frozenset[str] | None = None
    server_fut: 'asyncio.Future[Candidate] | None' = None
    arrived_s: float = attrs.field(factory=now_s)
    turn: float = 0  # virtual time at which its customer is due
    # Called with the number of requests queued before this one.
    on_queued: Callable[[int], None] = _ignore_wait

    def left_s(self, now: float) -> float:
        """Return the seconds until the latency objective."""
        return self.objective_at_s - now

    def is_connected(self, candidate: Candidate, now: float) -> bool:
        """Return whether the request needs no new connection to a server."""
        if self.connected is None:
            return now < candidate.connected_until_s
        return candidate.name in self.connected

    def may_wait(self, now: float, *, others: bool) -> bool:
        """Return whether to wait, given whether ``others`` can be in time."""
        if others and self.left_s(now) < self.service_s:
            return False
        return self.deadline_at_s - now > self.service_s

    def profile(self, now: float) -> RequestProfile:
        """Return the profile of the request as of ``now``."""
        return RequestProfile(
            objective_s=max(MIN_OBJECTIVE_S, self.objective_at_s - now),
            deadline_s=self.deadline_at_s - now,
            service_s=self.service_s,
            kilobytes=self.kilobytes,
        )


class Refused(Exception):
    """Report that no server can answer in time."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Store the reason and the seconds until a retry may succeed."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
