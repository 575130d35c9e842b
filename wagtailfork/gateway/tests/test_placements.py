"""Placement of the requests of 100 VMs, in virtual time without a network."""

import asyncio
import random
import statistics
from typing import Any
from unittest import mock

import attrs
import testtools

from ...core.event_log import EventLog
from ...fleet.member import Member, MemberRow
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
from ..limit_recorder import LimitRecorder
from ..placement_client import SILENCE_S, PlacementClient
from ..placement_coordinator import (
    ENDED_S,
    LEASE_MARGIN_S,
    PlacementCoordinator,
)
from .virtual_time import now_s, run_virtual

SERVICE = 'stock'
VMS = 100
SERVERS = 40
SLOTS = 3
WORK_S = 0.2
OBJECTIVE_S = 0.5
DEADLINE_S = 4.0
HOP_S = 0.0003
LOAD = 0.8  # of all slots
REQUESTS = 6000
SETTLE_S = 0.05


@attrs.define(eq=False)
class Server:
    """Run ``SLOTS`` requests at once, the rest in order of arrival."""

    name: str
    running: int = 0
    waiting: int = 0
    most: int = 0
    slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(SLOTS)
    )

    async def run(self, work_s: float) -> None:
        """Run one request."""
        self.waiting += 1
        self.most = max(self.most, self.waiting + self.running)
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(work_s)
            self.running -= 1

    def report(self) -> LoadReport:
        """Return the present load."""
        return LoadReport(self.running, self.waiting, SLOTS, 1.0, now_s())


@attrs.define(eq=False)
class Vm:
    """Hold the parts of one VM that choose servers."""

    fleet: 'Fleet'
    membership: Membership
    queue: ServiceQueue = attrs.field(init=False)
    client: PlacementClient = attrs.field(init=False)
    coordinator: PlacementCoordinator = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts."""
        self.queue = ServiceQueue(SERVICE, self._probe)
        for name in self.fleet.servers:
            self.queue.table.add(Candidate(name, name, ServerLoad(SLOTS)))
        self.client = PlacementClient(
            membership=self.membership,
            find=self.queue.table.servers.get,
            send=self.fleet.send,
            log=EventLog(lines_per_s=0),
        )
        self.coordinator = PlacementCoordinator(
            lambda _service: self.queue,
            self.fleet.send,
            self.membership.is_neighbour,
            LimitRecorder(EventLog(lines_per_s=0), lambda _candidate: None),
        )

    def receive(self, message: Message) -> None:
        """Handle one datagram."""
        if isinstance(message, PlacementRequest):
            self.coordinator.handle_request(message)
        elif isinstance(message, PlacementEnded):
            self.coordinator.handle_ended(message)
        elif isinstance(message, Placed | PlacementQueued | PlacementDeclined):
            self.client.handle_response(message)

    async def _probe(self, candidate: Candidate) -> bool:
        await asyncio.sleep(4 * HOP_S)
        report = self.fleet.servers[candidate.name].report()
        candidate.load.record_report(report)
        return True


@attrs.define(eq=False)
class Fleet:
    """Hold the VMs of a failure domain and the servers of one service."""

    loss: float = 0.0
    silent: set[str] = attrs.field(factory=set)
    servers: dict[str, Server] = attrs.field(factory=dict)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=lambda: random.Random(3))
    sent_datagrams: int = 0
    latencies_s: dict[str, list[float]] = attrs.field(factory=dict)
    refused: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the servers and VMs, each of which knows all others."""
        random.seed(3)
        for number in range(SERVERS):
            name = f's{number}'
            self.servers[name] = Server(name)
        members = [_member(number) for number in range(VMS)]
        for member in members:
            membership = Membership(member)
            others: list[MemberRow] = [
                one for one in members if one is not member
            ]
            membership.merge(others, 0)
            self.vms[member.address] = Vm(self, membership)
            self.latencies_s[member.address] = []

    @property
    def coordinator(self) -> Vm:
        """Return the coordinator of the service."""
        first = next(iter(self.vms.values()))
        return self.vms[first.client.coordinator_of(SERVICE)]

    def send(self, message: Message, addresses: list[str]) -> None:
        """Deliver a datagram after one hop, or lose it."""
        raw = encode(message)
        loop = asyncio.get_running_loop()
        for address in addresses:
            self.sent_datagrams += 1
            if self.rng.random() >= self.loss:
                loop.call_later(HOP_S, self._deliver, raw, address)

    async def call(self, vm: Vm) -> None:
        """Place and run one request that arrives at a VM."""
        arrived_s = now_s()
        queued = QueuedRequest(
            1,
            arrived_s + OBJECTIVE_S,
            arrived_s + DEADLINE_S,
            WORK_S,
            arrived_s=arrived_s,
        )
        try:
            placement = await vm.client.place(vm.queue, queued)
        except Refused:
            self.refused += 1
            return
        candidate = placement.candidate
        server = self.servers[candidate.name]
        await server.run(self.rng.uniform(0.5 * WORK_S, 1.5 * WORK_S))
        candidate.load.record_report(server.report())
        vm.client.end(placement, vm.queue, Outcome.succeeded)
        self.latencies_s[vm.membership.me.address].append(now_s() - arrived_s)

    async def play(self, load: float = LOAD, requests: int = REQUESTS) -> None:
        """Send requests to random VMs at a share of the servers' capacity."""
        rate = load * SERVERS * SLOTS / WORK_S
        vms = [vm for name, vm in self.vms.items() if name not in self.silent]
        tasks = []
        for _ in range(requests):
            tasks.append(asyncio.create_task(self.call(self.rng.choice(vms))))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)

    def all_latencies_s(self) -> list[float]:
        """Return the sorted latencies of all answered requests."""
        return sorted(
            latency_s
            for latencies in self.latencies_s.values()
            for latency_s in latencies
        )

    def in_time(self) -> float:
        """Return the share of all requests that was answered in time."""
        latencies = self.all_latencies_s()
        good = sum(latency_s <= OBJECTIVE_S for latency_s in latencies)
        return good / (len(latencies) + self.refused)

    def _deliver(self, raw: bytes, address: str) -> None:
        if address not in self.silent:
            self.vms[address].receive(decode(raw))


