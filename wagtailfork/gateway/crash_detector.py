"""Detect whether a lost response means that the request crashed the server."""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.backend import connect
from ..http1.responses import RequestNotSent
from ..routing.quarantine import Crash
from .backend_registry import BackendRegistry
from .call import Call
from .model import BackendServer
from .trials import Trials

CHECK_DELAY_S: Final = 0.05  # time for a crashed process to release its socket
CONNECT_TIMEOUT_S: Final = 0.4  # six round trips between regions


@attrs.define(eq=False)
class CrashDetector:
    """Record a strike for each request after which a server is unreachable."""

    backends: BackendRegistry
    trials: Trials
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def check_server(self, call: Call, server: str) -> None:
        """Check in the background whether a server accepts connections."""
        entry = self.backends.server(server)
        if entry is None:
            return
        check = self._check(call.fingerprint, entry, trial=call.trial)
        task = asyncio.create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(
        self, fingerprint: str, entry: BackendServer, *, trial: bool
    ) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        host, _, port = entry.address.rpartition(':')
        try:
            conn = await connect(host, int(port), CONNECT_TIMEOUT_S)
        except RequestNotSent:
            self._strike(fingerprint, entry, trial=trial)
            return
        conn.close()
        if trial:
            # The server survived it.
            self.trials.give_back(fingerprint, ran=True)

    def _strike(
        self, fingerprint: str, entry: BackendServer, *, trial: bool
    ) -> None:
        candidate = self.backends.candidate(entry.name)
        if candidate is not None:
            candidate.load.eject(now_s())
        crash = Crash(entry.name, entry.started_ms)
        self.trials.record_crash(fingerprint, crash, trial=trial)
