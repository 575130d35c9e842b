"""The process of an entry VM: its parts, lifecycle and graceful shutdown."""

import asyncio
import functools
import logging
import secrets
import time
from typing import Final

from ..claims.range_manager import RangeManager
from ..claims.register import ClaimRegister
from ..control.follower import Follower
from ..control.log_client import TRAFFIC_STREAM, LogClient
from ..control.publisher import Publisher
from ..control.snapshotter import SnapshotPlan, Snapshotter
from ..core.lifecycle import Lifecycle, Transition
from ..core.logs import log_event
from ..core.server import HttpServer, bind
from ..core.settings import EntrySettings
from ..core.supervisor import Supervisor
from ..peers.mesh import Mesh
from ..peers.messages import Hello, Message
from ..proxy.app import ProxyApp
from ..proxy.claim_client import ClaimClient
from ..proxy.dispatcher import Dispatcher
from ..proxy.hedger import Hedger
from ..proxy.sender import Sender
from ..routing.admission import Admission
from ..routing.budget import LinkBudget
from ..routing.placement import Placement
from ..routing.pool import Pool
from ..routing.upstream import Upstream
from ..traffic.ledger import Ledger
from . import web
from .bootstrap import Bootstrap
from .crash_reports import CrashReportBroadcaster
from .directory import AdvertisedEntry, fill_key_prefixes
from .gap_skipper import GapSkipper
from .handlers import handle
from .lending import SlotLending
from .vm_list import LIVE, ListedVm, VmListFollower, VmListing

_INCARNATION_BYTES: Final = 6
_SWEEP_INTERVAL_S: Final = 0.05
_SERVING: Final = 'serving'

_logger = logging.getLogger(__name__)

_LIFECYCLE: Final = Lifecycle(
    ('starting', _SERVING, 'leaving', 'draining', 'stopped'),
    (
        Transition('begin', ('starting',), _SERVING),
        Transition('leave', ('starting', _SERVING), 'leaving'),
        Transition('drain', ('leaving',), 'draining'),
        Transition('stop', ('draining',), 'stopped'),
    ),
)


