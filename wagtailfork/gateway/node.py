"""The gateway process, assembled from its parts."""

import asyncio
import functools
import logging
import time
from collections.abc import Mapping
from typing import Any, Final

from ..core.address import split_address
from ..core.clock import now_s
from ..core.event_log import EventLog
from ..core.logs import log_event
from ..core.settings import GatewaySettings
from ..core.supervisor import Supervisor
from ..fleet.addresses import choose_addresses
from ..fleet.member import Member
from ..fleet.members import Membership
from ..fleet.messages import Message
from ..http1.pool import ConnectionPool
from ..http1.request import Limits
from ..http1.server import CallerServer
from ..routing.allowance import Allowances
from ..routing.candidate import Candidate
from ..routing.routes import ServiceRule
from ..traffic.ledger import Ledger
from .accounting import TrafficAccounting
from .adapter import Adapter
from .age_queries import AgeQueries
from .answer_recorder import AnswerRecorder
from .backend_registry import BackendRegistry, Topology
from .connection_bounds import ConnectionBounds
from .crash_detector import CrashDetector
from .discovery import Discovery
from .evidence import make_evidence
from .fleet_link import FleetLink
from .forwarder import Forwarder
from .key_check import KeyGate
from .limit_recorder import LimitRecorder
from .limit_shares import LimitShares
from .meters import Meters
from .model import Configuration
from .placement_client import PlacementClient
from .pipelining import OverlapPolicy
from .placement_coordinator import PlacementCoordinator
from .planned_stop import PlannedStop
from .prober import Prober
from .quotas import Quotas
from .reader_election import ReaderElection, start_of_reading_s
from .responder import Responder
from .retained_appends import RetainedAppends
from .second_copy import HedgePolicy
from .sender import Sender
from .shutdown import shut_down
from .side_handlers import MetricsHandler, PeerHandler
from .spill_exchange import SpillExchange
from .statement_recorder import StatementRecorder
from .traffic_keeper import TrafficReplicator
from .trials import Trials
from .view import STORE, View
from .warm_up_recorder import WarmUpRecorder

SWEEP_INTERVAL_S: Final = 1.0
TICK_INTERVAL_S: Final = 0.1  # for flushing logs and removing expired servers
ANNOUNCE_DELAY_S: Final = 0.02  # batches changes that arrive together
# Other domains usually read a change themselves within the first delay. The
# second announcement covers lost datagrams, well within the 2.5 s that a server
# takes to leave.
FAR_ANNOUNCE_DELAYS_S: Final = (0.3, 0.9)

_logger = logging.getLogger(__name__)


