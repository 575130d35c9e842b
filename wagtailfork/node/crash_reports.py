"""Reports between entry VMs about requests that may crash servers."""

import time
from typing import Final

import attrs

from ..peers.mesh import Mesh
from ..peers.messages import Absolve, Running, Strike
from ..routing.fairness import TokenBucket

_TIMEOUT_S: Final = 0.2
_REPORTS_PER_S: Final = 20.0  # reports of running requests, each to all peers
_REPORT_BURST: Final = 40.0


@attrs.define
class CrashReportBroadcaster:
    """Broadcast crash reports; do not wait for unresponsive peers."""

    _mesh: Mesh
    _bucket: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(_REPORTS_PER_S, _REPORT_BURST),
    )

    async def notify_strike(self, fingerprint: str, backend: str) -> None:
        """Report that a server crashed while it ran a request."""
        strike = Strike(fingerprint=fingerprint, backend=backend)
        await self._mesh.broadcast(strike, _TIMEOUT_S)

    async def notify_absolve(self, fingerprint: str) -> None:
        """Report that a request got a complete response."""
        absolve = Absolve(fingerprint=fingerprint)
        await self._mesh.broadcast(absolve, _TIMEOUT_S)

    async def notify_running(self, fingerprint: str, backend: str) -> None:
        """Report that a server is running a request, up to a rate limit."""
        if not self._bucket.take(time.monotonic()):
            return
        running = Running(fingerprint=fingerprint, backend=backend)
        # These reports are frequent, so they are kept off the link between
        # regions, which is paid by volume; crash reports are rare.
        await self._mesh.broadcast(
            running, _TIMEOUT_S, include_other_regions=False
        )
