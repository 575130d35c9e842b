"""VMs of several failure domains that send to limited servers.

Everything runs in virtual time without a network. VMs can be killed, frozen,
cut off, stopped and added; the others learn of it as late as in a deployment.
"""

import asyncio
import random
from typing import Any, Final

import attrs

from ...core.event_log import EventLog
from ...fleet.member import Member
from ...fleet.members import Membership
from ...fleet.messages import Message, decode, encode
from ...fleet.placement_messages import (
    Outcome,
    Placed,
    PlacementDeclined,
    PlacementEnded,
    PlacementQueued,
    PlacementRequest,
)
from ...routing.candidate import Candidate
from ...routing.late_binding import ServiceQueue
from ...routing.load import LoadReport, ServerLoad
from ...routing.queued_request import QueuedRequest, Refused
from ...routing.server_limit import NO_LIMIT
from ..backend_registry import Topology
from ..limit_recorder import LimitRecorder
from ..limit_shares import LimitShares
from ..placement_client import PlacementClient
from ..placement_coordinator import PlacementCoordinator
from .virtual_time import now_s

SERVICE: Final = 'stock'
REGIONS: Final = {'a': 'r', 'b': 'r', 'c': 'q', 'd': 'q'}
DOMAINS: Final = tuple(REGIONS)
VMS_PER_DOMAIN: Final = 4
SERVERS_PER_DOMAIN: Final = 2
SLOTS: Final = 4
SERVICE_S: Final = 0.1
OBJECTIVE_S: Final = 1.0
DEADLINE_S: Final = 2.0
NEAR_HOP_S: Final = 0.0005
FAR_HOP_S: Final = 0.03
TICK_S: Final = 1.0
DETECTION_S: Final = 1.4  # until a silent VM counts as down
REPEAT_SHARE: Final = 0.1  # of the requests get a second copy
WINDOW_S: Final = 4.0
TOLD_S: Final = 0.5  # after a response, a VM has to keep to its limit


@attrs.define(eq=False)
class Server:
    """Run requests and name the limit of the moment."""

    name: str
    domain: str
    limit_per_s: float = NO_LIMIT
    other_limits: dict[str, float] = attrs.field(factory=dict)  # told to a VM
    changes: list[tuple[float, float]] = attrs.field(factory=list)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    running: int = 0
    most_running: int = 0

    def set_limit(self, requests_per_s: float) -> None:
        """Name another limit from now on."""
        self.limit_per_s = requests_per_s
        self.changes.append((now_s(), requests_per_s))

    def limit_for(self, address: str) -> float:
        """Return the limit that a VM hears now."""
        return self.other_limits.get(address, self.limit_per_s)

    def allowed(self, from_s: float) -> float:
        """Return the users' bound for the window that starts at a moment."""
        steps = [
            self._highest_limit(from_s + WINDOW_S * step / 100)
            for step in range(100)
        ]
        return 1.5 * sum(steps) * WINDOW_S / 100 + 5

    def busiest_excess(self, from_s: float, to_s: float) -> float:
        """Return by how much a window exceeds the bound, 0 or less if none."""
        times = [at_s for at_s, _ in self.arrivals if from_s <= at_s < to_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
                - self.allowed(start_s)
                for start_s in times
            ),
            default=0,
        )

    def _highest_limit(self, at_s: float) -> float:
        """Return the highest limit that a VM may know at a moment."""
        before = [limit for when_s, limit in self.changes if when_s <= at_s]
        recent = [
            limit
            for when_s, limit in self.changes
            if at_s - TOLD_S <= when_s <= at_s
        ]
        known = [*before[-1:], *before[-1 - len(recent) : -1]]
        return max(known, default=NO_LIMIT)


