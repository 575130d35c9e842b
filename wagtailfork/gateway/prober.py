"""Probe the load of the backend servers in the VM's failure domain.

Each server is probed by one VM of its domain, which shares the load report
with its neighbours, so the cost does not grow with the number of VMs.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..http1.headers import render_head
from ..http1.pool import ConnectionPool
from ..http1.responses import (
    BackendResponse,
    RequestNotSent,
    ResponseError,
)
from ..routing.candidate import Candidate
from ..routing.load import report_now
from .backend_registry import BackendRegistry, Topology
from .dialect import Dialect
from .model import BackendServer
from .view import View

PROBE_TIMEOUT_S: Final = 0.25  # after which a probe counts as failed
IDLE_S: Final = 2.0  # services without requests for this long are not probed
REFRESH_MARGIN_S: Final = 0.02  # plus round trips; servers respond within 1 ms
FAILED_PROBES_TO_EJECT: Final = 2  # consecutive failures
FAILED_BACKOFF_PERIODS: Final = 3  # probe periods to wait after a failed probe
NO_LOAD_BACKOFF_PERIODS: Final = 20  # likewise, for servers that report no load


@attrs.define(eq=False)
class _ProbeState:
    in_progress: bool = False
    next_at_s: float = 0


# Called with a candidate and whether it was ejected.
ReportChanged = Callable[[Candidate, bool], None]


@attrs.define(eq=False, kw_only=True)
class Prober:
    """Keep the load reports of the servers assigned to this VM up to date."""

    view: View
    backends: BackendRegistry
    membership: Membership
    pool: ConnectionPool
    dialect: Dialect
    topology: Topology
    log: EventLog
    period_s: float
    on_report: ReportChanged
    shares_loads: Callable[[], bool]  # whether neighbours receive reports
    probes: int = 0
    _states: dict[str, _ProbeState] = attrs.field(factory=dict)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def refresh_load(self, candidate: Candidate) -> bool:
        """Probe a server just before a request is sent to it.

        Return whether the load state may have changed. A nearly full server
        would make a new connection wait for a slot, so none is opened.
        """
        server = self.backends.server(candidate.name)
        if server is None:
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

    async def run(self) -> None:
        """Probe the assigned servers periodically, without end."""
        while True:
            # Without sharing, servers are probed only just before a send.
            if self.shares_loads():
                self._start_probes()
                await asyncio.sleep(self.period_s / 4)
            else:
                await asyncio.sleep(self.period_s)

    def _start_probes(self) -> None:
        now = now_s()
        for server, candidate in self._assigned_servers(now):
            state = self._states.setdefault(server.name, _ProbeState())
            state.in_progress = True
            task = asyncio.create_task(self._probe(server, candidate, state))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        for name in self._states.keys() - self.view.servers.keys():
            self._states.pop(name)

    def _assigned_servers(
        self, now: float
    ) -> Iterator[tuple[BackendServer, Candidate]]:
        """Yield the servers due for a probe that are assigned to this VM."""
        probers: dict[str, list[str]] = {}
        for server, candidate in self.backends.candidates():
            if not self._is_due(server, candidate, now):
                continue
            domain = server.failure_domain
            if domain not in probers:
                probers[domain] = self._probers(domain, now)
            if rendezvous(server.name, probers[domain]) == self._own_address():
                yield server, candidate

    def _own_address(self) -> str:
        return self.membership.me.address

    def _is_due(
        self,
        server: BackendServer,
        candidate: Candidate,
        now: float,
    ) -> bool:
        state = self._states.get(server.name)
        if state is not None and (state.in_progress or now < state.next_at_s):
            return False
        if server.draining:
            return False
        if now - self.backends.queue(server.service).last_request_at_s > IDLE_S:
            return False
        report = candidate.load.report
        return report is None or now - report.at_s >= self.period_s

    def _probers(self, domain: str, now: float) -> list[str]:
        members = self.membership.in_domain(domain, now)
        if not members and self.topology.is_near(domain):
            region = self.membership.me.region
            members = [
                one
                for one in self.membership.alive(now)
                if one.region == region
            ]
            members.append(self.membership.me)
        return [one.address for one in members]

    async def _probe(
        self,
        server: BackendServer,
        candidate: Candidate,
        state: _ProbeState,
    ) -> None:
        self.probes += 1
        periods = 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                has_load = await self._exchange(server, candidate)
        except (RequestNotSent, ResponseError, TimeoutError) as exc:
            self._record_failure(candidate, exc)
            periods = FAILED_BACKOFF_PERIODS
        else:
            if not has_load:
                periods = NO_LOAD_BACKOFF_PERIODS
        finally:
            state.in_progress = False
        state.next_at_s = now_s() + periods * self.period_s

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
        try:
            response = await conn.exchange(
                self._render_head(server), accept=self._is_own_response
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
        if metadata.load is None:
            return False
        candidate.load.unanswered_probes = 0
        candidate.load.readmit()
        self.backends.slowdown.record(metadata.load.slowness)
        if candidate.load.record_report(metadata.load):
            self.on_report(candidate, False)
        return True

    def _is_own_response(self, response: BackendResponse) -> bool:
        """Return whether a response is not one to a request of a caller."""
        return self.dialect.read_response(response).request_id is None

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
        self.on_report(candidate, ejected)
