"""Measure how the costs of an entry VM grow, for docs/CAPACITY.md."""

import asyncio
import random
import time
import tracemalloc
from typing import Any, Final

import attrs

from ..claims.table import ClaimTable
from ..control.fold import ControlState, LogRecord, fold_record
from ..control.snapshots import load_state, snapshot_body
from ..core.structure import render_plain
from ..node.lending import SlotLending
from ..peers.messages import SlotWant
from ..routing.admission import Admission
from ..routing.dealer import Dealer
from ..routing.policies import LeastInFlight, choose
from ..routing.pool import Pool, SlotFilter
from .measurements import US_PER_S, Measurement, time_us
from .messages import measure_messages
from .virtual import VirtualLoop

ENDPOINT_COUNTS: Final = (1000, 4000, 14000)
ENDPOINTS_PER_SERVICE: Final = 7
SERVICE_SIZES: Final = (7, 20, 100)  # endpoints
CHECK_REPEATS: Final = 10
_KEY_COUNT: Final = 20000
_DIGEST: Final = '0123456789abcdef0123456789abcdef'


def backend_ticket(number: int, first: int, count: int) -> dict[str, Any]:
    """Return a ticket that adds backend servers and their services."""
    objects: list[dict[str, Any]] = []
    services = set()
    for index in range(first, first + count):
        service = f's{index // ENDPOINTS_PER_SERVICE}'
        services.add(service)
        state = {
            'service': service,
            'address': f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}:80',
            'region': 'south-tas',
            'failure_domain': f'domain-{index % 18}',
        }
        name = f'{service}.{index}'
        objects.append({'kind': 'backend', 'name': name, 'state': state})
    for service in sorted(services):
        objects.append({'kind': 'service', 'name': service, 'state': {}})
    return {'ticket': number, 'operator': 'bench', 'objects': objects}


def make_control_state(size: int) -> ControlState:
    """Return a control state with ``size`` endpoints."""
    record = {'id': 'r', 'kind': 'ticket', 'body': backend_ticket(1, 0, size)}
    entry = LogRecord(offset=0, time_ms=0, record=record)
    return fold_record(ControlState(), entry)[0]


def measure_control(size: int) -> list[Measurement]:
    """Measure control log, snapshot and pool operations at one size."""
    state = make_control_state(size)
    record = {'id': 'x', 'kind': 'ticket', 'body': backend_ticket(2, 0, 1)}
    entry = LogRecord(offset=1, time_ms=0, record=record)
    pool = Pool('south-tas', lends=True)
    changed = fold_record(state, entry)[0]
    pool.on_state(state)
    states = [state, changed]

    def apply_other_state() -> None:
        pool.on_state(states[0])
        states.reverse()

    repeats = 20
    body = snapshot_body(state)
    return [
        Measurement(
            what='fold one ticket',
            size=size,
            figure=time_us(lambda: fold_record(state, entry), repeats),
            unit='us',
        ),
        Measurement(
            what='take one ticket into the pool',
            size=size,
            figure=time_us(apply_other_state, repeats),
            unit='us',
        ),
        Measurement(
            what='build a snapshot',
            size=size,
            figure=time_us(lambda: snapshot_body(state), 1),
            unit='us',
        ),
        Measurement(
            what='load a snapshot',
            size=size,
            figure=time_us(lambda: load_state(body['state']), 1),
            unit='us',
        ),
        Measurement(
            what='snapshot as JSON',
            size=size,
            figure=len(str(render_plain(body))),
            unit='bytes',
        ),
    ]


def measure_memory(size: int) -> list[Measurement]:
    """Measure the memory of the control state and of the pool."""
    tracemalloc.start()
    state = make_control_state(size)
    state_bytes = tracemalloc.get_traced_memory()[0]
    pool = Pool('south-tas', lends=True)
    pool.on_state(state)
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Measurement(
            what='memory of the folded state',
            size=size,
            figure=state_bytes,
            unit='bytes',
        ),
        Measurement(
            what='memory of the pool',
            size=size,
            figure=total_bytes - state_bytes,
            unit='bytes',
        ),
    ]