@attrs.define(eq=False)
class Vm:
    """Hold the parts of one VM that choose servers."""

    fleet: 'Fleet'
    member: Member
    membership: Membership = attrs.field(init=False)
    queue: ServiceQueue = attrs.field(init=False)
    client: PlacementClient = attrs.field(init=False)
    coordinator: PlacementCoordinator = attrs.field(init=False)
    limits: LimitRecorder = attrs.field(init=False)
    shares: LimitShares = attrs.field(init=False)
    awake: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the parts."""
        self.awake.set()
        self.membership = Membership(self.member)
        self.limits = LimitRecorder(EventLog(lines_per_s=0), self._on_changed)
        self.queue = ServiceQueue(SERVICE, self._probe)
        topology = Topology(
            failure_domain=self.domain,
            regions=REGIONS,
            near_price=0,
            far_price=0,
        )
        for server in self.fleet.servers.values():
            candidate = Candidate(
                server.name,
                server.name,
                ServerLoad(SLOTS),
                topology.distance(server.domain),
                failure_domain=server.domain,
                service=SERVICE,
            )
            self.queue.table.add(candidate)
        self.client = PlacementClient(
            membership=self.membership,
            find=self.queue.table.servers.get,
            send=self._send,
            log=EventLog(lines_per_s=0),
        )
        self.coordinator = PlacementCoordinator(
            lambda _service: self.queue,
            self._send,
            self.membership.is_neighbour,
            self.limits,
        )
        self.shares = LimitShares(self.membership, self.client, REGIONS)

    @property
    def address(self) -> str:
        """Return the address for traffic between VMs."""
        return self.member.address

    @property
    def domain(self) -> str:
        """Return the failure domain."""
        return self.member.failure_domain

    async def tick(self) -> None:
        """Update the shares and remove expired placements, without end."""
        while True:
            await asyncio.sleep(TICK_S)
            await self.awake.wait()
            self.shares.update(now_s())
            self.coordinator.remove_expired(now_s())

    async def receive(self, raw: bytes) -> None:
        """Handle one datagram, once the VM is awake."""
        await self.awake.wait()
        message = decode(raw)
        if isinstance(message, PlacementRequest):
            self.coordinator.handle_request(message)
        elif isinstance(message, PlacementEnded):
            self.coordinator.handle_ended(message)
        elif isinstance(message, Placed | PlacementQueued | PlacementDeclined):
            self.client.handle_response(message)

    async def call(self) -> None:
        """Place and run one request, some of them twice."""
        await self.awake.wait()
        arrived_s = now_s()
        queued = QueuedRequest(
            1,
            arrived_s + OBJECTIVE_S,
            arrived_s + DEADLINE_S,
            SERVICE_S,
            arrived_s=arrived_s,
        )
        copies = 2 if self.fleet.rng.random() < REPEAT_SHARE else 1
        for _ in range(copies):
            try:
                placement = await self.client.place(self.queue, queued)
            except Refused:
                self.fleet.record_refusal(now_s() - arrived_s)
                return
            candidate = placement.candidate
            queued.excluded.add(candidate.name)
            await self._run_at(candidate)
            self.client.end(placement, self.queue, Outcome.succeeded)

    async def _run_at(self, candidate: Candidate) -> None:
        await self.awake.wait()
        server = self.fleet.servers[candidate.name]
        hop_s = FAR_HOP_S if candidate.distance.min_gain else NEAR_HOP_S
        await asyncio.sleep(hop_s)
        server.arrivals.append((now_s(), self.address))
        server.running += 1
        server.most_running = max(server.most_running, server.running)
        await asyncio.sleep(self.fleet.rng.uniform(0.5, 1.5) * SERVICE_S)
        server.running -= 1
        limit = server.limit_for(self.address)
        await asyncio.sleep(hop_s)
        await self.awake.wait()
        candidate.load.record_report(self._report(server))
        self.limits.record_response(candidate, limit, 'r')

    async def _probe(self, candidate: Candidate) -> bool:
        await asyncio.sleep(2 * NEAR_HOP_S)
        server = self.fleet.servers[candidate.name]
        candidate.load.record_report(self._report(server))
        self.limits.record_probe(candidate, server.limit_for(self.address))
        return True

    def _on_changed(self, candidate: Candidate) -> None:
        self.shares.apply_change(candidate, now_s())

    def _report(self, server: Server) -> LoadReport:
        return LoadReport(server.running, 0, SLOTS, 1.0, now_s())

    def _send(self, message: Message, addresses: list[str]) -> None:
        self.fleet.send(self, message, addresses)


@attrs.define(eq=False)
class Fleet:
    """Hold the VMs of all failure domains and the servers of one service."""

    seed: int = 1
    loss: float = 0.0
    calls_per_s: float = 160.0
    servers: dict[str, Server] = attrs.field(factory=dict)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)  # VMs that reach no other VM
    refused: int = 0
    longest_refusal_s: float = 0
    rng: random.Random = attrs.field(init=False)
    _added: int = 0
    _calls: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the servers and VMs, each of which knows all others."""
        self.rng = random.Random(self.seed)
        random.seed(self.seed)
        for domain in DOMAINS:
            for number in range(SERVERS_PER_DOMAIN):
                name = f'{domain}{number}'
                self.servers[name] = Server(name, domain)
        for domain in DOMAINS:
            for _ in range(VMS_PER_DOMAIN):
                self.add(domain)

    def add(self, domain: str) -> Vm:
        """Add a VM that knows the others at once, and they it."""
        self._added += 1
        number = self._added
        member = Member(
            address=f'10.0.0.{number}:7620',
            caller_address=f'10.0.0.{number}:8641',
            failure_domain=domain,
            region=REGIONS[domain],
            incarnation=1,
            heartbeat_count=1,
            ready=True,
        )
        vm = Vm(self, member)
        for other in self.vms.values():
            other.membership.merge([vm.member], 0)
            vm.membership.merge([other.member], 0)
        self.vms[vm.address] = vm
        return vm

    def coordinator(self, domain: str) -> Vm:
        """Return the coordinator of the service in a failure domain."""
        one = next(vm for vm in self.vms.values() if vm.domain == domain)
        return self.vms[one.client.coordinator_of(SERVICE)]

    def send(self, vm: Vm, message: Message, addresses: list[str]) -> None:
        """Deliver a datagram after one hop, or lose it."""
        raw = encode(message)
        loop = asyncio.get_running_loop()
        for address in addresses:
            is_cut = {vm.address, address} & self.cut
            if not is_cut and self.rng.random() >= self.loss:
                loop.call_later(NEAR_HOP_S, self._deliver, raw, address)

    async def play(self, for_s: float, vms: list[Vm] | None = None) -> None:
        """Send requests to random VMs for a time."""
        for vm in self.vms.values():
            self.start_ticking(vm)
        until_s = now_s() + for_s
        while now_s() < until_s:
            vm = self.rng.choice(vms or list(self.vms.values()))
            self._start(vm.tasks, vm.call())
            await asyncio.sleep(self.rng.expovariate(self.calls_per_s))

    def start_ticking(self, vm: Vm) -> None:
        """Start the periodic work of a VM."""
        if not vm.tasks:
            self._start(vm.tasks, vm.tick())

    def record_refusal(self, after_s: float) -> None:
        """Record how long a request had waited that was refused."""
        self.refused += 1
        self.longest_refusal_s = max(self.longest_refusal_s, after_s)

    def kill(self, vm: Vm) -> None:
        """End a VM; the others of its domain notice after a while."""
        self.vms.pop(vm.address)
        for task in vm.tasks:
            task.cancel()
        self._detect(vm, list(self.vms.values()))

    async def freeze(self, vm: Vm, for_s: float) -> None:
        """Stop a VM for a time; it does not notice."""
        vm.awake.clear()
        self._detect(vm, self._others(vm))
        await asyncio.sleep(for_s)
        vm.awake.set()
        for other in self._others(vm):
            self._revive(other, vm)

    async def cut_off(self, vm: Vm, for_s: float) -> None:
        """Cut a VM off from the others for a time; it reaches the servers."""
        self.cut.add(vm.address)
        for other in self._others(vm):
            self._detect(vm, [other])
            self._detect(other, [vm])
        await asyncio.sleep(for_s)
        self.cut.discard(vm.address)
        for other in self._others(vm):
            self._revive(other, vm)
            self._revive(vm, other)

    def stop(self, vm: Vm) -> None:
        """Begin a planned stop: the others hear that the VM is not ready."""
        vm.membership.advance(ready=False)
        for other in self.vms.values():
            if other is not vm:
                other.membership.merge([vm.membership.me], now_s())

    def _others(self, vm: Vm) -> list[Vm]:
        return [
            one
            for one in self.vms.values()
            if one is not vm and one.domain == vm.domain
        ]

    def _detect(self, lost: Vm, others: list[Vm]) -> None:
        loop = asyncio.get_running_loop()
        for other in others:
            if other.domain != lost.domain:
                continue
            delay_s = self.rng.uniform(DETECTION_S / 2, DETECTION_S)
            loop.call_later(delay_s, self._mark_down, other, lost.address)

    def _mark_down(self, vm: Vm, address: str) -> None:
        vm.membership.mark_down(address, now_s())

    def _revive(self, vm: Vm, other: Vm) -> None:
        other.membership.advance()
        vm.membership.merge([other.membership.me], now_s())

    def _deliver(self, raw: bytes, address: str) -> None:
        vm = self.vms.get(address)
        if vm is not None:
            self._start(self._calls, vm.receive(raw))

    def _start(self, tasks: set['asyncio.Task[Any]'], work: Any) -> None:
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
