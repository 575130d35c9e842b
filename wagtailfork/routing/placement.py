"""Selection of the server for a request, and limits on its copies."""

import asyncio
import time
import zlib
from collections.abc import Callable
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .admission import Admission, SlotRequest
from .endpoint import Endpoint
from .pool import Pool
from .quarantine import MAX_CRASHED_SERVERS, Quarantine
from .unanswered import Unanswered

_UNUSABLE_STATES: Final = frozenset(('draining', 'gone'))
_POLL_INTERVAL_S: Final = 0.002


@attrs.define
class Placement:
    """Allow any server for most requests, and few servers for copies of one.

    An unanswered request may be the one that crashes its server. Its copies
    therefore wait a short time for that response and then go to no more servers
    than a crashing request is allowed to reach.
    """

    _pool: Pool
    _admission: Admission
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    unanswered: Unanswered = attrs.field(factory=Unanswered)
    _clock: Callable[[], float] = time.monotonic
    pinned: int = 0  # requests placed with regard to earlier copies

    async def acquire(
        self, slot_request: SlotRequest, fingerprint: str
    ) -> Endpoint:
        """Wait for a slot and record the request as sent to its server.

        Raise a not-run error if there is none in time, or ``quarantined``.
        """
        endpoint = await self._try_acquire(slot_request, fingerprint)
        while endpoint is None:
            self._check_deadline(slot_request)
            await asyncio.sleep(_POLL_INTERVAL_S)
            endpoint = await self._try_acquire(slot_request, fingerprint)
        self.unanswered.begin(fingerprint, endpoint.name, self._clock())
        return endpoint

    def may_hedge(self, service: str, fingerprint: str) -> bool:
        """Return whether a hedged copy may be sent now.

        It may not while requests are queued here or other copies have no
        answer.
        """
        touched = self.unanswered.servers(fingerprint, self._clock())
        if len(touched) > 1 or self.quarantine.is_suspect(fingerprint):
            return False
        return self._admission.is_queue_empty(service)

    async def acquire_hedge(
        self, slot_request: SlotRequest, fingerprint: str
    ) -> Endpoint:
        """Wait for a slot in this region for a hedged copy."""
        endpoint = await self._admission.acquire(slot_request)
        if endpoint.backend.region != self._pool.region:
            self._admission.release_unused(endpoint)
            raise WagtailforkError(ResultCode.no_backend, slot_request.service)
        self.unanswered.begin(fingerprint, endpoint.name, self._clock())
        return endpoint

    def check(self, fingerprint: str) -> None:
        """Raise ``quarantined`` for a request that crashed too many servers."""
        if self.is_quarantined(fingerprint):
            crashed = ','.join(self.quarantine.crashed(fingerprint))
            raise WagtailforkError(ResultCode.quarantined, crashed)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether requests like this crashed too many servers."""
        if not len(self.quarantine):
            return False
        return self.quarantine.is_refused(fingerprint, self._clock())

    def strike(self, fingerprint: str, backend: str) -> None:
        """Record a server that crashed while it ran this request."""
        self.quarantine.strike(fingerprint, backend, self._clock())
        self.unanswered.crashed(fingerprint, backend)

    def absolve(self, fingerprint: str) -> None:
        """Drop the record of a request that was answered."""
        self.quarantine.absolve(fingerprint)
        self.unanswered.answered(fingerprint)

    async def _try_acquire(
        self,
        slot_request: SlotRequest,
        fingerprint: str,
    ) -> Endpoint | None:
        self.check(fingerprint)
        if self.unanswered.may_be_answered_soon(fingerprint, self._clock()):
            return None
        endpoint = self._pin(slot_request, fingerprint)
        if endpoint is not None:
            self.pinned += 1
            is_taken = self._admission.take(endpoint, slot_request)
            return endpoint if is_taken else None
        endpoint = await self._admission.acquire(slot_request)
        if self._has_copies(fingerprint):
            # Another copy was sent or crashed a server during the wait.
            self._admission.release_unused(endpoint)
            return None
        return endpoint

    def _has_copies(self, fingerprint: str) -> bool:
        if self.quarantine.is_suspect(fingerprint):
            return True
        return bool(self.unanswered.servers(fingerprint, self._clock()))

    def _pin(
        self, slot_request: SlotRequest, fingerprint: str
    ) -> Endpoint | None:
        if not self._has_copies(fingerprint):
            return None
        touched = self.unanswered.servers(fingerprint, self._clock())
        crashed = self.quarantine.crashed(fingerprint)
        usable_by_name = self._usable_by_name(slot_request)
        holding = [
            usable_by_name[name] for name in touched if name in usable_by_name
        ]
        if holding and len({*touched, *crashed}) >= MAX_CRASHED_SERVERS:
            return _least_loaded(holding, slot_request.excluded)
        avoided = {*touched, *crashed, *slot_request.excluded}
        name = _rendezvous_choice(fingerprint, usable_by_name.keys() - avoided)
        if name is not None:
            return usable_by_name[name]
        # If no other server is left, use one that had a copy before.
        remaining = holding or list(usable_by_name.values())
        return (
            _least_loaded(remaining, slot_request.excluded)
            if remaining
            else None
        )

    def _usable_by_name(self, slot_request: SlotRequest) -> dict[str, Endpoint]:
        allowed = (
            self._pool.allowed(slot_request.customer, slot_request.service)
            or []
        )
        usable = [
            each for each in allowed if each.state not in _UNUSABLE_STATES
        ]
        region = self._pool.region
        near = [each for each in usable if each.backend.region == region]
        # Copies use another region only if this one has no usable server.
        return {each.name: each for each in near or usable}

    def _check_deadline(self, slot_request: SlotRequest) -> None:
        if self._clock() >= slot_request.deadline:
            raise WagtailforkError(
                ResultCode.deadline_passed,
                slot_request.service,
            )


def _least_loaded(
    endpoints: list[Endpoint], excluded: frozenset[str]
) -> Endpoint:
    preferred = [each for each in endpoints if each.name not in excluded]
    return min(preferred or endpoints, key=lambda each: each.in_flight)


def _rendezvous_choice(fingerprint: str, names: set[str]) -> str | None:
    """Return the server that every entry VM selects for a fingerprint.

    The server with the highest hash is selected, so VMs agree without a
    message even if their lists differ in other servers.
    """

    def rank(name: str) -> int:
        return zlib.crc32(f'{fingerprint}/{name}'.encode())

    return max(names, key=rank, default=None)
