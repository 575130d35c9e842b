"""Detect whether the end of a connection means that the server crashed."""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.backend import connect
from ..http1.responses import RequestNotSent
from ..routing.quarantine import Crash
from .backend_registry import BackendRegistry
from .call import Call, SendResult
from .model import BackendServer
from .trials import Trials

CHECK_DELAY_S: Final = 0.05  # time for a crashed process to release its socket
CONNECT_TIMEOUT_S: Final = 0.4  # six round trips between regions


@attrs.define(eq=False)
class CrashDetector:
    """Record a strike for each request with which a server was lost.

    A server crashed if it accepts no connection after one was lost: before an
    answer, within it, or at an end that only the connection marks.
    """

    backends: BackendRegistry
    trials: Trials
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def record_end(self, call: Call, result: SendResult) -> None:
        """Record what the end of a request says about it.

        A complete answer absolves it; a trial that no server ran is given back.
        """
        response = result.response
        if response is None or result.rejected:
            if call.trial and not call.may_have_run:
                self.trials.give_back(call.fingerprint, ran=False)
            return
        if response.body.truncated:
            self.check_server(call, result.server)
            return
        if not response.body.complete:
            return
        if response.until_close:
            # The end of the answer may be that of the server.
            self.check_server(call, result.server, answered=True)
            return
        self.trials.record_answer(call.fingerprint)

    def check_server(
        self, call: Call, server: str, *, answered: bool = False
    ) -> None:
        """Check in the background whether a server accepts connections.

        If it does, the request is absolved if it was ``answered``.
        """
        entry = self.backends.server(server)
        if entry is None:
            return
        check = self._check(call, entry, answered=answered)
        task = asyncio.create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(
        self, call: Call, entry: BackendServer, *, answered: bool
    ) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        host, _, port = entry.address.rpartition(':')
        try:
            conn = await connect(host, int(port), CONNECT_TIMEOUT_S)
        except RequestNotSent:
            self._strike(call.fingerprint, entry, trial=call.trial)
            return
        conn.close()
        # The server survived it.
        if answered:
            self.trials.record_answer(call.fingerprint)
        elif call.trial:
            self.trials.give_back(call.fingerprint, ran=True)

    def _strike(
        self, fingerprint: str, entry: BackendServer, *, trial: bool
    ) -> None:
        candidate = self.backends.candidate(entry.name)
        if candidate is not None:
            candidate.load.eject(now_s())
        crash = Crash(entry.name, entry.started_ms)
        self.trials.record_crash(fingerprint, crash, trial=trial)
