"""A large configuration that changes, with a narrow link between regions."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import attrs

from ..core.clock import now_s
from .callers import CONNECT_TIMEOUT_S, connect
from .disruptions import Play
from .extra_routes import ExtraRoute, ExtraRoutes
from .gateways import RESTART_DELAY_S, GatewayProcess
from .one_call import ask_once
from .operators import Operators
from .plan import REGIONS, SoakPlan
from .record import Record, RequestRecord
from .region_links import RegionLinks
from .route_rules import HEAL_S, RouteRules
from .timed_rules import TimedRules

LARGE_KINDS: Final = ('kill_half', 'cut_regions', 'slow_store')
STORE_REGION: Final = 'south'
OTHER_REGION: Final = {'south': 'north', 'north': 'south'}
ASKED_PER_S: Final = 120.0
DEADLINE_S: Final = 1.5
CHANGE_PERIOD_S: Final = 1.5  # mean
JUDGED_S: Final = 2.5  # at the end, for the newest route
QUIET_S: Final = HEAL_S + JUDGED_S
NEWEST: Final = 3  # of the routes: asked for
NEWEST_SHARE: Final = 0.5  # of the last requests: for the newest one
MAX_CUT_S: Final = 2.5
MAX_SLOW_S: Final = 3.0
MIN_STORE_DELAY_S: Final = 0.2
MAX_STORE_DELAY_S: Final = 1.5


@attrs.define(eq=False, kw_only=True)
class LargePlay:
    """Change routes, ask for them and disturb the link of the regions.

    It does nothing if the plan has no large configuration.
    """

    plan: SoakPlan
    record: Record
    operators: Operators
    gateways: list[GatewayProcess]
    addresses: Callable[[], list[str]]
    routes: ExtraRoutes = attrs.field(init=False)
    links: RegionLinks = attrs.field(init=False)
    rules: TimedRules = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    _quiet_from_s: float = 0
    _ways: dict[str, dict[str, str]] = attrs.field(factory=dict)
    _sent: int = 0
    _busy: set[str] = attrs.field(factory=set)  # kinds under way
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Make the routes and the link of the plan."""
        self.rng = random.Random(self.plan.seed)  # noqa: S311
        self.routes = ExtraRoutes(self.rng, staying=self.plan.routes)
        self.links = RegionLinks(
            mbps=self.plan.region_mbps, played=self.record.links
        )
        self.rules = self.operators.rules
        self.rules.routes = RouteRules(
            routes=self.routes.routes,
            keyed=self.plan.customers,
            seen=self.record.plays,
        )
        if self.plan.large:
            self.operators.routes = self.routes

    @property
    def quiet_s(self) -> float:
        """Return for how long nothing is disrupted at the end of a run."""
        return QUIET_S if self.plan.large else 0

    async def connect_regions(self) -> None:
        """Lead all that VMs send to another region over the link."""
        if not self.plan.large:
            return
        for gateway in self.gateways:
            near = REGIONS[gateway.domain]
            far = OTHER_REGION[near]
            address = gateway.fleet_address
            self._detours(far)[address] = await self.links.open(
                address, near, far
            )
            store = gateway.store_address
            if far == STORE_REGION and store not in self._detours(near):
                self._detours(near)[store] = await self.links.open(
                    store, far, near
                )
        for one in self.gateways:
            one.detours = self._detours(REGIONS[one.domain])

    async def run(self, until_s: float) -> None:
        """Change routes and ask for them until a time."""
        if not self.plan.large:
            return
        self._quiet_from_s = until_s - QUIET_S
        await asyncio.gather(self._change(), self._ask(until_s))

    def kinds(self) -> dict[str, Play]:
        """Return what plays each kind of disruption."""
        if not self.plan.large:
            return {}
        plays = (self._kill_half, self._cut, self._slow_store)
        return {
            kind: self._one_at_a_time(kind, play)
            for kind, play in zip(LARGE_KINDS, plays, strict=True)
        }

    async def _change(self) -> None:
        while now_s() < self._quiet_from_s:
            self._write(self.routes.change())
            period_s = self.rng.expovariate(1 / CHANGE_PERIOD_S)
            await asyncio.sleep(min(period_s, self._left_s()))
        self._write(self.routes.add())

    def _write(self, route: ExtraRoute) -> None:
        self.operators.change_configuration()
        route.acknowledge()
        self.record.plays['route_changes'] += 1

    async def _ask(self, until_s: float) -> None:
        while now_s() < until_s:
            await asyncio.sleep(self.rng.expovariate(ASKED_PER_S))
            self._start_task(self._ask_for_route())
        await asyncio.wait(
            self._tasks, timeout=2 * DEADLINE_S + CONNECT_TIMEOUT_S
        )

    async def _ask_for_route(self) -> None:
        route = self._draw_route()
        self._sent += 1
        seen = RequestRecord(
            request_id=f'{route.name}-{self._sent}',
            kind='extra',
            gateway=self.rng.choice(self.addresses()),
            sent_s=now_s(),
            deadline_s=DEADLINE_S,
            route=route.name,
        )
        self.record.requests[seen.request_id] = seen
        conn = await connect(seen.gateway)
        if conn is None:
            seen.cut_s = now_s()
            return
        await ask_once(conn, seen, f'{route.prefix}{seen.request_id}')

    def _draw_route(self) -> ExtraRoute:
        newest = self.routes.listed()[-NEWEST:]
        quiet = not self._left_s()
        if quiet and self.rng.random() < NEWEST_SHARE:
            return newest[-1]
        return self.rng.choice(newest)

    def _one_at_a_time(self, kind: str, play: Play) -> Play:
        async def run() -> None:
            if kind in self._busy or not self._left_s():
                return
            self._busy.add(kind)
            await play()
            self._busy.discard(kind)

        return run

    async def _kill_half(self) -> None:
        killed = self.rng.sample(self.gateways, len(self.gateways) // 2)
        running = [gateway for gateway in killed if gateway.running]
        for gateway in running:
            gateway.disruptions.add_trouble(now_s(), now_s())
            gateway.send_signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        for ended in running:
            ended.start()

    async def _cut(self) -> None:
        seconds = min(self.rng.random() * MAX_CUT_S, self._left_s())
        self._disturb(seconds)
        self.links.cut(seconds)
        await asyncio.sleep(seconds)

    async def _slow_store(self) -> None:
        seconds = min(self.rng.random() * MAX_SLOW_S, self._left_s())
        self._disturb(seconds)
        faults = self.operators.store.faults
        faults.delay_s = self.rng.uniform(MIN_STORE_DELAY_S, MAX_STORE_DELAY_S)
        await asyncio.sleep(seconds)
        faults.delay_s = 0

    def _disturb(self, seconds: float) -> None:
        until_s = now_s() + seconds
        self.rules.store.add_trouble(now_s(), until_s)
        routes = self.rules.routes
        routes.disturbed_until_s = max(routes.disturbed_until_s, until_s)

    def _detours(self, region: str) -> dict[str, str]:
        return self._ways.setdefault(region, {})

    def _left_s(self) -> float:
        return max(0, self._quiet_from_s - now_s())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