def _member(number: int) -> Member:
    return Member(
        address=f'10.0.0.{number}:7620',
        caller_address=f'10.0.0.{number}:8641',
        failure_domain='a',
        region='r',
        incarnation=1,
        heartbeat_count=1,
        ready=True,
    )


def percentile(figures: list[float], share: float) -> float:
    """Return a percentile of sorted figures."""
    return figures[int(share * (len(figures) - 1))]


async def _play(fleet: Fleet, **load: Any) -> Fleet:
    await fleet.play(**load)
    return fleet


class TestManyVms(testtools.TestCase):
    """100 VMs that share the queue of a service."""

    def test_latency_is_near_that_of_one_queue(self) -> None:
        """The 99th percentile is within 1.15 of that of one central queue.

        Requests of one VM are placed by an exact queue; those of 100 VMs
        differ from it by the hops alone.
        """
        central = Fleet()
        run_virtual(_play_at(central, [central.coordinator]))
        spread = run_virtual(_play(Fleet()))
        limit_s = 1.15 * percentile(central.all_latencies_s(), 0.99)
        self.assertLessEqual(
            percentile(spread.all_latencies_s(), 0.99), limit_s
        )
        self.assertEqual(0, spread.refused)

    def test_no_server_gets_more_than_its_slots(self) -> None:
        """While slots are free elsewhere, no request queues at a server."""
        fleet = run_virtual(_play(Fleet(), load=0.7))
        self.assertLessEqual(
            max(server.most for server in fleet.servers.values()), SLOTS
        )

    def test_all_vms_are_served_alike(self) -> None:
        """No VM's mean latency is more than twice the mean of all."""
        fleet = run_virtual(_play(Fleet()))
        means = [
            statistics.fmean(latencies)
            for latencies in fleet.latencies_s.values()
        ]
        self.assertLess(max(means), 2 * statistics.fmean(means))

    def test_cost_does_not_grow_with_vms(self) -> None:
        """A request costs at most four datagrams while no slot is short."""
        fleet = run_virtual(_play(Fleet(), load=0.5))
        self.assertLessEqual(fleet.sent_datagrams / REQUESTS, 4)

    def test_overload_is_refused_early(self) -> None:
        """At 1.5 times the capacity, answers are in time and refusals true."""
        fleet = run_virtual(_play(Fleet(), load=1.5))
        latencies = fleet.all_latencies_s()
        late = sum(latency_s > OBJECTIVE_S for latency_s in latencies)
        self.assertGreater(fleet.refused, 0)
        self.assertLess(late, len(latencies) / 2)


