"""The slots lent to this entry VM, and when to ask for or return some."""

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

HEAD_START_S: Final = 0.04  # a wait must be so much longer to go first
SILENT_DEALER_S: Final = 0.25
TURNS_AHEAD: Final = 4.0  # requests that a customer may be ahead by
WANT_EVERY_S: Final = 0.001
_CONTENTION_S: Final = 0.05

Send = Callable[[str, Message], None]  # service, message to its dealer


@attrs.define
class _Contention:
    waited_s: float  # by the longest wait at another VM
    finish: dict[str, float]  # virtual times of the customers that wait
    until: float


@attrs.frozen
class Head:
    """Describe the request that waits first."""

    customer: str
    since: float


def _goes_first(contention: _Contention, head: Head, now: float) -> bool:
    """Tell whether the requests of other VMs go before ``head``."""
    finish = contention.finish
    lowest = min(finish.values(), default=0)
    own = finish.get(head.customer)
    if own is None or own > lowest + TURNS_AHEAD:
        return True
    # Moving a slot leaves it idle for two hops.
    waited_s = now - head.since
    return waited_s + HEAD_START_S < contention.waited_s


@attrs.define
class SlotShare:
    """Hold the lent slots of every service."""

    _pool: Pool
    _send: Send
    _clock: Callable[[], float]
    _contended: dict[str, _Contention] = attrs.field(factory=dict)
    _heard_at: dict[str, float] = attrs.field(factory=dict)
    _sequence: collections.Counter[str] = attrs.field(
        factory=collections.Counter,
    )
    _wanted: dict[str, tuple[bool, float]] = attrs.field(factory=dict)
    _served: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def want(self, service: str, lanes: dict[str, int], since: float) -> None:
        """Tell the dealer whose requests wait, and since when."""
        now = self._clock()
        had_sent, sent_at = self._wanted.get(service, (False, float('-inf')))
        if not lanes and not had_sent:
            return
        if lanes and now - sent_at < WANT_EVERY_S:
            return
        self._wanted[service] = (bool(lanes), now)
        want = SlotWant(
            service=service,
            lanes=lanes,
            served=self._served.pop(service, {}),
            waited_ms=(now - since) * 1000 if lanes else 0,
        )
        self._send(service, want)

    def count(self, service: str, customer: str, amount: float) -> None:
        """Count a request begun, by its customer's weight."""
        served = self._served.setdefault(service, {})
        served[customer] = served.get(customer, 0) + amount

    def dealer_is_silent(self, service: str) -> bool:
        """Tell whether the dealer has left a want unanswered for long."""
        heard_at = self._heard_at.get(service, float('-inf'))
        return self._clock() - heard_at > SILENT_DEALER_S

    def on_grant(self, grant: SlotGrant) -> None:
        """Take lent slots."""
        self._heard_at[grant.service] = self._clock()
        self._sequence[grant.service] = grant.sequence
        refused = []
        for name in grant.backends:
            endpoint = self._pool.by_name(name)
            if endpoint is None or endpoint.held is None:
                refused.append(name)
                continue
            endpoint.held += 1
        self._return(grant.service, refused)

    def on_recall(self, recall: SlotRecall) -> None:
        """Return idle slots, and for a while those that come free."""
        self._heard_at[recall.service] = self._clock()
        self._contended[recall.service] = _Contention(
            recall.waited_ms / 1000,
            recall.finish,
            self._clock() + _CONTENTION_S,
        )
        idle: list[str] = []
        for endpoint in self._pool.endpoints(recall.service):
            spare = (endpoint.held or 0) - endpoint.in_flight
            idle.extend(itertools.repeat(endpoint.name, spare))
        self._give(recall.service, idle)

    def on_release(self, endpoint: Endpoint, head: Head | None) -> None:
        """Return a slot that came free if another VM needs it more.

        ``head`` is this VM's own next request, None where none waits.
        """
        service = endpoint.backend.service
        contention = self._contended.get(service)
        if endpoint.held is None or contention is None:
            return
        if endpoint.in_flight >= endpoint.held:
            # The slot that came free was taken without being lent.
            return
        now = self._clock()
        if now > contention.until:
            self._contended.pop(service)
            return
        if head is not None and not _goes_first(contention, head, now):
            return
        self._give(service, [endpoint.name])

    def return_unusable(self, service: str) -> None:
        """Return the idle slots of endpoints that may not be used now."""
        for endpoint in self._pool.endpoints(service):
            spare = (endpoint.held or 0) - endpoint.in_flight
            if spare > 0 and endpoint.allowance() == 0:
                names = list(itertools.repeat(endpoint.name, spare))
                self._give(service, names)

    def report(self, service: str) -> SlotsHeld:
        """Make the message that tells a dealer all that is held."""
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
        """Forget the sequence of a dealer that is no longer asked."""
        self._sequence.pop(service, None)
        self._wanted.pop(service, None)

    def _give(self, service: str, names: list[str]) -> None:
        for name in names:
            endpoint = self._pool.by_name(name)
            if endpoint is not None and endpoint.held:
                endpoint.held -= 1
        self._return(service, names)

    def _return(self, service: str, names: Iterable[str]) -> None:
        backends = list(names)
        if backends:
            self._send(service, SlotReturn(service=service, backends=backends))