@attrs.define
class _EmptyMesh:
    """Simulate a peer mesh without links."""

    def up_links(self) -> tuple[Any, ...]:
        """Return no link."""
        return ()

    def by_incarnation(self, incarnation: str) -> None:
        """Return no link for any incarnation."""


def measure_lending(size: int) -> list[Measurement]:
    """Measure the periodic lending check on the dealer of all services."""
    pool = Pool('south-tas', lends=True)
    pool.on_state(make_control_state(size))
    admission = Admission(pool, 1)
    mesh: Any = _EmptyMesh()
    loop = VirtualLoop()
    lending = SlotLending('vm', 'south-tas', pool, admission, mesh)
    loop.run_until_complete(_check_once(lending))
    cost_us = loop.run_until_complete(_time_checks(lending))
    loop.close()
    return [
        Measurement(
            what='look after lent slots once',
            size=size,
            figure=cost_us,
            unit='us',
        ),
    ]


async def _check_once(lending: SlotLending) -> None:
    lending.check()
    await asyncio.sleep(0)


async def _time_checks(lending: SlotLending) -> float:
    return time_us(lending.check, CHECK_REPEATS)


def measure_claims() -> list[Measurement]:
    """Measure the claim table of a key range."""
    table = ClaimTable()
    tracemalloc.start()
    start = time.perf_counter()
    for number in range(_KEY_COUNT):
        key = f'kiosk/{number:016x}'
        table.claim(0, key, _DIGEST, 'c')
        table.confirm(0, key, 'c')
    took_s = time.perf_counter() - start
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Measurement(
            what='claim one key (traced)',
            size=_KEY_COUNT,
            figure=took_s / _KEY_COUNT * US_PER_S,
            unit='us',
        ),
        Measurement(
            what='memory of one key',
            size=_KEY_COUNT,
            figure=used_bytes / _KEY_COUNT,
            unit='bytes',
        ),
    ]


def measure_decisions(size: int) -> list[Measurement]:
    """Measure an endpoint choice and a slot request at one service size."""
    pool = Pool('south-tas')
    record = {'id': 'r', 'kind': 'ticket', 'body': _single_service_ticket(size)}
    entry = LogRecord(offset=0, time_ms=0, record=record)
    pool.on_state(fold_record(ControlState(), entry)[0])
    endpoints = pool.endpoints('s')
    rng = random.Random(1)
    dealer = Dealer('s', collecting_until=0)
    dealer.adjust_slots({each.name: 4 for each in endpoints}, 0)
    dealer.adjust_members([f'vm-{number}' for number in range(15)], 0)
    slot_want = SlotWant(
        service='s', lanes={'kiosk': 1}, served={}, waited_ms=0
    )
    return [
        Measurement(
            what='choose an endpoint',
            size=size,
            figure=time_us(
                lambda: choose(
                    LeastInFlight(),
                    pool.free(endpoints, SlotFilter()),
                    rng,
                ),
            ),
            unit='us',
        ),
        Measurement(
            what='deal on a want',
            size=size,
            figure=time_us(lambda: dealer.on_want('vm-1', slot_want, 1)),
            unit='us',
        ),
    ]


def _single_service_ticket(size: int) -> dict[str, Any]:
    ticket = backend_ticket(1, 0, size)
    for item in ticket['objects']:
        if item['kind'] == 'backend':
            item['state']['service'] = 's'
    ticket['objects'].append({'kind': 'service', 'name': 's', 'state': {}})
    return ticket


def measure_entry_vm() -> list[Measurement]:
    """Return all measurements of an entry VM."""
    measurements: list[Measurement] = []
    for size in ENDPOINT_COUNTS:
        measurements.extend(measure_control(size))
        measurements.extend(measure_memory(size))
        measurements.extend(measure_lending(size))
    for size in SERVICE_SIZES:
        measurements.extend(measure_decisions(size))
    measurements.extend(measure_claims())
    measurements.extend(measure_messages())
    return measurements
