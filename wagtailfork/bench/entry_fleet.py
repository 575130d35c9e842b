"""Entry VMs that run the product's routing code over fake servers."""

import asyncio
import random
from typing import Any, Final

import attrs
import cbor2

from ..control.fold import ControlState, StoredObject
from ..control.objects import Backend, Service
from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import render_plain
from ..peers.messages import (
    Message,
    SlotGrant,
    SlotRecall,
    SlotReturn,
    SlotWant,
)
from ..routing.admission import Admission, SlotRequest
from ..routing.budget import RetryBudget
from ..routing.dealer import Dealer
from ..routing.endpoint import Endpoint
from ..routing.hedging import Hedging
from ..routing.policies import Policy
from ..routing.pool import Pool
from ..routing.share import SlotShare
from .fakes import FakeServer
from .scenarios import Scenario, Shape

SERVICE: Final = 'stockd'
REGION: Final = 'south-tas'
DEADLINE_S: Final = 5.0
QUEUE_LIMIT: Final = 960  # queued requests over all entry VMs
REPORT_PERIOD_S: Final = 0.2
REPORT_BYTES: Final = 300  # load request and response with headers
RETRY_PERCENT: Final = 10.0
WARMUP_RESPONSES: Final = 8


@attrs.define
class RunStats:
    """Collect the figures of one benchmark run."""

    latencies_s: list[float] = attrs.field(factory=list)
    quiet_latencies_s: list[float] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    retries: int = 0
    hedges: int = 0
    messages: int = 0
    message_bytes: int = 0
    report_requests: int = 0

    def record(self, outcome: str, customer: str, took_s: float) -> None:
        """Record an outcome, and its latency if it was successful."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome != 'ok':
            return
        self.latencies_s.append(took_s)
        if customer == 'quiet':
            self.quiet_latencies_s.append(took_s)


def make_state(shape: Shape) -> ControlState:
    """Return the control state of one service with its endpoints."""
    objects: dict[Any, StoredObject] = {
        ('service', SERVICE): StoredObject(1, '', Service()),
    }
    for number in range(shape.endpoints):
        backend = Backend(
            service=SERVICE,
            address=f'10.0.0.{number}:80',
            region=REGION,
            failure_domain='hobart-a',
            slots=shape.slots,
        )
        name = f'{SERVICE}.{number}'
        objects['backend', name] = StoredObject(1, '', backend)
    return ControlState(objects=objects)


@attrs.define(eq=False)
class EntryVm:
    """Hold the routing state of one entry VM."""

    name: str
    pool: Pool
    admission: Admission
    hedging: Hedging
    budget: RetryBudget = attrs.field(
        factory=lambda: RetryBudget(RETRY_PERCENT),
    )


@attrs.define(eq=False)
class EntryFleet:
    """Run entry VMs over fake servers on a virtual clock."""

    shape: Shape
    scenario: Scenario
    policy: Policy
    lends: bool
    servers: dict[str, FakeServer]
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    stats: RunStats = attrs.field(factory=RunStats)
    vms: list[EntryVm] = attrs.field(factory=list)
    dealer: Dealer | None = None
    hedge_percent: float = 0

    def start(self) -> None:
        """Create the entry VMs and grant the initial slots."""
        state = make_state(self.shape)
        for number in range(self.shape.entries):
            self.vms.append(self._make_vm(f'vm-{number}', state))
        if self.lends:
            self.dealer = Dealer(SERVICE, collecting_until=0)
            now = self.loop.time()
            names = [vm.name for vm in self.vms]
            self._send_to_vms(self.dealer.adjust_members(names, now))
            self._send_to_vms(
                self.dealer.adjust_slots(self._usable_slots(), now)
            )

    def apply_draining(self) -> None:
        """Notify all VMs and the dealer of draining servers."""
        leaving = [
            endpoint.backend.address
            for endpoint in self.vms[0].pool.all_endpoints()
            if self.servers[endpoint.name].draining
        ]
        for vm in self.vms:
            vm.pool.on_leaving(leaving)
            if vm.admission.share is not None:
                vm.admission.share.return_unusable(SERVICE)
        if self.dealer is not None:
            now = self.loop.time()
            self._send_to_vms(
                self.dealer.adjust_slots(self._usable_slots(), now)
            )

    def tick_dealer(self) -> None:
        """Run the periodic step of the dealer, which lends idle slots."""
        if self.dealer is not None:
            self._send_to_vms(self.dealer.tick(self.loop.time()))

    def update_load_reports(self) -> None:
        """Update the load reports of every server at every VM."""
        for vm in self.vms:
            for endpoint in vm.pool.all_endpoints():
                server = self.servers[endpoint.name]
                load = server.busy + len(server.waiting)
                endpoint.reported_load = (
                    0 if self.scenario.reports_idle else load
                )
                self.stats.report_requests += 1

    async def serve(self, vm: EntryVm, customer: str) -> None:
        """Serve one request from its arrival to its outcome."""
        arrived_at = self.loop.time()
        vm.budget.earn()
        outcome = 'overloaded'
        excluded: frozenset[str] = frozenset()
        while True:
            slot_request = SlotRequest(
                customer=customer,
                service=SERVICE,
                weight=1,
                deadline=arrived_at + DEADLINE_S,
                excluded=excluded,
            )
            try:
                endpoint = await vm.admission.acquire(slot_request)
            except WagtailforkError as exc:
                outcome = exc.code.name
                break
            excluded |= {endpoint.name}
            slot_request = attrs.evolve(slot_request, excluded=excluded)
            outcome = await self._exchange_hedged(vm, slot_request, endpoint)
            if outcome == 'ok' or not vm.budget.spend():
                break
            self.stats.retries += 1
        self.stats.record(outcome, customer, self.loop.time() - arrived_at)

    async def _exchange_hedged(
        self,
        vm: EntryVm,
        slot_request: SlotRequest,
        endpoint: Endpoint,
    ) -> str:
        if not vm.hedging.percent:
            return await self._exchange(vm, endpoint)
        vm.hedging.earn()
        sent_at = self.loop.time()
        copies = {asyncio.create_task(self._exchange(vm, endpoint))}
        done, _pending = await asyncio.wait(copies, timeout=vm.hedging.delay_s)
        if not done:
            if vm.admission.is_queue_empty(SERVICE) and vm.hedging.spend():
                self.stats.hedges += 1
                copies.add(
                    asyncio.create_task(
                        self._exchange_second_copy(vm, slot_request)
                    )
                )
        outcome = await _first_ok(copies)
        vm.hedging.record(self.loop.time() - sent_at)
        return outcome

    async def _exchange_second_copy(
        self, vm: EntryVm, slot_request: SlotRequest
    ) -> str:
        try:
            endpoint = await vm.admission.acquire(slot_request)
        except WagtailforkError as exc:
            return exc.code.name
        return await self._exchange(vm, endpoint)

    async def _exchange(self, vm: EntryVm, endpoint: Endpoint) -> str:
        sent_at = self.loop.time()
        fut: asyncio.Future[str] = self.loop.create_future()
        server = self.servers[endpoint.name]
        server.submit(fut.set_result)
        try:
            outcome = await fut
        except asyncio.CancelledError:
            server.cancel(fut.set_result)
            vm.admission.release(endpoint, self.loop.time() - sent_at)
            raise
        took_s = self.loop.time() - sent_at
        if outcome == 'ok':
            endpoint.answered(took_s)
        elif outcome == 'error':
            vm.pool.record_failure(endpoint)
        vm.admission.release(endpoint, took_s)
        return outcome

    def _make_vm(self, name: str, state: ControlState) -> EntryVm:
        pool = Pool(REGION, self.lends, self.loop.time)
        pool.on_state(state)
        for endpoint in pool.all_endpoints():
            for _response in range(WARMUP_RESPONSES):
                endpoint.answered(self.shape.median_ms / 1000)
        admission = Admission(
            pool,
            QUEUE_LIMIT // self.shape.entries,
            self.policy,
            clock=self.loop.time,
            rng=random.Random(self.rng.random()),
        )
        if self.lends:
            admission.share = SlotShare(
                pool,
                lambda _service, message: self._send_to_dealer(name, message),
                self.loop.time,
            )
        return EntryVm(name, pool, admission, Hedging(self.hedge_percent))

    def _usable_slots(self) -> dict[str, int]:
        return {
            name: self.shape.slots
            for name, server in self.servers.items()
            if not server.draining
        }

    def _count_message(self, message: Message) -> None:
        self.stats.messages += 1
        self.stats.message_bytes += len(cbor2.dumps(render_plain(message)))

    def _send_to_dealer(self, holder: str, message: Message) -> None:
        self._count_message(message)
        hop_s = self.shape.hop_ms / 1000
        self.loop.call_later(hop_s, self._deliver_to_dealer, holder, message)

    def _deliver_to_dealer(self, holder: str, message: Message) -> None:
        now = self.loop.time()
        if self.dealer is None:
            raise WagtailforkError(ResultCode.bad_request, holder)
        if isinstance(message, SlotWant):
            self._send_to_vms(self.dealer.on_want(holder, message, now))
        elif isinstance(message, SlotReturn):
            self._send_to_vms(self.dealer.on_return(holder, message, now))

    def _send_to_vms(self, outgoing: list[tuple[str, Message]]) -> None:
        hop_s = self.shape.hop_ms / 1000
        for name, message in outgoing:
            self._count_message(message)
            self.loop.call_later(hop_s, self._deliver_to_vm, name, message)

    def _deliver_to_vm(self, name: str, message: Message) -> None:
        vm = next(each for each in self.vms if each.name == name)
        share = vm.admission.share
        if share is None:
            return
        if isinstance(message, SlotGrant):
            share.on_grant(message)
            vm.admission.serve(SERVICE)
        elif isinstance(message, SlotRecall):
            share.on_recall(message)


async def _first_ok(copies: set[asyncio.Task[str]]) -> str:
    pending = copies
    outcome = 'error'
    while pending and outcome != 'ok':
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        outcome = next(iter(done)).result()
    for task in pending:
        task.cancel()
    return outcome