class GatewayNode:
    """Run one gateway until a stop is requested."""

    def __init__(self, cfg: GatewaySettings, adapter: Adapter) -> None:
        """Create the parts; ``run`` starts them."""
        self.cfg = cfg
        self.adapter = adapter
        self.log = EventLog(lines_per_s=cfg.log_lines_per_s, vm=cfg.vm)
        self.pool = ConnectionPool()
        self.meters = Meters()
        self.limits = LimitRecorder(self.log, self._on_limit_changed)
        self.statements = StatementRecorder(
            self.log, self._on_leaving, self._on_wait
        )
        self.draining = False
        self.planned_stop = PlannedStop.from_settings(cfg)
        self._stop = asyncio.Event()
        self._announce_timer: asyncio.TimerHandle | None = None
        self._changed_by_store = False  # not only by other VMs
        self._applied_configuration: Configuration | None = None
        self.allowances = Allowances(
            cfg.retries,
            0 if cfg.first_start else now_s() + cfg.retries.window_s,
        )
        self.membership = Membership(self._own_member())
        self.topology = Topology(
            failure_domain=cfg.failure_domain,
            regions=cfg.regions,
            near_price=cfg.near_price,
            far_price=cfg.far_price,
        )
        self.warm_ups = WarmUpRecorder(
            self.log, self._service_rule, self._on_limit_changed
        )
        self.backends = BackendRegistry(
            self.topology, self.pool.drop, self._refresh_load, self.warm_ups
        )
        self.pool.max_idle = ConnectionBounds(
            vm=cfg.vm,
            backends=self.backends,
            services=self._services,
            vm_count=self._vm_count,
        ).max_idle
        self.view = View(
            adapter.decode_configuration,
            adapter.decode_server,
            self._on_view_changed,
        )
        self.evidence = make_evidence(cfg, self.view, self.membership)
        self.age = self.evidence.age
        self.gate = KeyGate(self.view, self.age)
        self.quotas = Quotas(
            membership=self.membership,
            configuration=lambda: self.view.configuration,
            send=self._send_to_vms,
            log=self.log,
        )
        self.coordinator = PlacementCoordinator(
            self.backends.queue,
            self._send_to_vms,
            self._is_live,
            self.limits,
            self.quotas,
        )
        self.placer = PlacementClient(
            membership=self.membership,
            find=self.backends.candidate,
            send=self._send_to_vms,
            log=self.log,
            quotas=self.quotas,
        )
        self.spill = self._make_spill() if cfg.spill else None
        self.coordinator.spill = self.spill
        self.placer.asks_itself = cfg.spill
        self.limit_shares = LimitShares(
            self.membership, self.placer, cfg.regions
        )
        self.appends = RetainedAppends(
            append_once=self._append_traffic, era=self._store_era
        )
        self.ledger = Ledger(
            cfg.vm,
            str(self.membership.me.incarnation),
            self.appends.append,
            cfg.traffic_flush_s,
        )
        self.trials = Trials(
            membership=self.membership,
            send=self._send_to_vms,
            log=self.log,
        )
        self.crash_detector = CrashDetector(
            backends=self.backends,
            trials=self.trials,
            pool=self.pool,
            log=self.log,
        )
        self.pool.on_lost = self.crash_detector.record_lost
        self.forwarder = self._make_forwarder()
        self.link = self._make_link()
        self.reader_election = ReaderElection(
            membership=self.membership,
            reads_store=self._reads_store,
            reads_from_s=start_of_reading_s(first_start=cfg.first_start),
            has_list=self._has_list,
            store_call_s=self._store_call_s,
        )
        self.source = adapter.make_source(
            self.view,
            self.reader_election.should_read,
            self._announce_reading,
            self.age.record_read,
        )
        self.age_queries = AgeQueries(
            membership=self.membership,
            age=self.age,
            send=self._send_to_vms,
            is_active=self._is_age_used,
        )
        self.evidence.ask = self.age_queries.ask
        self.discovery = Discovery(
            source=self.source,
            link=self.link,
            membership=self.membership,
            era=self._store_era,
            first_start=cfg.first_start,
        )
        self.replicator = TrafficReplicator(
            ledger=self.ledger,
            membership=self.membership,
            append=self.appends.append,
        )
        self.prober = self._make_prober()
        directory = adapter.make_directory(self.is_ready, self._addresses)
        self.callers = CallerServer(
            self.forwarder.handle,
            self._limits,
            OverlapPolicy(self.view).may_overlap,
            self.forwarder.responder.reject,
        )
        peers = PeerHandler(self.view, self.replicator, self.meters.snapshots)
        self._side_servers: list[tuple[CallerServer, str]] = [
            (CallerServer(directory.handle_ready, Limits), cfg.ready_address),
            (
                CallerServer(directory.handle_resolve, Limits),
                cfg.directory_address,
            ),
            (CallerServer(peers.handle, Limits), cfg.fleet_address),
        ]
        if cfg.metrics_address is not None:
            page = CallerServer(MetricsHandler(self).handle, Limits)
            self._side_servers.append((page, cfg.metrics_address))

    def is_ready(self) -> bool:
        """Return whether this VM accepts requests."""
        return self.view.complete and not self.draining

    def is_fresh(self) -> bool:
        """Return whether this VM can trust the keys of customers now."""
        return not self.gate.active or self.age.is_fresh(now_s())

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stop.set()

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply the log limit and the retry share of new settings."""
        self.log.lines_per_s = cfg.log_lines_per_s
        self.allowances.share = cfg.retries
        log_event(_logger, 'reloaded', lines_per_s=cfg.log_lines_per_s)

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        log_event(
            _logger,
            'started',
            incarnation=self.membership.me.incarnation,
            callers=self.cfg.caller_address,
        )
        await self.link.open()
        await self._listen()
        parts = asyncio.create_task(self._supervise())
        stop = asyncio.create_task(self._stop.wait())
        try:
            await asyncio.wait(
                (parts, stop), return_when=asyncio.FIRST_COMPLETED
            )
            await shut_down(self)
        finally:
            parts.cancel()
            stop.cancel()
        log_event(_logger, 'stopped')
        self.log.flush()

    # Construction and main loops.

    def _own_member(self) -> Member:
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
            backends=self.backends,
            dialect=self.adapter.dialect,
            log=self.log,
            allowance=self.allowances.of,
            vm_count=self._vm_count,
            meters=self.meters,
            sender=self._make_sender(),
            hedging=HedgePolicy(
                allowance=self.allowances.of,
                vm_count=self._vm_count,
                refresh_load=self._refresh_load,
                log=self.log,
                meters=self.meters,
            ),
            responder=Responder(
                dialect=self.adapter.dialect,
                log=self.log,
                meters=self.meters,
                evidence=self.evidence,
            ),
            trials=self.trials,
            crashes=self.crash_detector,
        )

    def _make_sender(self) -> Sender:
        return Sender(
            pool=self.pool,
            placer=self.placer,
            dialect=self.adapter.dialect,
            log=self.log,
            suspect_crash=self.crash_detector.check_server,
            abandon_copy=self.crash_detector.abandon,
            limits=self.limits,
            statements=self.statements,
            answers=AnswerRecorder(self.log, self.meters),
            planned_stop=self.planned_stop,
            gate=self.gate,
            quarantine=self.trials.quarantine,
            record_send=TrafficAccounting(
                ledger=self.ledger,
                meters=self.meters,
                backends=self.backends,
            ).record,
        )

    def _make_spill(self) -> SpillExchange:
        return SpillExchange(
            membership=self.membership,
            topology=self.topology,
            coordinator_of=self.placer.coordinator_of,
            queues=self.backends.queues,
            send=self._send_to_vms,
            log=self.log,
            outcomes=self.meters.referrals,
        )

    def _make_link(self) -> FleetLink:
        return FleetLink(
            membership=self.membership,
            view=self.view,
            trials=self.trials,
            placer=self.placer,
            coordinator=self.coordinator,
            quotas=self.quotas,
            is_ready=self.is_ready,
            reads_store=self._reads_store,
            is_stale=self._is_stale,
            age=self.age,
        )

    def _make_prober(self) -> Prober:
        return Prober(
            view=self.view,
            backends=self.backends,
            pool=self.pool,
            dialect=self.adapter.dialect,
            log=self.log,
            limits=self.limits,
            statements=self.statements,
            warm_ups=self.warm_ups,
        )

    async def _supervise(self) -> None:
        supervisor = Supervisor('gateway')
        supervisor.add('heartbeats', self.link.heartbeats.run)
        supervisor.add('discovery', self.discovery.run)
        supervisor.add('configuration', self.source.follow_configuration)
        supervisor.add('servers', self.source.follow_servers)
        supervisor.add('sweeper', self._sweep)
        supervisor.add('age', self.age_queries.run)
        supervisor.add('quotas', self.quotas.run)
        supervisor.add('ticker', self._tick)
        supervisor.add('traffic', self.ledger.run)
        supervisor.add('traffic_keeper', self.replicator.run)
        supervisor.add('retained_appends', self.appends.run)
        if self.spill is not None:
            spill = functools.partial(
                self.spill.run, self.coordinator.count_guests
            )
            supervisor.add('spill', spill)
        await supervisor.run()

    async def _listen(self) -> None:
        host, port = split_address(self.cfg.caller_address)
        for server, address in self._side_servers:
            await server.listen(*split_address(address))
        await self.callers.listen(host, port)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.pool.sweep()
            self.membership.remove_expired(now_s())
            self.limit_shares.update(now_s())
            for queue in self.backends.queues.values():
                queue.sharing_vms = self._count_sharing(queue.service)
                queue.dispatch()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.view.remove_expired(now_s())
            self.coordinator.remove_expired(now_s())
            self.log.flush()

    # Callbacks between the parts.

    def _limits(self) -> Limits:
        cfg = self.view.configuration
        return cfg.limits if cfg else Limits()

    def _services(self) -> Mapping[str, ServiceRule]:
        cfg = self.view.configuration
        return cfg.services if cfg else {}

    def _service_rule(self, service: str) -> ServiceRule | None:
        cfg = self.view.configuration
        return cfg.services.get(service) if cfg else None

    def _addresses(self, region: str, domain: str) -> list[str]:
        return choose_addresses(
            self.membership, region, domain, now_s(), stale=self._is_stale()
        )

    def _is_stale(self) -> bool:
        return not self.is_fresh()

    def _is_age_used(self) -> bool:
        return self.gate.active or self.evidence.wanted

    def _reads_store(self) -> bool:
        return self.source.reads_store

    def _has_list(self) -> bool:
        return self.discovery.listed

    def _store_call_s(self) -> float:
        return self.source.usage.fastest_s

    def _announce_reading(self) -> None:
        """Tell the neighbours at once that this VM reads, or got ready.

        Until its own row says that it is ready, it coordinates no service.
        """
        me = self.membership.me
        told = (me.reads_store, me.ready)
        if told != (self.source.reads_store, self.is_ready()):
            self.link.heartbeats.announce()

    def _store_era(self) -> int:
        """Return the latest era that this VM or another one heard of."""
        return max(self.source.usage.era, self.view.position.era)

    def _vm_count(self) -> int:
        """Count the VMs that share the slack of the retries.

        A VM that is down has spent its part, or is only cut off and spends it.
        """
        return self.membership.known_count()

    def _is_live(self, address: str) -> bool:
        # With the setting `spill`, this VM's own requests are placed as well.
        if address == self.membership.me.address:
            return True
        return self.membership.is_up(address, now_s())

    def _is_listed(self, candidate: Candidate) -> bool:
        return self.backends.candidate(candidate.name) is candidate

    def _on_limit_changed(self, candidate: Candidate) -> None:
        self.limit_shares.apply_change(candidate, now_s())

    def _on_leaving(self, candidate: Candidate) -> None:
        # An old response may be about an earlier process of the server.
        if self._is_listed(candidate):
            self.view.record_leaving(candidate.name)

    def _on_wait(self, candidate: Candidate, until_s: float) -> None:
        queue = self.backends.queue(candidate.service)
        queue.table.record_wait(candidate, until_s)

    async def _refresh_load(self, candidate: Candidate) -> bool:
        return await self.prober.refresh_load(candidate)

    def _count_sharing(self, service: str) -> int:
        """Count the queues of the region that share a service's servers."""
        now = now_s()
        me = self.membership.me
        if self.placer.coordinator_of(service) != me.address:
            return self.membership.region_count(now)
        if self.spill is not None:
            # Other domains leave the servers to this coordinator.
            return 1
        domains = {
            one.failure_domain
            for one in self.membership.alive(now)
            if one.region == me.region
        }
        return len(domains | {me.failure_domain})

    def _send_to_vms(self, message: Message, addresses: list[str]) -> None:
        self.link.send(message, addresses)

    def _on_view_changed(self, source: str) -> None:
        self.backends.evacuate(self.view.evacuations.domains)
        self.backends.update(self.view.servers)
        self.limit_shares.retain(self._is_listed)
        cfg = self.view.configuration
        if cfg is not None:
            self.forwarder.round_robin.retain(cfg.routes)
        if cfg is not self._applied_configuration:
            self._applied_configuration = cfg
            self.backends.apply_rules()
        self._changed_by_store = self._changed_by_store or source == STORE
        if self._announce_timer is None:
            loop = asyncio.get_running_loop()
            self._announce_timer = loop.call_later(
                ANNOUNCE_DELAY_S, self._announce
            )

    def _announce(self) -> None:
        self._announce_timer = None
        relayed = not self._changed_by_store
        self._changed_by_store = False
        self.link.heartbeats.announce(relayed=relayed)
        loop = asyncio.get_running_loop()
        for delay_s in FAR_ANNOUNCE_DELAYS_S:
            loop.call_later(delay_s, self.link.heartbeats.announce_far)

    async def _append_traffic(self, summary: Any) -> None:
        await self.source.append_traffic(summary)
