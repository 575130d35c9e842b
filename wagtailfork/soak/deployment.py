"""One run of a soak: a store, servers, gateways and callers."""

import asyncio
import logging
import pathlib
import random
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.server import HttpServer, bind
from ..standin.keyed_store import KeyedStoreStandin
from ..tests.rig_tools import free_port
from .callers import AGAIN_SHARE, LONGEST_DEADLINE_S, PATIENCE_S, Caller
from .crash_play import CrashPlay
from .customer_play import CustomerPlay
from .disruptions import Disruptor
from .gateways import GatewayProcess
from .large_play import LargePlay
from .link_disruptions import LinkDisruptor
from .links import Links
from .operators import Operators
from .pipelined_callers import PipelinedCaller
from .plan import REGIONS, SERVICES, SoakPlan
from .record import Record
from .run_watch import RunWatch
from .servers import SoakServer
from .stale_entries import StaleEntries
from .timed_rules import TimedRules

START_LIMIT_S: Final = 60.0
_MS: Final = 1000
END_S: Final = 0.2  # for connections that were reset at the end
SETTLE_S: Final = 2.0  # after the last request, for runs that come late


@attrs.define(eq=False)
class Deployment:
    """Run the stand-ins in this process and each gateway in its own."""

    plan: SoakPlan
    folder: pathlib.Path  # for settings and logs
    record: Record = attrs.field(factory=Record)
    store: KeyedStoreStandin = attrs.field(factory=KeyedStoreStandin)
    servers: list[SoakServer] = attrs.field(factory=list)
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    rules: TimedRules = attrs.field(factory=TimedRules)
    links: Links = attrs.field(init=False)
    customer_play: CustomerPlay = attrs.field(init=False)
    crash_play: CrashPlay | None = None
    large_play: LargePlay = attrs.field(init=False)
    operators: Operators = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the links, the customers and the operators of the plan."""
        self.links = Links(
            delay_s=self.plan.link_ms / _MS,
            mbps=self.plan.link_mbps,
            played=self.record.links,
        )
        self.customer_play = CustomerPlay(self.plan)
        self.customer_play.add_rules(self.rules, self.record)
        self.operators = Operators(
            store=self.store,
            rules=self.rules,
            links=self.links,
            customers=self.customer_play.customers,
        )
        self.large_play = LargePlay(
            plan=self.plan,
            record=self.record,
            operators=self.operators,
            gateways=self.gateways,
            addresses=self._addresses,
        )

    async def run(self) -> Record:
        """Play the plan; return what callers and servers saw."""
        # The store's calls end with the gateways that wait for them.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        rng = random.Random(self.plan.seed)  # noqa: S311
        store_address = f'127.0.0.1:{free_port()}'
        store = HttpServer(self.store.app(), bind(store_address))
        store_task = asyncio.create_task(store.run())
        try:
            await self._start(rng, store_address)
            await self._play(rng)
        finally:
            for gateway in self.gateways:
                gateway.end()
            for server in self.servers:
                server.crash()
            self.links.close()
            self.customer_play.links.close()
            self.large_play.links.close()
            await asyncio.sleep(END_S)
            store_task.cancel()
        return self.record

    async def _start(self, rng: random.Random, store_address: str) -> None:
        self.operators.change_configuration()
        domains = sorted(REGIONS)
        for number in range(self.plan.servers):
            await self._add_server(rng, number, domains)
        for index in range(self.plan.gateways):
            vm = f'vm{index}'
            gateway = GatewayProcess(
                vm=vm,
                domain=domains[index % len(domains)],
                store_address=await self.customer_play.reach_store(
                    vm, store_address
                ),
                folder=self.folder,
                checkout=self.plan.checkout,
                revocation_limit_ms=self.customer_play.revocation_limit_ms,
            )
            self.gateways.append(gateway)
            await self.links.open(gateway.address)
        await self.large_play.connect_regions()
        for starting in self.gateways:
            starting.start()
        async with asyncio.timeout(START_LIMIT_S):
            for started in self.gateways:
                await started.wait_ready(START_LIMIT_S)

    async def _add_server(
        self, rng: random.Random, number: int, domains: list[str]
    ) -> None:
        domain = self.customer_play.domain_index(number) % len(domains)
        server = SoakServer(
            name=f'server{number}',
            service=SERVICES[number % len(SERVICES)],
            zone=domains[domain],
            address=f'127.0.0.1:{free_port()}',
            record=self.record,
            rng=random.Random(rng.random()),  # noqa: S311
            weights=self.plan.weights,
            copies=self.plan.copies,
        )
        await server.start()
        await self.links.open(server.address)
        self.servers.append(server)
        self._register(server)

    async def _play(self, rng: random.Random) -> None:
        until_s = now_s() + self.plan.seconds
        callers = [
            Caller(
                number=number,
                record=self.record,
                rng=random.Random(rng.random()),  # noqa: S311
                addresses=self._addresses,
                again_share=AGAIN_SHARE if self.plan.repeat_ids else 0,
                customers=self.customer_play.customers,
            )
            for number in range(self.plan.callers)
        ]
        tasks = [asyncio.create_task(caller.run(until_s)) for caller in callers]
        if self.plan.crashes:
            self.crash_play = self._make_crash_play(rng)
            tasks.append(asyncio.create_task(self.crash_play.run(until_s)))
        tasks.append(asyncio.create_task(self.large_play.run(until_s)))
        others = []
        if self.plan.disrupted:
            disruptor = self._make_disruptor(rng)
            others.append(
                asyncio.create_task(
                    disruptor.run(until_s - self.large_play.quiet_s)
                )
            )
        stale = self._make_stale_entries(rng)
        others.append(asyncio.create_task(stale.run(until_s)))
        tasks.extend(
            asyncio.create_task(self._make_pipelined(rng, number).run(until_s))
            for number in range(self.plan.pipelined)
        )
        watch = RunWatch(self.gateways, self.rules.store)
        watch.start()
        await asyncio.sleep(self.plan.seconds)
        await _end_tasks(tasks, others)
        for gateway in self.gateways:
            gateway.resume()
        await asyncio.sleep(SETTLE_S)
        watch.stop(self.record)
        self._record_processes()

    def _record_processes(self) -> None:
        disruptions = {
            self.links.reach(one.address): one.disruptions
            for one in self.gateways
        }
        self.record.late = self.rules.judge(self.record.requests, disruptions)
        if self.crash_play is not None:
            self.record.late.extend(self.crash_play.judge(disruptions))
        self.record.judged_in_touch = self.rules.judged
        self.record.ended = [
            f'{one.vm}: {one.exit_status}'
            for one in self.gateways
            if one.ended_by_itself
        ]

    def _addresses(self) -> list[str]:
        return [self.links.reach(one.address) for one in self.gateways]

    def _make_crash_play(self, rng: random.Random) -> CrashPlay:
        play = CrashPlay(
            record=self.record,
            servers=self.servers,
            rng=random.Random(rng.random()),  # noqa: S311
            addresses=self._addresses,
            register=self._register,
        )
        for server in self.servers:
            server.on_crashing_path = play.crash_by_request
        return play

    def _make_pipelined(
        self, rng: random.Random, number: int
    ) -> PipelinedCaller:
        return PipelinedCaller(
            number=number,
            record=self.record,
            rng=random.Random(rng.random()),  # noqa: S311
            addresses=self._addresses,
            customers=self.customer_play.customers,
        )

    def _make_disruptor(self, rng: random.Random) -> Disruptor:
        busy: set[str] = set()
        held: set[str] = set()
        link_disruptor = LinkDisruptor(
            links=self.links,
            gateways=self.gateways,
            servers=self.servers,
            rng=random.Random(self.plan.seed),  # noqa: S311
            excuses=self.rules.links,
            busy=busy,
        )
        return Disruptor(
            gateways=self.gateways,
            servers=self.servers,
            store=self.store,
            record=self.record,
            rng=random.Random(rng.random()),  # noqa: S311
            register=self._register,
            unregister=lambda server: self.operators.delete_entry(server.name),
            change_configuration=self.operators.change_configuration,
            kinds=self.plan.disruptions,
            store_disruptions=self.rules.store,
            more_kinds={
                **link_disruptor.kinds(),
                **(self.crash_play.kinds() if self.crash_play else {}),
                **self.large_play.kinds(),
                **self.customer_play.kinds(
                    self.gateways, self.operators, busy, held
                ),
            },
            busy=busy,
            held=held,
        )

    def _make_stale_entries(self, rng: random.Random) -> StaleEntries:
        return StaleEntries(
            count=self.plan.stale_entries,
            servers=self.servers,
            record=self.record,
            rng=random.Random(rng.random()),  # noqa: S311
            register=self.operators.put_entry,
            unregister=self.operators.delete_entry,
        )

    def _register(self, server: SoakServer) -> None:
        self.operators.put_entry(server.name, server.entry())


async def _end_tasks(
    callers: 'list[asyncio.Task[None]]', others: 'list[asyncio.Task[None]]'
) -> None:
    """Let the last requests end; raise what a task raised."""
    await asyncio.wait(callers, timeout=LONGEST_DEADLINE_S + PATIENCE_S)
    tasks = (*callers, *others)
    for task in tasks:
        task.cancel()
    for failed in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(failed, Exception):
            raise failed
