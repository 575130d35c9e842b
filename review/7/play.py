"""A service's endpoints start, machines restart, then a config names it."""

import asyncio
import collections
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import small  # noqa: E402

ZONES = {'hobart-a': 'south-tas', 'hobart-b': 'south-tas'}
CONFIG_APPLY_S = 2.5
REQUESTS = 160  # on each of the two routes
SPREAD_S = 16.0  # over which they are sent


async def ask(gateway, kind, number):
    name = f'{kind}-{number}'
    fields = [('Request-Id', name), ('Request-Deadline-Ms', 1500)]
    try:
        answer = await small.call_host(
            gateway.front, 'GET', f'/{kind}/{number}', fields
        )
    except (OSError, asyncio.IncompleteReadError) as exc:
        return type(exc).__name__
    return answer.status


async def roll(gateways, record):
    """Stop and start the machines in turn, one at a time."""
    for gateway in gateways:
        gateway.send_signal(signal.SIGTERM)
        until = time.monotonic() + small.BOUNDS['graceS']
        while gateway.running and time.monotonic() < until:
            await asyncio.sleep(0.05)
        gateway.end()
        gateway.start()
        await gateway.wait_ready()


async def play(trouble, record, folder, started):
    store = small.Store()
    await store.start()
    routes = {'r-first': small.route('safe', '/first/', 'stockd')}
    store.put('keyed.op', 'config', small.config(1, routes, ['stockd']))
    for number in range(4):
        zone = sorted(ZONES)[number % 2]
        await small.Endpoint(
            store, record, 'stockd', f'i-{number}', zone=zone
        ).start()
    for number, ip in enumerate(small.loopback(4)):
        gateway = small.Gateway(
            folder, record, store.address, f'front-{number}', ip,
            zone=sorted(ZONES)[number % 2], zones=ZONES,
        )
        started.append(gateway)
        gateway.start()
    for gateway in started:
        await gateway.wait_ready()
    await asyncio.sleep(2)
    # The endpoints of a new service start, and register themselves.
    for number in range(4, 8):
        zone = sorted(ZONES)[number % 2]
        await small.Endpoint(
            store, record, 'pulse', f'i-{number}', zone=zone
        ).start()
    record.add('the endpoints of the new service are registered')
    await asyncio.sleep(2)
    if trouble:
        await roll(started, record)
    await asyncio.sleep(small.STABLE_S + 1)  # in touch from here on
    routes['r-later'] = small.route('safe', '/later/', 'pulse')
    store.put(
        'keyed.op', 'config', small.config(2, routes, ['stockd', 'pulse'])
    )
    record.add('config 2 adds a route to the new service')
    await asyncio.sleep(CONFIG_APPLY_S + 2)
    seen = {'first': collections.Counter(), 'later': collections.Counter()}
    by_machine = collections.defaultdict(collections.Counter)
    for number in range(REQUESTS):
        gateway = started[number % len(started)]
        for kind, counts in seen.items():
            status = await ask(gateway, kind, number)
            counts[status] += 1
            by_machine[gateway.name][f'{kind} {status}'] += 1
        await asyncio.sleep(SPREAD_S / REQUESTS)
    for name, counts in sorted(by_machine.items()):
        record.add(name, dict(counts))
    served = {
        kind: counts[200] / counts.total() for kind, counts in seen.items()
    }
    record.add('served:', served)
    if served['first'] < 0.9:
        raise small.CannotRun('the first route is not served')
    return served['later'] >= served['first'] / 4


small.run_case(FOLDER, play)
