"""Run every policy on the same seeded arrivals and compare them."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..routing.policies import (
    LeastInFlight,
    Policy,
    RandomChoice,
    TwoChoices,
    TwoChoicesReported,
)
from .fakes import MEAN_FACTOR, FakeServer
from .fleet import (
    REPORT_BYTES,
    REPORT_EVERY_S,
    SERVICE,
    EntryVm,
    Fleet,
    Tally,
)
from .scenarios import SCENARIOS, Scenario, Shape
from .virtual import VirtualLoop

GREEDY_VMS: Final = 3  # through which the greedy customer comes
HEDGE_PERCENT: Final = 5.0  # of requests may have a second copy
SWEEP_S: Final = 0.05
DRAIN_S: Final = 20.0  # virtual time for the last answers
_SKEW: Final = 0.5  # shares of the entry VMs grow by so much from first to last
_RUSH_FROM: Final = 0.5  # share of the calls before a rush
_P50: Final = 0.5
_P99: Final = 0.99
_P99_9: Final = 0.999


@attrs.frozen(kw_only=True)
class Contender:
    """Name a policy under test and how its fleet is built."""

    name: str
    policy: Policy
    lends: bool = False
    central: bool = False  # one entry VM that knows everything
    queues: bool = False  # servers let requests wait instead of shedding
    hedge_percent: float = 0


CONTENDERS: Final = (
    Contender(name='central', policy=LeastInFlight(), central=True),
    Contender(name='random', policy=RandomChoice()),
    Contender(name='least-own', policy=LeastInFlight()),
    Contender(name='two-own', policy=TwoChoices()),
    Contender(name='two-reported', policy=TwoChoicesReported(), queues=True),
    Contender(name='random-queued', policy=RandomChoice(), queues=True),
    Contender(name='least-own-queued', policy=LeastInFlight(), queues=True),
    Contender(name='two-own-queued', policy=TwoChoices(), queues=True),
    Contender(name='lending', policy=LeastInFlight(), lends=True),
    Contender(
        name='lending-hedged',
        policy=LeastInFlight(),
        lends=True,
        hedge_percent=HEDGE_PERCENT,
    ),
)


@attrs.frozen(kw_only=True)
class Arrival:
    """Place one request in time, at one entry VM."""

    at: float
    vm: int
    customer: str


def make_arrivals(
    shape: Shape,
    scenario: Scenario,
    calls: int,
    seed: int,
) -> list[Arrival]:
    """Draw Poisson arrivals with skewed shares of the entry VMs."""
    rng = random.Random(seed)
    weights = [1 + _SKEW * number for number in range(shape.entries)]
    arrivals: list[Arrival] = []
    now = 0.0
    for number in range(calls):
        load = _load_at(scenario, number / calls)
        now += rng.expovariate(load * _capacity_per_s(shape))
        vm = rng.choices(range(shape.entries), weights)[0]
        customer = 'quiet'
        if rng.random() < scenario.greedy:
            customer = 'greedy'
            vm %= GREEDY_VMS
        arrivals.append(Arrival(at=now, vm=vm, customer=customer))
    return arrivals


def _load_at(scenario: Scenario, progress: float) -> float:
    is_rush = scenario.rush and progress >= _RUSH_FROM
    return scenario.rush if is_rush else scenario.load


def _capacity_per_s(shape: Shape) -> float:
    mean_s = shape.median_ms / 1000 * MEAN_FACTOR
    return shape.endpoints * shape.slots / mean_s


def run_cell(
    shape: Shape,
    scenario: Scenario,
    contender: Contender,
    calls: int,
    seed: int,
) -> dict[str, Any]:
    """Run one policy on one scenario and give its row of the table."""
    loop = VirtualLoop()
    try:
        fleet = _make_fleet(shape, scenario, contender, loop, seed)
        arrivals = make_arrivals(shape, scenario, calls, seed)
        work = _drive(fleet, contender, arrivals)
        loop.run_until_complete(work)
    finally:
        loop.close()
    return _row(shape, scenario, contender, fleet, arrivals[-1].at)


def _make_fleet(
    shape: Shape,
    scenario: Scenario,
    contender: Contender,
    loop: VirtualLoop,
    seed: int,
) -> Fleet:
    if contender.central:
        shape = attrs.evolve(shape, entries=1, hop_ms=0)
    rng = random.Random(seed + 1)
    servers = {}
    for number in range(shape.endpoints):
        name = f'{SERVICE}.{number}'
        servers[name] = FakeServer(
            name=name,
            slots=shape.slots,
            median_s=shape.median_ms / 1000,
            rng=random.Random(rng.random()),
            call_later=loop.call_later,
            queues=contender.queues,
        )
    return Fleet(
        shape,
        scenario,
        contender.policy,
        contender.lends,
        servers,
        loop,
        rng,
        hedge_percent=contender.hedge_percent,
    )


async def _drive(
    fleet: Fleet,
    contender: Contender,
    arrivals: list[Arrival],
) -> None:
    fleet.start()
    ticking = [asyncio.create_task(_every(SWEEP_S, lambda: _sweep(fleet)))]
    if isinstance(contender.policy, TwoChoicesReported):
        reporting = _every(REPORT_EVERY_S, fleet.report_loads)
        ticking.append(asyncio.create_task(reporting))
    half = len(arrivals) // 2
    serving: set[asyncio.Task[None]] = set()
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(arrival.at - fleet.loop.time())
        if number == half and fleet.scenario.event is not None:
            fleet.scenario.event(list(fleet.servers.values()))
            fleet.note_draining()
        vm = fleet.vms[arrival.vm % len(fleet.vms)]
        serving.add(_begin(fleet, vm, arrival.customer, serving))
    if serving:
        await asyncio.wait(serving, timeout=DRAIN_S)
    for task in (*ticking, *serving):
        task.cancel()


def _begin(
    fleet: Fleet,
    vm: EntryVm,
    customer: str,
    serving: set[asyncio.Task[None]],
) -> asyncio.Task[None]:
    task = asyncio.create_task(fleet.serve(vm, customer))
    task.add_done_callback(serving.discard)
    return task


def _sweep(fleet: Fleet) -> None:
    fleet.tick_dealer()
    for vm in fleet.vms:
        if vm.admission.share is not None:
            vm.admission.share.return_unusable(SERVICE)
        vm.admission.sweep()


async def _every(period_s: float, act: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(period_s)
        act()


def quantile_ms(waits_s: list[float], share: float) -> float:
    """Give a quantile of waits in milliseconds, zero of none.

    >>> quantile_ms([0.001, 0.002, 0.003], 0.5)
    2.0
    """
    if not waits_s:
        return 0
    place = min(len(waits_s) - 1, int(len(waits_s) * share))
    return round(sorted(waits_s)[place] * 1000, 1)


def _row(
    shape: Shape,
    scenario: Scenario,
    contender: Contender,
    fleet: Fleet,
    seconds: float,
) -> dict[str, Any]:
    tally: Tally = fleet.tally
    calls = sum(tally.outcomes.values())
    answered = tally.outcomes.get('ok', 0)
    report_bytes = tally.report_requests * REPORT_BYTES
    sheds = sum(server.sheds for server in fleet.servers.values())
    return {
        'shape': shape.name,
        'scenario': scenario.name,
        'policy': contender.name,
        'p50_ms': quantile_ms(tally.waits_s, _P50),
        'p99_ms': quantile_ms(tally.waits_s, _P99),
        'p99_9_ms': quantile_ms(tally.waits_s, _P99_9),
        'quiet_p99_ms': quantile_ms(tally.quiet_waits_s, _P99),
        'answered': round(answered / max(1, calls), 4),
        'outcomes': tally.outcomes,
        'retries': tally.retries,
        'hedges': tally.hedges,
        'sheds': sheds,
        'messages_per_call': round(tally.messages / max(1, calls), 2),
        'peer_bytes_per_s': round(tally.message_bytes / seconds),
        'report_bytes_per_s': round(report_bytes / seconds),
        'report_requests_per_s': round(tally.report_requests / seconds, 1),
    }


def run_table(
    shape: Shape,
    calls: int,
    seed: int,
    only: tuple[str, ...],
) -> list[dict[str, Any]]:
    """Run every policy on every scenario, or those named."""
    rows = []
    for scenario in SCENARIOS:
        if only and scenario.name not in only:
            continue
        for contender in CONTENDERS:
            rows.append(run_cell(shape, scenario, contender, calls, seed))
    return rows