class TestCoordinatorLoss(testtools.TestCase):
    """A coordinator that fails costs no request."""

    def test_silent_coordinator(self) -> None:
        """All requests are answered while the coordinator is silent."""
        fleet = Fleet()
        fleet.silent.add(fleet.coordinator.membership.me.address)
        run_virtual(_play(fleet, load=0.5, requests=2000))
        self.assertEqual(2000, len(fleet.all_latencies_s()))
        self.assertGreater(fleet.in_time(), 0.95)

    def test_coordinator_that_falls_silent(self) -> None:
        """Requests queued at a coordinator that fails are still answered."""
        fleet = Fleet()
        run_virtual(_silence_midway(fleet))
        self.assertEqual(3000, len(fleet.all_latencies_s()) + fleet.refused)
        self.assertGreater(fleet.in_time(), 0.9)

    def test_lost_datagrams(self) -> None:
        """No slot is lost for good when datagrams are."""
        fleet = Fleet(loss=0.05)
        run_virtual(_play_and_settle(fleet))
        self.assertGreater(fleet.in_time(), 0.95)
        self.assertEqual(0, fleet.coordinator.coordinator.size)
        loads = [
            candidate.load.own_in_flight
            for candidate in fleet.coordinator.queue.table.servers.values()
        ]
        self.assertEqual([0] * SERVERS, loads)

    def test_slots_of_a_dead_vm_are_freed(self) -> None:
        """The slots of a VM that fails are free once it counts as down.

        If it never counts as down, they are free at the deadlines.
        """
        self.assertEqual(0, run_virtual(_die_with_slots(marked_down=True)))
        self.assertEqual(0, run_virtual(_die_with_slots(marked_down=False)))

    def test_caller_that_leaves_frees_its_place(self) -> None:
        """A cancelled request leaves the coordinator's queue."""
        run_virtual(self._cancel())

    async def _cancel(self) -> None:
        fleet = Fleet()
        other = _other_than_coordinator(fleet)
        tasks = [
            asyncio.create_task(fleet.call(other))
            for _ in range(2 * SERVERS * SLOTS)
        ]
        await asyncio.sleep(0.05)
        self.assertGreater(fleet.coordinator.coordinator.size, 0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)
        waiting = fleet.coordinator.queue.waiting
        self.assertEqual(0, waiting)


