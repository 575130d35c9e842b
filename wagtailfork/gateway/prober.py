"""Probe the load of a backend server just before a request is sent to it."""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..http1.headers import render_head
from ..http1.pool import ConnectionPool
from ..http1.responses import (
    BackendResponse,
    RequestNotSent,
    ResponseError,
)
from ..routing.candidate import Candidate
from ..routing.load import report_now
from .backend_registry import BackendRegistry
from .dialect import Dialect
from .limit_recorder import LimitRecorder
from .model import BackendServer
from .statement_recorder import StatementRecorder
from .view import View
from .warm_up_recorder import WarmUpRecorder

PROBE_TIMEOUT_S: Final = 0.25  # after which a probe counts as failed
REFRESH_MARGIN_S: Final = 0.02  # plus round trips; servers respond within 1 ms
FAILED_PROBES_TO_EJECT: Final = 2  # consecutive failures


@attrs.define(eq=False, kw_only=True)
class Prober:
    """Refresh the load reports of servers."""

    view: View
    backends: BackendRegistry
    pool: ConnectionPool
    dialect: Dialect
    log: EventLog
    limits: LimitRecorder
    statements: StatementRecorder
    warm_ups: WarmUpRecorder
    probes: int = 0

    async def refresh_load(self, candidate: Candidate) -> bool:
        """Probe a server just before a request is sent to it.

        Return whether the load state may have changed. A nearly full server
        would make a new connection wait for a slot, so none is opened.
        """
        server = self.backends.server(candidate.name)
        if server is None:
            return True
        if candidate.evacuated:
            return True
        load = candidate.load
        nearly_full = load.estimated_requests(now_s()) >= load.slots - 1
        if nearly_full and not self.pool.has_idle(candidate.address):
            return False
        limit_s = REFRESH_MARGIN_S + 2 * candidate.distance.round_trip_s
        try:
            candidate.reports_load = await self._refresh(
                server, candidate, limit_s
            )
        except (RequestNotSent, ResponseError, TimeoutError) as exc:
            self._record_failure(candidate, exc)
        return True

    async def _refresh(
        self,
        server: BackendServer,
        candidate: Candidate,
        limit_s: float,
    ) -> bool:
        """Probe over an idle connection, and over a new one if that fails."""
        if self.pool.has_idle(candidate.address):
            try:
                return await self._probe_within(limit_s, server, candidate)
            except (ResponseError, TimeoutError) as exc:
                self._drop_connections(candidate, exc)
        return await self._probe_within(limit_s, server, candidate)

    async def _probe_within(
        self,
        limit_s: float,
        server: BackendServer,
        candidate: Candidate,
    ) -> bool:
        self.probes += 1
        async with asyncio.timeout(limit_s):
            return await self._exchange(server, candidate)

    def _drop_connections(self, candidate: Candidate, exc: Exception) -> None:
        """Close all idle connections to a server after a probe on one failed.

        Even a full server responds to health checks at once, so the connection
        is at fault. Whatever dropped its state has probably dropped the state
        of the other connections as well.
        """
        self.pool.drop(candidate.address)
        self.log.emit(
            'connections_retired',
            server=candidate.name,
            why=repr(exc),
        )

    async def _exchange(
        self,
        server: BackendServer,
        candidate: Candidate,
    ) -> bool:
        conn = await self.pool.acquire(
            server.address,
            once=False,
            timeout_s=PROBE_TIMEOUT_S,
        )
        sent_at_s = now_s()
        try:
            response = await conn.exchange(
                self._render_head(server),
                accept=self._is_own_response,
                request_id=None,
            )
            await response.body.wait_buffered()
        except BaseException:
            conn.close()
            raise
        until_s = self.pool.release(server.address, conn)
        candidate.connected_until_s = until_s
        metadata = self.dialect.read_response(response)
        if metadata.server not in {None, server.name}:
            candidate.load.eject(now_s())
            return True
        self.limits.record_probe(candidate, metadata.limit)
        self.statements.record_leaving(candidate, metadata)
        cold_changed = self.warm_ups.record_probe(
            candidate, metadata.warm_up_s, sent_at_s
        )
        if metadata.load is None:
            return cold_changed
        candidate.load.unanswered_probes = 0
        candidate.load.readmit()
        self.backends.slowdown.record(metadata.load.slowness)
        if candidate.load.record_report(metadata.load):
            self.backends.queue(server.service).schedule_dispatch()
        return True

    def _is_own_response(self, response: BackendResponse) -> bool:
        """Return whether a response is one to a probe."""
        metadata = self.dialect.read_response(response)
        return metadata.request_id is None and not metadata.not_run

    def _render_head(self, server: BackendServer) -> bytes:
        cfg = self.view.configuration
        rule = cfg.services.get(server.service) if cfg else None
        path = rule.health_path if rule else '/health'
        line = f'GET {path} HTTP/1.1'.encode()
        return render_head(line, [(b'Host', server.address.encode())])

    def _record_failure(self, candidate: Candidate, exc: Exception) -> None:
        load = candidate.load
        load.unanswered_probes += 1
        ejected = load.unanswered_probes >= FAILED_PROBES_TO_EJECT
        ejected = ejected or isinstance(exc, RequestNotSent)
        if ejected:
            load.eject(now_s())
            self.pool.drop(candidate.address)
        else:
            # A full server accepts a new connection only when a slot is free.
            slowness = load.slowness(now_s())
            load.record_report(report_now(load.slots, 1, load.slots, slowness))
        self.log.emit(
            'probe_failed',
            server=candidate.name,
            why=repr(exc),
            out=ejected,
        )
