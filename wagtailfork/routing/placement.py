"""Which server a request goes to, and where its copies may go."""

import asyncio
import time
import zlib
from collections.abc import Callable
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from .admission import Admission, Demand
from .endpoint import Endpoint
from .pool import Pool
from .quarantine import MAX_CRASHED_SERVERS, Quarantine
from .unanswered import Unanswered

_CLOSED: Final = frozenset(('draining', 'gone'))
_POLL_S: Final = 0.002


@attrs.define
class Placement:
    """Give any server to most requests, and few servers to copies of one.

    A request without an answer may be the one that crashes its server, so
    its copies wait a little for that answer, and then go to no more servers
    than a crashing request may have.
    """

    _pool: Pool
    _admission: Admission
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    unanswered: Unanswered = attrs.field(factory=Unanswered)
    _clock: Callable[[], float] = time.monotonic
    pinned: int = 0  # requests that went where a copy was

    async def acquire(self, demand: Demand, fingerprint: str) -> Endpoint:
        """Wait for a slot and count the request as sent to its server.

        Raise a not-run error if there is none in time, or ``quarantined``.
        """
        endpoint = await self._try_acquire(demand, fingerprint)
        while endpoint is None:
            self._check_deadline(demand)
            await asyncio.sleep(_POLL_S)
            endpoint = await self._try_acquire(demand, fingerprint)
        self.unanswered.begin(fingerprint, endpoint.name, self._clock())
        return endpoint

    def may_hedge(self, service: str, fingerprint: str) -> bool:
        """Tell whether a second copy may be sent now.

        None goes while requests wait here, nor beside other copies.
        """
        touched = self.unanswered.servers(fingerprint, self._clock())
        if len(touched) > 1 or self.quarantine.is_suspect(fingerprint):
            return False
        return self._admission.is_quiet(service)

    async def second(self, demand: Demand, fingerprint: str) -> Endpoint:
        """Wait for a slot of this region for a second copy."""
        endpoint = await self._admission.acquire(demand)
        if endpoint.backend.region != self._pool.region:
            self._admission.give_back(endpoint)
            raise WagtailforkError(ResultCode.no_backend, demand.service)
        self.unanswered.begin(fingerprint, endpoint.name, self._clock())
        return endpoint

    def check(self, fingerprint: str) -> None:
        """Raise ``quarantined`` for a request that crashes servers."""
        if self.is_quarantined(fingerprint):
            crashed = ','.join(self.quarantine.crashed(fingerprint))
            raise WagtailforkError(ResultCode.quarantined, crashed)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether requests like this crashed too many servers."""
        if not len(self.quarantine):
            return False
        return self.quarantine.is_refused(fingerprint, self._clock())

    def strike(self, fingerprint: str, backend: str) -> None:
        """Note a server that crashed while it held this request."""
        self.quarantine.strike(fingerprint, backend, self._clock())
        self.unanswered.crashed(fingerprint, backend)

    def absolve(self, fingerprint: str) -> None:
        """Forget what is on record of a request that was answered."""
        self.quarantine.absolve(fingerprint)
        self.unanswered.answered(fingerprint)

    async def _try_acquire(
        self,
        demand: Demand,
        fingerprint: str,
    ) -> Endpoint | None:
        self.check(fingerprint)
        if self.unanswered.is_young(fingerprint, self._clock()):
            return None
        endpoint = self._pin(demand, fingerprint)
        if endpoint is not None:
            self.pinned += 1
            taken = self._admission.take(endpoint, demand)
            return endpoint if taken else None
        endpoint = await self._admission.acquire(demand)
        if self._has_copies(fingerprint):
            # One was sent, or crashed a server, during the wait.
            self._admission.give_back(endpoint)
            return None
        return endpoint

    def _has_copies(self, fingerprint: str) -> bool:
        if self.quarantine.is_suspect(fingerprint):
            return True
        return bool(self.unanswered.servers(fingerprint, self._clock()))

    def _pin(self, demand: Demand, fingerprint: str) -> Endpoint | None:
        if not self._has_copies(fingerprint):
            return None
        touched = self.unanswered.servers(fingerprint, self._clock())
        crashed = self.quarantine.crashed(fingerprint)
        open_to = self._open_to(demand)
        holding = [open_to[name] for name in touched if name in open_to]
        if holding and len({*touched, *crashed}) >= MAX_CRASHED_SERVERS:
            return _idlest(holding, demand.excluded)
        shunned = {*touched, *crashed, *demand.excluded}
        name = _agreed(fingerprint, open_to.keys() - shunned)
        if name is not None:
            return open_to[name]
        # With no other server left, one that it was on before must do.
        left = holding or list(open_to.values())
        return _idlest(left, demand.excluded) if left else None

    def _open_to(self, demand: Demand) -> dict[str, Endpoint]:
        allowed = self._pool.allowed(demand.customer, demand.service) or []
        usable = [each for each in allowed if each.state not in _CLOSED]
        region = self._pool.region
        near = [each for each in usable if each.backend.region == region]
        # The link between regions is not for copies.
        return {each.name: each for each in near or usable}

    def _check_deadline(self, demand: Demand) -> None:
        if self._clock() >= demand.deadline:
            raise WagtailforkError(
                ResultCode.deadline_passed,
                demand.service,
            )


def _idlest(found: list[Endpoint], excluded: frozenset[str]) -> Endpoint:
    fresh = [each for each in found if each.name not in excluded]
    return min(fresh or found, key=lambda each: each.in_flight)


def _agreed(fingerprint: str, names: set[str]) -> str | None:
    """Name the server that every entry VM would pick for a fingerprint.

    The highest hash wins, so VMs agree without a message even where they
    differ on other servers.
    """

    def rank(name: str) -> int:
        return zlib.crc32(f'{fingerprint}/{name}'.encode())

    return max(names, key=rank, default=None)
