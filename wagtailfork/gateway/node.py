"""The gateway's process, assembled from its parts."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Final, Protocol

import attrs

from ..core.address import split_address
from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.event_log import EventLog
from ..core.logs import log_event, log_fault
from ..core.settings import GatewaySettings
from ..core.supervisor import Supervisor
from ..fleet.addresses import choose_addresses
from ..fleet.members import Member, Membership
from ..fleet.snapshots import answer_snapshot, read_query
from ..http1.caller import CallerRequest, CallerServer, Limits
from ..http1.pool import ConnectionPool
from ..routing.allowance import RetryAllowance
from ..routing.late_binding import Candidate
from .dialect import Dialect
from .fleet_link import FleetLink
from .forwarder import Forwarder
from .prober import Prober
from .roster import Geography, Roster
from .view import DecodeConfiguration, DecodeServer, View

SWEEP_S: Final = 1.0
FLUSH_S: Final = 0.1
NEWS_S: Final = 0.02  # changes that come together are told together
FAR_NEWS_S: Final = 0.3  # time for other domains to learn a change themselves
FIRST_LIST_S: Final = 0.5  # VMs that start together list themselves meanwhile
RELIST_S: Final = 5.0  # while no other VM is heard
STOP_STEP_S: Final = 0.05
SHARE_KEPT: Final = 0.85  # of the retry allowance; VMs may be counted late

_logger = logging.getLogger(__name__)


class Source(Protocol):
    """Bring configuration, servers and VMs from where they last."""

    @property
    def reading(self) -> bool:
        """Tell whether the source is followed with success."""

    @property
    def failing(self) -> bool:
        """Tell whether the source fails."""

    async def follow_configuration(self) -> None:
        """Follow the configuration for good."""

    async def follow_servers(self) -> None:
        """Follow the table of servers for good."""

    async def list_vms(self) -> list[Member]:
        """Read which VMs have listed themselves."""

    async def list_me(self, me: Member) -> None:
        """List this VM."""


class Directory(Protocol):
    """Answer the calls on readiness and addresses."""

    async def handle_ready(self, req: CallerRequest) -> None:
        """Say whether this VM takes requests."""

    async def handle_resolve(self, req: CallerRequest) -> None:
        """Say where to connect."""


AddressesOf = Callable[[str, str], list[str]]
MakeSource = Callable[[View, Callable[[], bool]], Source]
MakeDirectory = Callable[[Callable[[], bool], AddressesOf], Directory]


@attrs.frozen(kw_only=True)
class Adapter:
    """Hold what connects a gateway to the world that it serves in."""

    dialect: Dialect
    decode_configuration: DecodeConfiguration
    decode_server: DecodeServer
    make_source: MakeSource
    make_directory: MakeDirectory


class GatewayNode:
    """Run one gateway until it is asked to stop."""

    def __init__(self, cfg: GatewaySettings, adapter: Adapter) -> None:
        """Build the parts; ``run`` starts them."""
        self.cfg = cfg
        self.adapter = adapter
        self.log = EventLog(lines_per_s=cfg.log_lines_per_s)
        self.pool = ConnectionPool()
        self.leaving = False
        self._stop = asyncio.Event()
        self._news: asyncio.TimerHandle | None = None
        self._allowances: dict[str, RetryAllowance] = {}
        self.membership = Membership(self._describe_me())
        self.geography = Geography(
            failure_domain=cfg.failure_domain,
            regions=cfg.regions,
            near_price=cfg.near_price,
            far_price=cfg.far_price,
        )
        self.roster = Roster(self.geography, self.pool.drop, self._look)
        self.view = View(
            adapter.decode_configuration,
            adapter.decode_server,
            self._on_view_changed,
        )
        self.forwarder = self._make_forwarder()
        self.link = self._make_link()
        self.source = adapter.make_source(self.view, self.link.should_read)
        self.prober = self._make_prober()
        directory = adapter.make_directory(self.is_ready, self._addresses)
        self.callers = CallerServer(self.forwarder.handle, self._limits)
        self._side_servers = (
            (CallerServer(directory.handle_ready, Limits), cfg.ready_address),
            (
                CallerServer(directory.handle_resolve, Limits),
                cfg.directory_address,
            ),
            (CallerServer(self._handle_snapshot, Limits), cfg.fleet_address),
        )

    def is_ready(self) -> bool:
        """Tell whether this VM takes requests."""
        return self.view.complete and not self.leaving

    def ask_stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until asked to stop, then leave cleanly."""
        log_event(
            _logger,
            'started',
            vm=self.cfg.vm,
            incarnation=self.membership.me.incarnation,
            callers=self.cfg.caller_address,
        )
        await self.link.open()
        await self._listen()
        parts = asyncio.create_task(self._supervise())
        stop = asyncio.create_task(self._stop.wait())
        await asyncio.wait((parts, stop), return_when=asyncio.FIRST_COMPLETED)
        await self._leave()
        parts.cancel()
        self.log.flush()
        log_event(_logger, 'stopped', vm=self.cfg.vm)

    # The parts.

    def _describe_me(self) -> Member:
        return Member(
            address=self.cfg.fleet_address,
            caller_address=self.cfg.caller_address,
            failure_domain=self.cfg.failure_domain,
            region=self.cfg.region,
            incarnation=round(time.time() * 1000),
        )

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(
            view=self.view,
            roster=self.roster,
            pool=self.pool,
            dialect=self.adapter.dialect,
            log=self.log,
            allowance=self._allowance,
            vms=lambda: self.membership.count(now_s()),
            load_changed=self._load_changed,
            strike=self._strike,
        )

    def _make_link(self) -> FleetLink:
        return FleetLink(
            membership=self.membership,
            view=self.view,
            roster=self.roster,
            geography=self.geography,
            pool=self.pool,
            quarantine=self.forwarder.quarantine,
            is_ready=self.is_ready,
            is_reading=lambda: self.source.reading,
        )

    def _make_prober(self) -> Prober:
        return Prober(
            view=self.view,
            roster=self.roster,
            membership=self.membership,
            pool=self.pool,
            dialect=self.adapter.dialect,
            geography=self.geography,
            log=self.log,
            period_s=self.cfg.probe_period_s,
            tell=self._tell_probe,
        )

    async def _supervise(self) -> None:
        supervisor = Supervisor('gateway')
        supervisor.add('heartbeats', self.link.run_heartbeats)
        supervisor.add('digests', self.link.run_digests)
        supervisor.add('discovery', self._discover)
        supervisor.add('configuration', self.source.follow_configuration)
        supervisor.add('servers', self.source.follow_servers)
        supervisor.add('prober', self.prober.run)
        supervisor.add('sweeper', self._sweep)
        supervisor.add('log', self._flush_log)
        await supervisor.run()

    async def _listen(self) -> None:
        host, port = split_address(self.cfg.caller_address)
        for server, address in self._side_servers:
            await server.listen(*split_address(address))
        await self.callers.listen(host, port)

    async def _discover(self) -> None:
        listed = False
        await asyncio.sleep(0)
        while True:
            try:
                if not listed:
                    await self.source.list_me(self.membership.me)
                    listed = True
                    await self._greet()
                    await asyncio.sleep(FIRST_LIST_S)
                if self.membership.count(now_s()) == 1:
                    await self._greet()
            except WagtailforkError as exc:
                log_fault(_logger, 'discovery_failed', error=exc)
            await asyncio.sleep(RELIST_S if listed else FIRST_LIST_S)

    async def _greet(self) -> None:
        self.link.introduce(await self.source.list_vms())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.pool.sweep()
            self.membership.forget_old(now_s())
            for queue in self.roster.queues.values():
                queue.pump()

    async def _flush_log(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self.log.flush()

    # What the parts ask of each other.

    def _limits(self) -> Limits:
        cfg = self.view.configuration
        return cfg.limits if cfg else Limits()

    def _addresses(self, region: str, domain: str) -> list[str]:
        return choose_addresses(self.membership, region, domain, now_s())

    def _allowance(self, service: str) -> RetryAllowance:
        found = self._allowances.get(service)
        if found is None:
            share = self.cfg.retries
            found = RetryAllowance(
                ratio=share.ratio * SHARE_KEPT,
                slack=share.slack * SHARE_KEPT,
                window_s=share.window_s,
            )
            self._allowances[service] = found
        return found

    async def _look(self, candidate: Candidate) -> bool:
        return await self.prober.look(candidate)

    def _load_changed(self, candidate: Candidate) -> None:
        self.link.load_changed(candidate)

    def _tell_probe(self, candidate: Candidate, silent: bool) -> None:
        self.link.load_changed(candidate, silent=silent)
        server = self.roster.server(candidate.name)
        if server is not None:
            self.roster.queue(server.service).pump_soon()

    def _strike(self, fingerprint: str, server: str) -> None:
        """Leave a request whose answer was lost unpunished for now."""

    def _on_view_changed(self) -> None:
        self.roster.update(self.view.servers)
        cfg = self.view.configuration
        if cfg is not None:
            self.forwarder.turns.forget(cfg.routes)
        if self._news is None:
            loop = asyncio.get_running_loop()
            self._news = loop.call_later(NEWS_S, self._announce)

    def _announce(self) -> None:
        self._news = None
        self.link.announce()
        loop = asyncio.get_running_loop()
        loop.call_later(FAR_NEWS_S, self.link.announce_far)

    async def _handle_snapshot(self, req: CallerRequest) -> None:
        version, position = read_query(req)
        found = self.view.snapshot(version, position)
        parts = (found.configuration, found.position, dict(found.servers))
        answer_snapshot(req, parts)

    # A planned stop.

    async def _leave(self) -> None:
        self.leaving = True
        self.callers.leaving = True
        begun = now_s()
        log_event(_logger, 'leaving', vm=self.cfg.vm, busy=self.callers.busy())
        self.link.announce()
        self.link.announce_far()
        await asyncio.sleep(self.cfg.stop_accepts_s)
        self.callers.stop_listening()
        while now_s() - begun < self.cfg.stop_limit_s:
            self.callers.close_idle()
            if not self.callers.busy():
                break
            await asyncio.sleep(STOP_STEP_S)
        self.link.close()
