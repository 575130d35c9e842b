"""Detect whether a lost response means that the request crashed the server."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.backend import connect
from ..http1.responses import RequestNotSent
from ..routing.quarantine import Quarantine
from .backend_registry import BackendRegistry

CHECK_DELAY_S: Final = 0.05  # time for a crashed process to release its socket
CONNECT_TIMEOUT_S: Final = 0.4  # six round trips between regions


@attrs.define(eq=False, kw_only=True)
class CrashDetector:
    """Record a strike for each request after which a server is unreachable."""

    backends: BackendRegistry
    quarantine: Quarantine
    broadcast: Callable[[str, str], None]
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def check_server(self, fingerprint: str, server: str) -> None:
        """Check in the background whether a server accepts connections."""
        entry = self.backends.server(server)
        if entry is None:
            return
        check = self._check(fingerprint, server, entry.address)
        task = asyncio.create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, fingerprint: str, server: str, address: str) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        host, _, port = address.rpartition(':')
        try:
            conn = await connect(host, int(port), CONNECT_TIMEOUT_S)
        except RequestNotSent:
            self._strike(fingerprint, server)
        else:
            conn.close()

    def _strike(self, fingerprint: str, server: str) -> None:
        now = now_s()
        candidate = self.backends.candidate(server)
        if candidate is not None:
            candidate.load.eject(now)
        self.quarantine.strike(fingerprint, server, now)
        self.broadcast(fingerprint, server)
