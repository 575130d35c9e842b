"""Measure the slopes from which docs/CAPACITY.md is worked out."""

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
from ..node.lending import Lending
from ..peers.messages import SlotWant
from ..routing.admission import Admission
from ..routing.dealer import Dealer
from ..routing.policies import LeastInFlight, choose
from ..routing.pool import Pool, Reach
from .messages import measure_messages
from .readings import MICRO, Reading, time_us
from .virtual import VirtualLoop

SIZES: Final = (1000, 4000, 14000)  # endpoints
ENDPOINTS_PER_SERVICE: Final = 7
SERVICE_SIZES: Final = (7, 20, 100)
CHECKS_PER_S: Final = 10
_KEYS: Final = 20000
_DIGEST: Final = '0123456789abcdef0123456789abcdef'


def backend_ticket(number: int, first: int, count: int) -> dict[str, Any]:
    """Make a ticket of backend servers with the services they need."""
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


def folded(size: int) -> ControlState:
    """Fold tickets until there are ``size`` endpoints."""
    record = {'id': 'r', 'kind': 'ticket', 'body': backend_ticket(1, 0, size)}
    entry = LogRecord(offset=0, time_ms=0, record=record)
    return fold_record(ControlState(), entry)[0]


def measure_control(size: int) -> list[Reading]:
    """Measure the fold, its snapshot and the pool at one size."""
    state = folded(size)
    record = {'id': 'x', 'kind': 'ticket', 'body': backend_ticket(2, 0, 1)}
    entry = LogRecord(offset=1, time_ms=0, record=record)
    pool = Pool('south-tas', lends=True)
    changed = fold_record(state, entry)[0]
    pool.on_state(state)
    states = [state, changed]

    def alternate() -> None:
        pool.on_state(states[0])
        states.reverse()

    few = 20
    body = snapshot_body(state)
    return [
        Reading(
            what='fold one ticket',
            size=size,
            figure=time_us(lambda: fold_record(state, entry), few),
            unit='us',
        ),
        Reading(
            what='take one ticket into the pool',
            size=size,
            figure=time_us(alternate, few),
            unit='us',
        ),
        Reading(
            what='build a snapshot',
            size=size,
            figure=time_us(lambda: snapshot_body(state), 1),
            unit='us',
        ),
        Reading(
            what='load a snapshot',
            size=size,
            figure=time_us(lambda: load_state(body['state']), 1),
            unit='us',
        ),
        Reading(
            what='snapshot as JSON',
            size=size,
            figure=len(str(render_plain(body))),
            unit='bytes',
        ),
    ]


def measure_memory(size: int) -> list[Reading]:
    """Measure the memory of the folded state and of the pool."""
    tracemalloc.start()
    state = folded(size)
    after_state = tracemalloc.get_traced_memory()[0]
    pool = Pool('south-tas', lends=True)
    pool.on_state(state)
    after_pool = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Reading(
            what='memory of the folded state',
            size=size,
            figure=after_state,
            unit='bytes',
        ),
        Reading(
            what='memory of the pool',
            size=size,
            figure=after_pool - after_state,
            unit='bytes',
        ),
    ]


@attrs.define
class _NoPeers:
    """Stand for a mesh with no peer."""

    def up_links(self) -> tuple[Any, ...]:
        """Give no link."""
        return ()

    def by_incarnation(self, incarnation: str) -> None:
        """Find none."""


def measure_lending(size: int) -> list[Reading]:
    """Measure the periodic look after lent slots, being every dealer."""
    pool = Pool('south-tas', lends=True)
    pool.on_state(folded(size))
    admission = Admission(pool, 1)
    mesh: Any = _NoPeers()
    loop = VirtualLoop()
    lending = Lending('vm', 'south-tas', pool, admission, mesh)
    loop.run_until_complete(_check_once(lending))
    cost = loop.run_until_complete(_time_checks(lending))
    loop.close()
    return [
        Reading(
            what='look after lent slots once',
            size=size,
            figure=cost,
            unit='us',
        ),
    ]


async def _check_once(lending: Lending) -> None:
    lending.check()
    await asyncio.sleep(0)


async def _time_checks(lending: Lending) -> float:
    return time_us(lending.check, CHECKS_PER_S)


def measure_claims() -> list[Reading]:
    """Measure a key range's table."""
    table = ClaimTable()
    tracemalloc.start()
    start = time.perf_counter()
    for number in range(_KEYS):
        key = f'kiosk/{number:016x}'
        table.claim(0, key, _DIGEST, 'c')
        table.confirm(0, key, 'c')
    took = time.perf_counter() - start
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Reading(
            what='claim one key (traced)',
            size=_KEYS,
            figure=took / _KEYS * MICRO,
            unit='us',
        ),
        Reading(
            what='memory of one key',
            size=_KEYS,
            figure=held / _KEYS,
            unit='bytes',
        ),
    ]


def measure_decision(size: int) -> list[Reading]:
    """Measure one choice and one dealing at a service of ``size`` endpoints."""
    pool = Pool('south-tas')
    record = {'id': 'r', 'kind': 'ticket', 'body': _one_service(size)}
    entry = LogRecord(offset=0, time_ms=0, record=record)
    pool.on_state(fold_record(ControlState(), entry)[0])
    endpoints = pool.endpoints('s')
    rng = random.Random(1)
    dealer = Dealer('s', learning_until=0)
    dealer.adjust_slots({each.name: 4 for each in endpoints}, 0)
    dealer.adjust_members([f'vm-{number}' for number in range(15)], 0)
    want = SlotWant(service='s', lanes={'kiosk': 1}, served={}, waited_ms=0)
    return [
        Reading(
            what='choose an endpoint',
            size=size,
            figure=time_us(
                lambda: choose(
                    LeastInFlight(),
                    pool.free(endpoints, Reach()),
                    rng,
                ),
            ),
            unit='us',
        ),
        Reading(
            what='deal on a want',
            size=size,
            figure=time_us(lambda: dealer.on_want('vm-1', want, 1)),
            unit='us',
        ),
    ]


def _one_service(size: int) -> dict[str, Any]:
    ticket = backend_ticket(1, 0, size)
    for item in ticket['objects']:
        if item['kind'] == 'backend':
            item['state']['service'] = 's'
    ticket['objects'].append({'kind': 'service', 'name': 's', 'state': {}})
    return ticket


def measure_all() -> list[Reading]:
    """Take every reading."""
    readings: list[Reading] = []
    for size in SIZES:
        readings.extend(measure_control(size))
        readings.extend(measure_memory(size))
        readings.extend(measure_lending(size))
    for size in SERVICE_SIZES:
        readings.extend(measure_decision(size))
    readings.extend(measure_claims())
    readings.extend(measure_messages())
    return readings
