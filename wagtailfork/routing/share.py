"""The slots lent to this entry VM, and when to request or return some."""

import collections
import itertools
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from ..peers.messages import (
    Message,
    SlotGrant,
    SlotRecall,
    SlotReturn,
    SlotsHeld,
    SlotWant,
)
from .endpoint import Endpoint
from .pool import Pool

# Excess of the wait at another VM above which its request takes precedence.
PRECEDENCE_MARGIN_S: Final = 0.04
DEALER_SILENT_AFTER_S: Final = 0.25
# Lead in virtual time, in requests, up to which a customer keeps its slot.
MAX_LEAD_REQUESTS: Final = 4.0
WANT_INTERVAL_S: Final = 0.001
# Between two answers to recalls of slots that are all in use.
REPORT_INTERVAL_S: Final = 0.1
_CONTENTION_S: Final = 0.05

Send = Callable[[str, Message], None]  # service, message to its dealer


@attrs.define
class _Contention:
    waited_s: float  # the longest wait at another VM
    finish: dict[str, float]  # virtual times of waiting customers
    until: float


@attrs.frozen
class NextRequest:
    """Describe the request that is next in the queue."""

    customer: str
    since: float


def _others_go_first(
    contention: _Contention, next_request: NextRequest, now: float
) -> bool:
    """Return whether requests of other VMs precede ``next_request``."""
    finish = contention.finish
    lowest = min(finish.values(), default=0)
    own = finish.get(next_request.customer)
    if own is None or own > lowest + MAX_LEAD_REQUESTS:
        return True
    # Moving a slot to another VM leaves it idle for two network hops.
    waited_s = now - next_request.since
    return waited_s + PRECEDENCE_MARGIN_S < contention.waited_s


@attrs.define
class SlotShare:
    """Track the slots lent to this VM for every service."""

    _pool: Pool
    _send: Send
    _clock: Callable[[], float]
    _contended: dict[str, _Contention] = attrs.field(factory=dict)
    _last_message_at: dict[str, float] = attrs.field(factory=dict)
    _sequence: collections.Counter[str] = attrs.field(
        factory=collections.Counter,
    )
    _last_wants: dict[str, tuple[bool, float]] = attrs.field(factory=dict)
    _served: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _reported_at: dict[str, float] = attrs.field(factory=dict)

    def want(self, service: str, lanes: dict[str, int], since: float) -> None:
        """Send a want for queued requests, the oldest queued at ``since``."""
        now = self._clock()
        had_requests, sent_at = self._last_wants.get(
            service, (False, float('-inf'))
        )
        if not lanes and not had_requests:
            return
        if lanes and now - sent_at < WANT_INTERVAL_S:
            return
        self._last_wants[service] = (bool(lanes), now)
        want = SlotWant(
            service=service,
            lanes=lanes,
            served=self._served.pop(service, {}),
            waited_ms=(now - since) * 1000 if lanes else 0,
        )
        self._send(service, want)

    def count(self, service: str, customer: str, amount: float) -> None:
        """Add a started request; ``amount`` is 1 over the customer's weight."""
        served = self._served.setdefault(service, {})
        served[customer] = served.get(customer, 0) + amount

    def is_dealer_silent(self, service: str) -> bool:
        """Return whether the last message of the dealer is too old."""
        last_message_at = self._last_message_at.get(service, float('-inf'))
        return self._clock() - last_message_at > DEALER_SILENT_AFTER_S

    def on_grant(self, grant: SlotGrant) -> None:
        """Add granted slots; return those of unknown or unlent endpoints."""
        self._last_message_at[grant.service] = self._clock()
        self._sequence[grant.service] = grant.sequence
        refused = []
        for name in grant.backends:
            endpoint = self._pool.by_name(name)
            if endpoint is None or endpoint.held is None:
                refused.append(name)
                continue
            endpoint.held += 1
        self._send_return(grant.service, refused)

    def on_recall(self, recall: SlotRecall) -> None:
        """Return idle slots now, and for a while those that become free.

        If none is idle, report the held ones: a VM that answers no recall
        loses them.
        """
        self._last_message_at[recall.service] = self._clock()
        self._contended[recall.service] = _Contention(
            recall.waited_ms / 1000,
            recall.finish,
            self._clock() + _CONTENTION_S,
        )
        idle: list[str] = []
        for endpoint in self._pool.endpoints(recall.service):
            spare = (endpoint.held or 0) - endpoint.in_flight
            idle.extend(itertools.repeat(endpoint.name, spare))
        self._return_held(recall.service, idle)
        if not idle:
            self._report_held(recall.service)

    def on_release(
        self, endpoint: Endpoint, next_request: NextRequest | None
    ) -> None:
        """Return a slot that became free if another VM takes precedence.

        ``next_request`` is the first in this VM's queue, None if it is empty.
        """
        service = endpoint.backend.service
        contention = self._contended.get(service)
        if endpoint.held is None or contention is None:
            return
        if endpoint.in_flight >= endpoint.held:
            # The slot that became free had been used without being lent.
            return
        now = self._clock()
        if now > contention.until:
            self._contended.pop(service)
            return
        if next_request is not None and not _others_go_first(
            contention, next_request, now
        ):
            return
        self._return_held(service, [endpoint.name])

    def return_unusable(self, service: str) -> None:
        """Return the idle slots of endpoints that may not be used now."""
        for endpoint in self._pool.endpoints(service):
            spare = (endpoint.held or 0) - endpoint.in_flight
            if spare > 0 and endpoint.allowance() == 0:
                names = list(itertools.repeat(endpoint.name, spare))
                self._return_held(service, names)

    def report(self, service: str) -> SlotsHeld:
        """Create the report of all slots held, for the dealer."""
        names: list[str] = []
        for endpoint in self._pool.endpoints(service):
            held = endpoint.held or 0
            names.extend(itertools.repeat(endpoint.name, held))
        return SlotsHeld(
            service=service,
            backends=names,
            sequence=self._sequence[service],
        )

    def restart(self, service: str) -> None:
        """Drop the former dealer's sequence number and the last want."""
        self._sequence.pop(service, None)
        self._last_wants.pop(service, None)

    def _report_held(self, service: str) -> None:
        now = self._clock()
        reported_at = self._reported_at.get(service, float('-inf'))
        if now - reported_at < REPORT_INTERVAL_S:
            return
        report = self.report(service)
        if report.backends:
            self._reported_at[service] = now
            self._send(service, report)

    def _return_held(self, service: str, names: list[str]) -> None:
        for name in names:
            endpoint = self._pool.by_name(name)
            if endpoint is not None and endpoint.held:
                endpoint.held -= 1
        self._send_return(service, names)

    def _send_return(self, service: str, names: Iterable[str]) -> None:
        backends = list(names)
        if backends:
            self._send(service, SlotReturn(service=service, backends=backends))
