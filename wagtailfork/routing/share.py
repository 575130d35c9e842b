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

HEAD_START_S: Final = 0.01  # a wait must be so much longer to go first
SILENT_DEALER_S: Final = 0.25
WANT_EVERY_S: Final = 0.001
_CONTENTION_S: Final = 0.05

Send = Callable[[str, Message], None]  # service, message to its dealer


@attrs.define
class _Contention:
    waited_s: float  # by the longest wait at another VM
    until: float


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
    _wanted: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def want(self, service: str, count: int, since: float) -> None:
        """Tell the dealer how many requests wait, and since when."""
        now = self._clock()
        sent, sent_at = self._wanted.get(service, (0, float('-inf')))
        if count == sent and not count:
            return
        if count and now - sent_at < WANT_EVERY_S:
            return
        self._wanted[service] = (count, now)
        waited_ms = (now - since) * 1000 if count else 0
        self._send(
            service,
            SlotWant(service=service, count=count, waited_ms=waited_ms),
        )

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
            self._clock() + _CONTENTION_S,
        )
        idle: list[str] = []
        for endpoint in self._pool.endpoints(recall.service):
            spare = (endpoint.held or 0) - endpoint.in_flight
            idle.extend(itertools.repeat(endpoint.name, spare))
        self._give(recall.service, idle)

    def on_release(self, endpoint: Endpoint, head_since: float | None) -> None:
        """Return a slot that came free if another VM needs it more.

        ``head_since`` is the time from which this VM's own first request
        waits, None where none does.
        """
        service = endpoint.backend.service
        contention = self._contended.get(service)
        if endpoint.held is None or contention is None:
            return
        now = self._clock()
        if now > contention.until:
            self._contended.pop(service)
            return
        if head_since is not None:
            # Moving a slot leaves it idle for two hops.
            waited_s = now - head_since
            if waited_s + HEAD_START_S > contention.waited_s:
                return
        self._give(service, [endpoint.name])

    def return_unusable(self) -> None:
        """Return the idle slots of endpoints that may not be used now."""
        for endpoint in self._pool.every():
            spare = (endpoint.held or 0) - endpoint.in_flight
            if spare > 0 and endpoint.allowance() == 0:
                names = list(itertools.repeat(endpoint.name, spare))
                self._give(endpoint.backend.service, names)

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
