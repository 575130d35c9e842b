"""What entry VMs tell each other about requests that may crash servers."""

import time
from typing import Final

import attrs

from ..peers.mesh import Mesh
from ..peers.messages import Absolve, Running, Strike
from ..routing.fairness import TokenBucket

_TIMEOUT_S: Final = 0.2
_TOLD_PER_S: Final = 20.0  # requests without an answer, told to all peers
_TOLD_BURST: Final = 40.0


@attrs.define
class SuspicionSpreader:
    """Tell every peer; a peer that does not answer is not waited for."""

    _mesh: Mesh
    _bucket: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(_TOLD_PER_S, _TOLD_BURST),
    )

    async def strike(self, fingerprint: str, backend: str) -> None:
        """Tell that a server crashed under a request."""
        strike = Strike(fingerprint=fingerprint, backend=backend)
        await self._mesh.broadcast(strike, _TIMEOUT_S)

    async def absolve(self, fingerprint: str) -> None:
        """Tell that a request was answered whole."""
        absolve = Absolve(fingerprint=fingerprint)
        await self._mesh.broadcast(absolve, _TIMEOUT_S)

    async def running(self, fingerprint: str, backend: str) -> None:
        """Tell that a server holds a request, unless many were told."""
        if not self._bucket.take(time.monotonic()):
            return
        running = Running(fingerprint=fingerprint, backend=backend)
        # The paid link carries strikes, which are rare, and not these.
        await self._mesh.broadcast(running, _TIMEOUT_S, far=False)