class TestLateMessages(testtools.TestCase):
    """Datagrams that arrive late or once more concern no other placement."""

    def test_request_after_its_end(self) -> None:
        """The repeated end was taken for that of another server's slot."""
        run_virtual(self._end_twice())

    def test_request_after_it_was_withdrawn(self) -> None:
        """It held a slot until its deadline."""
        run_virtual(self._withdraw())

    def test_grant_after_a_withdrawal(self) -> None:
        """No request waits for it, and none takes it for its own."""
        run_virtual(self._grant_late())

    async def _end_twice(self) -> None:
        fleet = Fleet()
        coordinator = fleet.coordinator
        request, ended = _messages(fleet)
        for message in (request, ended, request, ended):
            coordinator.receive(message)
            await asyncio.sleep(SETTLE_S)
        servers = coordinator.queue.table.servers.values()
        ejected = [one for one in servers if one.load.ejected_until_s]
        self.assertEqual(1, len(ejected))
        self.assertEqual(0, coordinator.coordinator.size)

    async def _withdraw(self) -> None:
        fleet = Fleet()
        coordinator = fleet.coordinator
        request, ended = _messages(fleet)
        for message in (ended, request):
            coordinator.receive(message)
            await asyncio.sleep(SETTLE_S)
        self.assertEqual(0, coordinator.coordinator.size)
        await asyncio.sleep(ENDED_S)
        coordinator.receive(attrs.evolve(request, number=request.number + 1))
        coordinator.receive(attrs.evolve(ended, number=request.number + 1))
        self.assertEqual(1, coordinator.coordinator.remembered)

    async def _grant_late(self) -> None:
        fleet = Fleet()
        other = _other_than_coordinator(fleet)
        fleet.silent.add(fleet.coordinator.membership.me.address)
        await fleet.call(other)
        withdrawn = other.client._last_number
        self.assertFalse(other.client.handle_response(Placed(withdrawn, 's0')))
        fleet.silent.clear()
        await asyncio.sleep(SILENCE_S)
        call = asyncio.create_task(fleet.call(other))
        await asyncio.sleep(0)
        self.assertEqual(withdrawn + 1, other.client._last_number)
        self.assertFalse(other.client.handle_response(Placed(withdrawn, 's0')))
        await call
        self.assertEqual(2, len(fleet.all_latencies_s()))


def _messages(fleet: Fleet) -> tuple[PlacementRequest, PlacementEnded]:
    """Return the request for a placement and its end at a lost server."""
    sender = _other_than_coordinator(fleet).membership.me.address
    request = PlacementRequest(
        sender=sender,
        number=7,
        service=SERVICE,
        rank=1,
        age_ms=0,
        objective_ms=500,
        deadline_ms=4000,
        service_ms=200,
        kilobytes=1,
    )
    ended = PlacementEnded(sender=sender, number=7, outcome=Outcome.unreachable)
    return request, ended


async def _play_at(fleet: Fleet, vms: list[Vm]) -> None:
    everyone = fleet.vms
    fleet.vms = {vm.membership.me.address: vm for vm in vms}
    try:
        await fleet.play()
    finally:
        fleet.vms = everyone


async def _silence_midway(fleet: Fleet) -> None:
    play = asyncio.create_task(fleet.play(load=0.5, requests=3000))
    await asyncio.sleep(3)
    coordinator = fleet.coordinator
    fleet.silent.add(coordinator.membership.me.address)
    await asyncio.sleep(1)
    for vm in fleet.vms.values():
        if vm is not coordinator:
            vm.membership.mark_down(coordinator.membership.me.address, now_s())
    await play


async def _die_with_slots(*, marked_down: bool) -> int:
    """Return the slots in use after a VM died with all slots."""
    fleet = Fleet()
    dead = _other_than_coordinator(fleet)
    address = dead.membership.me.address
    calls = [
        asyncio.create_task(fleet.call(dead)) for _ in range(SERVERS * SLOTS)
    ]
    await asyncio.sleep(0.05)
    fleet.silent.add(address)
    coordinator = fleet.coordinator
    with mock.patch.object(dead.client, 'send'):
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
    if marked_down:
        coordinator.membership.mark_down(address, now_s())
    else:
        await asyncio.sleep(DEADLINE_S + LEASE_MARGIN_S)
    coordinator.coordinator.remove_expired(now_s())
    return sum(
        candidate.load.own_in_flight
        for candidate in coordinator.queue.table.servers.values()
    )


async def _play_and_settle(fleet: Fleet) -> None:
    await fleet.play(load=0.6, requests=3000)
    await asyncio.sleep(DEADLINE_S + 1)
    fleet.coordinator.coordinator.remove_expired(now_s())


def _other_than_coordinator(fleet: Fleet) -> Vm:
    return next(vm for vm in fleet.vms.values() if vm is not fleet.coordinator)