class EntryNode:
    """Build the parts of an entry VM and run them under supervisors."""

    def __init__(self, cfg: EntrySettings) -> None:
        """Build every part and bind the addresses; ``run`` starts them."""
        self.cfg = cfg
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.started_at = time.monotonic()
        self._stop_requested = asyncio.Event()
        self._build_control()
        self._build_claims()
        self._build_data_path()
        self._build_servers()
        self.state = _LIFECYCLE.initial

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        tree = asyncio.create_task(self._supervision_tree().run())
        try:
            await self._run_until_stopped(tree)
        finally:
            tree.cancel()
            await asyncio.gather(tree, return_exceptions=True)
            await self.upstream.close()

    async def _run_until_stopped(self, tree: asyncio.Task[None]) -> None:
        stopping = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait(
            (tree, stopping),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if stopping.done():
            await self._shut_down()
        stopping.cancel()

    def advertised_entries(self) -> list[AdvertisedEntry]:
        """Return the entry VMs that callers should use now."""
        advertised = []
        for vm in self.vm_list.listing.entries():
            prefix = self._advertised_prefix(vm)
            if prefix is None or vm.state != LIVE:
                continue
            advertised.append(AdvertisedEntry(vm=vm, key_prefix=prefix))
        return fill_key_prefixes(advertised)

    def _on_one_way(self, sender: str, message: Message) -> None:
        if self.lending is not None:
            self.lending.receive(sender, message)

    async def handle_message(self, message: Message) -> Message:
        """Return the reply to a message from a peer."""
        return await handle(message, self)

    def _advertised_prefix(self, vm: ListedVm) -> str | None:
        if vm.name == self.cfg.vm:
            serving = self.state == _SERVING
            return (
                self.range_manager.current_key_prefix() or ''
                if serving
                else None
            )
        link = self.mesh.by_address(vm.peer_address)
        if (
            link is None
            or link.last_heartbeat is None
            or link.last_heartbeat.phase != _SERVING
        ):
            return None
        return link.last_heartbeat.key_prefix

    def _build_control(self) -> None:
        cfg = self.cfg
        timing = cfg.timing
        self.log = LogClient(cfg.log_url, timing.log_timeout_s)
        self.follower = Follower(
            LogClient(cfg.log_url, timing.log_timeout_s),
            timing.log_poll_s,
        )
        self.publisher = Publisher(self.log, self.follower)
        self.snapshotter = Snapshotter(
            self.follower,
            self.publisher,
            SnapshotPlan(
                every_records=cfg.snapshot_every_records,
                every_s=timing.snapshot_every_s,
            ),
        )
        self.vm_list = VmListFollower(
            cfg.vm_list_url,
            timing.vm_list_poll_s,
            self._on_listing,
        )
        self.mesh = Mesh(
            Hello(vm=cfg.vm, incarnation=self.incarnation),
            cfg.region,
            timing.heartbeat_s,
            timing.peer_down_s,
        )
        self.bootstrap = Bootstrap(self.follower, self.mesh)
        self.gap_skipper = GapSkipper(
            cfg.vm,
            self.follower,
            self.publisher,
            self.mesh,
            self.vm_list,
            timing.log_poll_s + timing.log_timeout_s + 2 * timing.peer_down_s,
        )

    def _build_claims(self) -> None:
        cfg = self.cfg
        self.register = ClaimRegister(
            self.incarnation,
            self.follower,
            self.mesh,
            cfg.timing.key_slot_s,
            cfg.timing.claim_timeout_s,
        )
        self.range_manager = RangeManager(
            self.register,
            self.follower,
            self.publisher,
            self.mesh,
            cfg.failure_domain,
            cfg.region,
            cfg.timing.peer_down_s,
            cfg.timing.range_lifetime_s,
        )

    def _build_data_path(self) -> None:
        self.pool = Pool(self.cfg.region, self.cfg.lend_slots)
        self.upstream = Upstream()
        self.admission = Admission(self.pool, self.cfg.queue_limit)
        self.admission.far_link = LinkBudget(self.cfg.far_link_bytes_per_s)
        self.lending: SlotLending | None = None
        if self.cfg.lend_slots:
            self.lending = SlotLending(
                self.incarnation,
                self.cfg.region,
                self.pool,
                self.admission,
                self.mesh,
            )
        self.placement = Placement(self.pool, self.admission)
        self.sender = Sender(
            self.pool,
            self.admission,
            self.upstream,
            self.placement,
            CrashReportBroadcaster(self.mesh),
        )
        self.hedger = Hedger(self.sender, self.placement)
        self.dispatcher = Dispatcher(
            self.pool,
            ClaimClient(self.register),
            self.sender,
            self.placement,
            self.hedger,
            self.follower.age_s,
        )
        self.ledger = Ledger(
            self.cfg.vm,
            self.incarnation,
            functools.partial(self.log.append, TRAFFIC_STREAM),
            self.cfg.timing.traffic_flush_s,
        )
        self.follower.add_listener(self.register.on_state)
        self.follower.add_listener(self.pool.on_state)
        self.follower.add_listener(self.dispatcher.on_state)

    def _build_servers(self) -> None:
        self.proxy_app = ProxyApp(
            self.dispatcher,
            self.sender,
            self.ledger,
            web.make_directory_app(self),
            self.cfg.timing.default_deadline_s,
            lambda: self.follower.ready,
            self.cfg.timing.caller_stall_s,
        )
        self.caller_server = HttpServer(
            self.proxy_app,
            bind(self.cfg.caller_address),
        )
        self.admin_server = HttpServer(
            web.make_admin_app(self),
            bind(self.cfg.admin_address),
        )
        self._peer_socket = bind(self.cfg.peer_address)

    def _supervision_tree(self) -> Supervisor:
        control = Supervisor('control')
        control.add('follower', self.follower.run)
        control.add('snapshotter', self.snapshotter.run)
        control.add('bootstrap', self.bootstrap.run)
        control.add('gap_skipper', self.gap_skipper.run)
        peers = Supervisor('peers')
        peers.add('vm_list', self.vm_list.run)
        peers.add('server', self._serve_peers)
        peers.add('ranges', self.range_manager.run)
        data = Supervisor('data')
        data.add('callers', self.caller_server.run)
        data.add('sweeper', self._sweep)
        data.add('traffic', self.ledger.run)
        if self.lending is not None:
            data.add('lending', self.lending.run)
        root = Supervisor('entry')
        root.add('control', control.run)
        root.add('peers', peers.run)
        root.add('data', data.run)
        root.add('admin', self.admin_server.run)
        root.add('opening', self._start_serving)
        return root

    async def _serve_peers(self) -> None:
        await self.mesh.serve(
            self._peer_socket,
            self.handle_message,
            self._on_one_way,
        )

    async def _start_serving(self) -> None:
        await self.follower.wait_ready()
        if self.state == 'starting':
            _LIFECYCLE.fire(self, 'begin')
        log_event(
            _logger,
            'entry_serving',
            vm=self.cfg.vm,
            incarnation=self.incarnation,
            callers=self.cfg.caller_address,
            offset=self.follower.state.offset,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self.admission.sweep()
            self._adjust_limits()
            await self.upstream.sweep()
            self.sender.notify_slow_requests()

    def _adjust_limits(self) -> None:
        peers = [
            link.last_heartbeat.demands if link.last_heartbeat else {}
            for link in self.mesh.links()
        ]
        self.dispatcher.limits.adjust(peers, time.monotonic())

    async def _shut_down(self) -> None:
        _LIFECYCLE.fire(self, 'leave')
        self.proxy_app.close_connections = True
        log_event(_logger, 'entry_leaving', vm=self.cfg.vm)
        timing = self.cfg.timing
        # Callers cache the directory document for its time to live, and the
        # peers' directories list this VM until their next heartbeat to it.
        await asyncio.sleep(timing.directory_ttl_s + 2 * timing.heartbeat_s)
        await self.range_manager.leave()
        _LIFECYCLE.fire(self, 'drain')
        await self.caller_server.stop()
        await self.register.settlements.wait_drained()
        await self.ledger.flush()
        _LIFECYCLE.fire(self, 'stop')
        log_event(_logger, 'entry_stopped', vm=self.cfg.vm)

    def _on_listing(self, listing: VmListing) -> None:
        self.pool.on_leaving(listing.leaving_addresses())
        self.mesh.reconcile(
            vm.peer_address
            for vm in listing.entries()
            if vm.name != self.cfg.vm
        )
        own = [vm for vm in listing.entries() if vm.name == self.cfg.vm]
        if own and own[0].state != LIVE:
            self.request_stop()
