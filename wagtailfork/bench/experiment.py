"""Compare balancing policies on identical seeded arrivals."""

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
from .entry_fleet import (
    REPORT_BYTES,
    REPORT_PERIOD_S,
    SERVICE,
    EntryFleet,
    EntryVm,
    RunStats,
)
from .fakes import MEAN_TO_MEDIAN, FakeServer
from .scenarios import SCENARIOS, Scenario, Shape
from .virtual import VirtualLoop

GREEDY_VMS: Final = 3  # entry VMs that the greedy customer sends to
HEDGE_PERCENT: Final = 5.0  # requests that may be hedged
SWEEP_PERIOD_S: Final = 0.05
DRAIN_TIMEOUT_S: Final = 20.0  # virtual time limit for the last responses
_WEIGHT_STEP: Final = 0.5  # traffic weight added from entry VM to entry VM
_RUSH_START: Final = 0.5  # share of the calls before the rush
_P50: Final = 0.5
_P99: Final = 0.99
_P99_9: Final = 0.999


@attrs.frozen(kw_only=True)
class PolicySetup:
    """Describe a policy under test and the fleet that it runs in."""

    name: str
    policy: Policy
    lends: bool = False
    central: bool = False  # one entry VM that sees the whole load
    queues: bool = False  # servers queue requests instead of shedding them
    hedge_percent: float = 0


POLICY_SETUPS: Final = (
    PolicySetup(name='central', policy=LeastInFlight(), central=True),
    PolicySetup(name='random', policy=RandomChoice()),
    PolicySetup(name='least-own', policy=LeastInFlight()),
    PolicySetup(name='two-own', policy=TwoChoices()),
    PolicySetup(name='two-reported', policy=TwoChoicesReported(), queues=True),
    PolicySetup(name='random-queued', policy=RandomChoice(), queues=True),
    PolicySetup(name='least-own-queued', policy=LeastInFlight(), queues=True),
    PolicySetup(name='two-own-queued', policy=TwoChoices(), queues=True),
    PolicySetup(name='lending', policy=LeastInFlight(), lends=True),
    PolicySetup(
        name='lending-hedged',
        policy=LeastInFlight(),
        lends=True,
        hedge_percent=HEDGE_PERCENT,
    ),
)


@attrs.frozen(kw_only=True)
class Arrival:
    """Describe the arrival of one request at an entry VM."""

    at_s: float
    vm: int
    customer: str


def make_arrivals(
    shape: Shape,
    scenario: Scenario,
    calls: int,
    seed: int,
) -> list[Arrival]:
    """Return Poisson arrivals that load the entry VMs unequally."""
    rng = random.Random(seed)
    weights = [1 + _WEIGHT_STEP * number for number in range(shape.entries)]
    arrivals: list[Arrival] = []
    now = 0.0
    for number in range(calls):
        load = _load_at(scenario, number / calls)
        now += rng.expovariate(load * _capacity_per_s(shape))
        vm = rng.choices(range(shape.entries), weights)[0]
        customer = 'quiet'
        if rng.random() < scenario.greedy_share:
            customer = 'greedy'
            vm %= GREEDY_VMS
        arrivals.append(Arrival(at_s=now, vm=vm, customer=customer))
    return arrivals


def _load_at(scenario: Scenario, progress: float) -> float:
    is_rush = scenario.rush_load and progress >= _RUSH_START
    return scenario.rush_load if is_rush else scenario.load


def _capacity_per_s(shape: Shape) -> float:
    mean_s = shape.median_ms / 1000 * MEAN_TO_MEDIAN
    return shape.endpoints * shape.slots / mean_s


def run_experiment(
    shape: Shape,
    scenario: Scenario,
    setup: PolicySetup,
    calls: int,
    seed: int,
) -> dict[str, Any]:
    """Run one policy on one scenario and return its result row."""
    loop = VirtualLoop()
    try:
        fleet = _make_fleet(shape, scenario, setup, loop, seed)
        arrivals = make_arrivals(shape, scenario, calls, seed)
        run = _run_arrivals(fleet, setup, arrivals)
        loop.run_until_complete(run)
    finally:
        loop.close()
    return _result_row(shape, scenario, setup, fleet, arrivals[-1].at_s)


