"""Detect whether the end of a connection means that the server crashed."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..http1.pool import ConnectionPool
from ..http1.responses import ConnectionRefused
from ..routing.abandoned_copies import AbandonedCopies, AbandonedCopy
from ..routing.quarantine import Crash
from .backend_registry import BackendRegistry
from .call import Call, SendResult
from .model import BackendServer
from .server_watch import CHECK_DELAY_S, ServerWatch, reach
from .trials import Trials
from .witnesses import Witnesses, choose_witnesses

# After the deadline that a server was told, until it ends the request.
DEADLINE_GRACE_S: Final = 0.25
MAX_ABANDONED_S: Final = 15.0  # longer than all but a few requests run
# Other callers wait for what a trial shows.
MAX_ABANDONED_TRIAL_S: Final = 1.0
MAX_WATCHED: Final = 64  # servers, with a connection each at most


@attrs.define(eq=False, kw_only=True)
class CrashDetector:
    """Record a strike for each request with which a server was lost.

    A server crashed if it accepts no connection after one was lost: before an
    answer, within it, or at an end that only the connection marks. While a
    server may be running requests that nobody awaits, it is watched.
    """

    backends: BackendRegistry
    trials: Trials
    pool: ConnectionPool
    log: EventLog
    copies: AbandonedCopies = attrs.field(factory=AbandonedCopies)
    _watches: dict[str, ServerWatch] = attrs.field(factory=dict)  # by address
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    # Of the trial that this VM sends, by the fingerprint of its request.
    _witnesses: dict[str, Witnesses] = attrs.field(factory=dict)

    async def open_witnesses(self, call: Call) -> None:
        """Connect to other servers, to see whether they fall beside a trial."""
        self._close_witnesses(call.fingerprint)
        witnesses = Witnesses()
        self._witnesses[call.fingerprint] = witnesses
        await witnesses.open(choose_witnesses(self.backends, call.service))

    def give_back(self, fingerprint: str, *, ran: bool) -> None:
        """End a trial that proved nothing."""
        self._close_witnesses(fingerprint)
        self.trials.give_back(fingerprint, ran=ran)

    def record_end(self, call: Call, result: SendResult) -> None:
        """Record what the end of a request says about it.

        A complete answer absolves it; a trial that no server ran is given back.
        """
        response = result.response
        if response is None or result.rejected:
            if call.trial and not call.may_have_run:
                self.give_back(call.fingerprint, ran=False)
            return
        if response.body.truncated:
            self.check_server(call, result.server)
            return
        if not response.body.complete:
            self.abandon(call, result.server)
            return
        if response.until_close:
            # The end of the answer may be that of the server.
            self.check_server(call, result.server, answered=True)
            return
        self._record_answer(call)

    def abandon(self, call: Call, server: str) -> None:
        """Record a copy with which a server may go on, awaited by nobody."""
        if call.answered:
            return
        entry = self.backends.server(server)
        if entry is None:
            if call.trial:
                self.give_back(call.fingerprint, ran=True)
            return
        limit_s = MAX_ABANDONED_TRIAL_S if call.trial else MAX_ABANDONED_S
        until_s = min(call.deadline_at_s + DEADLINE_GRACE_S, now_s() + limit_s)
        copy = AbandonedCopy(call.fingerprint, until_s, call.trial)
        self.copies.add(server, copy)
        self.log.emit(
            'copy_abandoned',
            id=call.metadata.request_id,
            fingerprint=call.fingerprint,
            server=server,
            trial=call.trial,
            watched_ms=(until_s - now_s()) * 1000,
        )
        self._start_watch(entry, anyway=call.trial)

    def record_lost(self, address: str) -> None:
        """Record that a server ended a connection."""
        watch = self._watches.get(address)
        if watch is not None:
            watch.record_lost()

    def check_server(
        self, call: Call, server: str, *, answered: bool = False
    ) -> None:
        """Check in the background whether a server accepts connections.

        If it does, the request is absolved if it was ``answered``.
        """
        entry = self.backends.server(server)
        if entry is not None:
            self._start(self._check(call, entry, answered=answered))

    async def _check(
        self, call: Call, entry: BackendServer, *, answered: bool
    ) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        if answered and self.pool.has_open(entry.address):
            # The end of the process would have ended this connection too.
            self._record_answer(call)
            return
        copy = AbandonedCopy(call.fingerprint, 0, call.trial)
        try:
            conn = await reach(entry.address)
        except ConnectionRefused:
            self._strike(copy, entry, why='connection_lost')
            self._record_ended(entry)
            return
        if conn is None:
            # Maybe the way to the server was cut, so a trial proves nothing.
            if call.trial:
                self.give_back(call.fingerprint, ran=True)
            else:
                self._strike(copy, entry, why='connection_lost')
            return
        conn.close()
        if answered:
            self._record_answer(call)
        else:
            # The server may be running it all the same.
            self.abandon(call, entry.name)

    def _start_watch(self, entry: BackendServer, *, anyway: bool) -> None:
        if entry.address in self._watches:
            return
        if len(self._watches) >= MAX_WATCHED and not anyway:
            # It is checked only if the connection of a request is lost.
            return
        watch = ServerWatch(self.pool, entry.address)
        self._watches[entry.address] = watch
        self._start(self._watch(entry, watch))

    async def _watch(self, entry: BackendServer, watch: ServerWatch) -> None:
        try:
            while self._has_copies(entry):
                left_s = self.copies.next_end_s(entry.name) - now_s()
                if await watch.has_ended(left_s):
                    self._record_ended(entry)
        finally:
            self._watches.pop(entry.address, None)
            watch.close()

    def _has_copies(self, entry: BackendServer) -> bool:
        """Return whether a server may still be running abandoned copies."""
        for copy in self.copies.expire(entry.name, now_s()):
            self._give_back(copy)
        return self.copies.has(entry.name)

    def _record_ended(self, entry: BackendServer) -> None:
        """Record strikes of what a server was running when it ended."""
        now = now_s()
        for copy in self.copies.take(entry.name):
            if copy.until_s < now or self._is_leaving(entry):
                self._give_back(copy)
            else:
                self._strike(copy, entry, why='abandoned')

    def _is_leaving(self, entry: BackendServer) -> bool:
        """Return whether the end of a server was to be expected."""
        candidate = self.backends.candidate(entry.name)
        return candidate is None or candidate.draining

    def _give_back(self, copy: AbandonedCopy) -> None:
        if copy.trial:
            # The server survived it.
            self.give_back(copy.fingerprint, ran=True)

    def _record_answer(self, call: Call) -> None:
        call.answered = True
        self._close_witnesses(call.fingerprint)
        self.trials.record_answer(call.fingerprint)

    def _strike(
        self, copy: AbandonedCopy, entry: BackendServer, *, why: str
    ) -> None:
        candidate = self.backends.candidate(entry.name)
        if candidate is not None:
            candidate.load.eject(now_s())
        witnesses = self._witnesses.get(copy.fingerprint)
        if copy.trial and witnesses is not None:
            self._start(self._judge_trial(copy, entry, witnesses, why))
        else:
            self._record_crash(copy, entry, why)

    async def _judge_trial(
        self,
        copy: AbandonedCopy,
        entry: BackendServer,
        witnesses: Witnesses,
        why: str,
    ) -> None:
        """Record a strike of a trial unless other servers fell beside it."""
        if await witnesses.has_fallen(entry.address):
            self.log.emit(
                'trial_beside_crash',
                important=True,
                fingerprint=copy.fingerprint,
                server=entry.name,
            )
            self.give_back(copy.fingerprint, ran=True)
            return
        self._close_witnesses(copy.fingerprint)
        self._record_crash(copy, entry, why)

    def _record_crash(
        self, copy: AbandonedCopy, entry: BackendServer, why: str
    ) -> None:
        crash = Crash(entry.name, entry.started_ms)
        self.trials.record_crash(
            copy.fingerprint, crash, trial=copy.trial, why=why
        )

    def _close_witnesses(self, fingerprint: str) -> None:
        witnesses = self._witnesses.pop(fingerprint, None)
        if witnesses is not None:
            witnesses.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
