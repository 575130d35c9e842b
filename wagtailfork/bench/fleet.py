"""A fleet of entry VMs built from the shipped decision code, over fakes."""

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
from ..routing.admission import Admission, Demand
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
QUEUE_LIMIT: Final = 960  # requests waiting in all entry VMs together
REPORT_EVERY_S: Final = 0.2
REPORT_BYTES: Final = 300  # a load request and its answer, with headers
RETRY_PERCENT: Final = 10.0
WARM_ANSWERS: Final = 8


@attrs.define
class Tally:
    """Count what a run of a scenario gave."""

    waits_s: list[float] = attrs.field(factory=list)
    quiet_waits_s: list[float] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    retries: int = 0
    hedges: int = 0
    messages: int = 0
    message_bytes: int = 0
    report_requests: int = 0

    def count(self, outcome: str, customer: str, took_s: float) -> None:
        """Count one outcome, and its time if it was an answer."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome != 'ok':
            return
        self.waits_s.append(took_s)
        if customer == 'quiet':
            self.quiet_waits_s.append(took_s)


def make_state(shape: Shape) -> ControlState:
    """Make the configuration of one service with its endpoints."""
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
    """Hold one entry VM's decisions."""

    name: str
    pool: Pool
    admission: Admission
    hedging: Hedging
    budget: RetryBudget = attrs.field(
        factory=lambda: RetryBudget(RETRY_PERCENT),
    )


@attrs.define(eq=False)
class Fleet:
    """Run entry VMs over fake servers on a virtual loop."""

    shape: Shape
    scenario: Scenario
    policy: Policy
    lends: bool
    servers: dict[str, FakeServer]
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    tally: Tally = attrs.field(factory=Tally)
    vms: list[EntryVm] = attrs.field(factory=list)
    dealer: Dealer | None = None
    hedge_percent: float = 0

    def start(self) -> None:
        """Build the entry VMs and deal the first slots."""
        state = make_state(self.shape)
        for number in range(self.shape.entries):
            self.vms.append(self._make_vm(f'vm-{number}', state))
        if self.lends:
            self.dealer = Dealer(SERVICE, learning_until=0)
            now = self.loop.time()
            names = [vm.name for vm in self.vms]
            self._post(self.dealer.adjust_members(names, now))
            self._post(self.dealer.adjust_slots(self._usable(), now))

    def note_draining(self) -> None:
        """Tell every VM and the dealer which servers leave."""
        leaving = [
            endpoint.backend.address
            for endpoint in self.vms[0].pool.every()
            if self.servers[endpoint.name].draining
        ]
        for vm in self.vms:
            vm.pool.on_leaving(leaving)
            if vm.admission.share is not None:
                vm.admission.share.return_unusable(SERVICE)
        if self.dealer is not None:
            now = self.loop.time()
            self._post(self.dealer.adjust_slots(self._usable(), now))

    def tick_dealer(self) -> None:
        """Let the dealer park idle slots."""
        if self.dealer is not None:
            self._post(self.dealer.tick(self.loop.time()))

    def report_loads(self) -> None:
        """Let every VM read every server's load."""
        for vm in self.vms:
            for endpoint in vm.pool.every():
                server = self.servers[endpoint.name]
                load = server.busy + len(server.waiting)
                endpoint.reported_load = 0 if self.scenario.lies else load
                self.tally.report_requests += 1

    async def serve(self, vm: EntryVm, customer: str) -> None:
        """Serve one request from its arrival to its answer."""
        arrived = self.loop.time()
        vm.budget.earn()
        outcome = 'overloaded'
        excluded: frozenset[str] = frozenset()
        while True:
            demand = Demand(
                customer=customer,
                service=SERVICE,
                weight=1,
                deadline=arrived + DEADLINE_S,
                excluded=excluded,
            )
            try:
                endpoint = await vm.admission.acquire(demand)
            except WagtailforkError as exc:
                outcome = exc.code.name
                break
            excluded |= {endpoint.name}
            demand = attrs.evolve(demand, excluded=excluded)
            outcome = await self._hedged(vm, demand, endpoint)
            if outcome == 'ok' or not vm.budget.spend():
                break
            self.tally.retries += 1
        self.tally.count(outcome, customer, self.loop.time() - arrived)

    async def _hedged(
        self,
        vm: EntryVm,
        demand: Demand,
        endpoint: Endpoint,
    ) -> str:
        if not vm.hedging.percent:
            return await self._exchange(vm, endpoint)
        vm.hedging.earn()
        sent_at = self.loop.time()
        copies = {asyncio.create_task(self._exchange(vm, endpoint))}
        done, _slow = await asyncio.wait(copies, timeout=vm.hedging.delay_s)
        if not done:
            if vm.admission.is_quiet(SERVICE) and vm.hedging.spend():
                self.tally.hedges += 1
                copies.add(asyncio.create_task(self._second(vm, demand)))
        outcome = await _first_ok(copies)
        vm.hedging.note(self.loop.time() - sent_at)
        return outcome

    async def _second(self, vm: EntryVm, demand: Demand) -> str:
        try:
            endpoint = await vm.admission.acquire(demand)
        except WagtailforkError as exc:
            return exc.code.name
        return await self._exchange(vm, endpoint)

    async def _exchange(self, vm: EntryVm, endpoint: Endpoint) -> str:
        sent_at = self.loop.time()
        fut: asyncio.Future[str] = self.loop.create_future()
        server = self.servers[endpoint.name]
        server.offer(fut.set_result)
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
            vm.pool.note_failure(endpoint)
        vm.admission.release(endpoint, took_s)
        return outcome

    def _make_vm(self, name: str, state: ControlState) -> EntryVm:
        pool = Pool(REGION, self.lends, self.loop.time)
        pool.on_state(state)
        for endpoint in pool.every():
            for _answer in range(WARM_ANSWERS):
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
                lambda _service, message: self._to_dealer(name, message),
                self.loop.time,
            )
        return EntryVm(name, pool, admission, Hedging(self.hedge_percent))

    def _usable(self) -> dict[str, int]:
        return {
            name: self.shape.slots
            for name, server in self.servers.items()
            if not server.draining
        }

    def _count(self, message: Message) -> None:
        self.tally.messages += 1
        self.tally.message_bytes += len(cbor2.dumps(render_plain(message)))

    def _to_dealer(self, holder: str, message: Message) -> None:
        self._count(message)
        hop_s = self.shape.hop_ms / 1000
        self.loop.call_later(hop_s, self._deal, holder, message)

    def _deal(self, holder: str, message: Message) -> None:
        now = self.loop.time()
        if self.dealer is None:
            raise WagtailforkError(ResultCode.bad_request, holder)
        if isinstance(message, SlotWant):
            self._post(self.dealer.on_want(holder, message, now))
        elif isinstance(message, SlotReturn):
            self._post(self.dealer.on_return(holder, message, now))

    def _post(self, sent: list[tuple[str, Message]]) -> None:
        hop_s = self.shape.hop_ms / 1000
        for name, message in sent:
            self._count(message)
            self.loop.call_later(hop_s, self._arrive, name, message)

    def _arrive(self, name: str, message: Message) -> None:
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
    for loser in pending:
        loser.cancel()
    return outcome