def _make_fleet(
    shape: Shape,
    scenario: Scenario,
    setup: PolicySetup,
    loop: VirtualLoop,
    seed: int,
) -> EntryFleet:
    if setup.central:
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
            queues=setup.queues,
        )
    return EntryFleet(
        shape,
        scenario,
        setup.policy,
        setup.lends,
        servers,
        loop,
        rng,
        hedge_percent=setup.hedge_percent,
    )


async def _run_arrivals(
    fleet: EntryFleet,
    setup: PolicySetup,
    arrivals: list[Arrival],
) -> None:
    fleet.start()
    periodic_tasks = [
        asyncio.create_task(
            _run_periodically(SWEEP_PERIOD_S, lambda: _sweep(fleet))
        )
    ]
    if isinstance(setup.policy, TwoChoicesReported):
        report_loop = _run_periodically(
            REPORT_PERIOD_S, fleet.update_load_reports
        )
        periodic_tasks.append(asyncio.create_task(report_loop))
    half = len(arrivals) // 2
    in_flight: set[asyncio.Task[None]] = set()
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(arrival.at_s - fleet.loop.time())
        if number == half and fleet.scenario.event is not None:
            fleet.scenario.event(list(fleet.servers.values()))
            fleet.apply_draining()
        vm = fleet.vms[arrival.vm % len(fleet.vms)]
        in_flight.add(_start_request(fleet, vm, arrival.customer, in_flight))
    if in_flight:
        await asyncio.wait(in_flight, timeout=DRAIN_TIMEOUT_S)
    for task in (*periodic_tasks, *in_flight):
        task.cancel()


def _start_request(
    fleet: EntryFleet,
    vm: EntryVm,
    customer: str,
    in_flight: set[asyncio.Task[None]],
) -> asyncio.Task[None]:
    task = asyncio.create_task(fleet.serve(vm, customer))
    task.add_done_callback(in_flight.discard)
    return task


def _sweep(fleet: EntryFleet) -> None:
    fleet.tick_dealer()
    for vm in fleet.vms:
        if vm.admission.share is not None:
            vm.admission.share.return_unusable(SERVICE)
        vm.admission.sweep()


async def _run_periodically(period_s: float, func: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(period_s)
        func()


def quantile_ms(latencies_s: list[float], share: float) -> float:
    """Return a quantile of latencies in milliseconds, 0 if there are none.

    >>> quantile_ms([0.001, 0.002, 0.003], 0.5)
    2.0
    """
    if not latencies_s:
        return 0
    index = min(len(latencies_s) - 1, int(len(latencies_s) * share))
    return round(sorted(latencies_s)[index] * 1000, 1)


def _result_row(
    shape: Shape,
    scenario: Scenario,
    setup: PolicySetup,
    fleet: EntryFleet,
    seconds: float,
) -> dict[str, Any]:
    stats: RunStats = fleet.stats
    calls = sum(stats.outcomes.values())
    answered = stats.outcomes.get('ok', 0)
    report_bytes = stats.report_requests * REPORT_BYTES
    sheds = sum(server.sheds for server in fleet.servers.values())
    return {
        'shape': shape.name,
        'scenario': scenario.name,
        'policy': setup.name,
        'p50_ms': quantile_ms(stats.latencies_s, _P50),
        'p99_ms': quantile_ms(stats.latencies_s, _P99),
        'p99_9_ms': quantile_ms(stats.latencies_s, _P99_9),
        'quiet_p99_ms': quantile_ms(stats.quiet_latencies_s, _P99),
        'answered': round(answered / max(1, calls), 4),
        'outcomes': stats.outcomes,
        'retries': stats.retries,
        'hedges': stats.hedges,
        'sheds': sheds,
        'messages_per_call': round(stats.messages / max(1, calls), 2),
        'peer_bytes_per_s': round(stats.message_bytes / seconds),
        'report_bytes_per_s': round(report_bytes / seconds),
        'report_requests_per_s': round(stats.report_requests / seconds, 1),
    }


def compare_policies(
    shape: Shape,
    calls: int,
    seed: int,
    only: tuple[str, ...],
) -> list[dict[str, Any]]:
    """Run every policy on all scenarios, or on those named in ``only``."""
    rows = []
    for scenario in SCENARIOS:
        if only and scenario.name not in only:
            continue
        for setup in POLICY_SETUPS:
            rows.append(run_experiment(shape, scenario, setup, calls, seed))
    return rows
