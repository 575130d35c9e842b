"""Find out whether a lost answer means that its request crashed the server."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.answers import NothingSent
from ..http1.backend import connect
from ..routing.quarantine import Quarantine
from .backend_registry import BackendRegistry

CHECK_DELAY_S: Final = (
    0.05  # a process that crashes takes its socket along meanwhile
)
CONNECT_TIMEOUT_S: Final = 0.4  # six round trips between regions


@attrs.define(eq=False, kw_only=True)
class CrashDetector:
    """Strike requests after which a server takes no connection any more."""

    backends: BackendRegistry
    quarantine: Quarantine
    broadcast: Callable[[str, str], None]
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def check_server(self, fingerprint: str, server: str) -> None:
        """Look at a server that lost the answer to a request."""
        known = self.backends.server(server)
        if known is None:
            return
        check = self._check(fingerprint, server, known.address)
        task = asyncio.create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, fingerprint: str, server: str, address: str) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        host, _, port = address.rpartition(':')
        try:
            conn = await connect(host, int(port), CONNECT_TIMEOUT_S)
        except NothingSent:
            self._strike(fingerprint, server)
        else:
            conn.close()

    def _strike(self, fingerprint: str, server: str) -> None:
        now = now_s()
        candidate = self.backends.candidate(server)
        if candidate is not None:
            candidate.load.take_out(now)
        self.quarantine.strike(fingerprint, server, now)
        self.broadcast(fingerprint, server)
