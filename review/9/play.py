"""Endpoints crash while they run look-ups of one path; who is served after?"""

import asyncio
import collections
import pathlib
import random
import socket
import struct
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import small  # noqa: E402

MACHINES = 18
ENDPOINTS = 5  # of the small service, all in one zone
ZONES = {
    'hobart-a': 'south-tas',
    'hobart-b': 'south-tas',
    'launceston-a': 'north-tas',
    'launceston-b': 'north-tas',
}
DOWN_S = 4.5
CRASH_S = 2.0
JUDGED_S = (16.0, 46.0)  # all endpoints are back since 9.5 s
BOARDS_S = 10.0  # look-ups of the one path, a second and machine
LOOKS_S = 8.0  # other look-ups, each of a path of its own
WORK_S = 0.07


class Crashing(small.Endpoint):
    """An endpoint that can crash, and start again with a new id."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.work_s = WORK_S
        self.writers = set()
        self.slots = asyncio.Semaphore(4)  # its capacity

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().handle(reader, writer)
        finally:
            self.writers.discard(writer)

    async def run(self, req, writer):
        async with self.slots:
            await super().run(req, writer)

    def crash(self):
        """End as a process does that is killed."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


async def play(trouble, record, folder, started):
    rng = random.Random()
    store = small.Store()
    await store.start()
    store.put('keyed.op', 'config', small.config(
        1,
        {
            'r-board': small.route('safe', '/board/', 'pulse'),
            'r-look': small.route('safe', '/look/', 'stockd'),
        },
        ['pulse', 'stockd'],
    ))
    boards = []
    for number in range(ENDPOINTS):
        endpoint = Crashing(
            store, record, 'pulse', f'i-{number}',
            zone='hobart-a',
        )
        endpoint.record = Quiet()
        await endpoint.start()
        boards.append(endpoint)
    for number in range(12):
        other = small.Endpoint(
            store, Quiet(), 'stockd', f's-{number}',
            zone=sorted(ZONES)[number % len(ZONES)],
        )
        await other.start()
    for number, ip in enumerate(small.loopback(MACHINES)):
        gateway = small.Gateway(
            folder, record, store.address, f'front-{number}', ip,
            zone=sorted(ZONES)[number % len(ZONES)], zones=ZONES,
        )
        started.append(gateway)
        gateway.start()
    for gateway in started:
        await gateway.wait_ready()
    await asyncio.sleep(small.STABLE_S + 1)
    begun = time.monotonic()
    seen = collections.defaultdict(collections.Counter)
    sent = 0

    async def ask(gateway, kind):
        nonlocal sent
        sent += 1
        path = '/board/1' if kind == 'board' else f'/look/{sent}'
        at = time.monotonic() - begun
        fields = [
            ('Request-Id', f'{kind}-{sent}'), ('Request-Deadline-Ms', 1000)
        ]
        try:
            answer = await small.call_host(
                gateway.front, 'GET', path, fields
            )
            status = answer.status
        except (OSError, asyncio.IncompleteReadError) as exc:
            status = type(exc).__name__
        if JUDGED_S[0] <= at < JUDGED_S[1]:
            seen[kind][status] += 1
            seen[gateway.name][f'{kind} {status}'] += 1
        else:
            seen['before'][f'{kind} {status}'] += 1

    async def requesters(gateway, rate, kind):
        tasks = set()
        while time.monotonic() < begun + JUDGED_S[1]:
            await asyncio.sleep(rng.expovariate(rate))
            task = asyncio.create_task(ask(gateway, kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def crash():
        await asyncio.sleep(begun + CRASH_S - time.monotonic())
        for endpoint in boards:
            record.add(
                'crash of', endpoint.name, 'with', endpoint.running, 'running'
            )
            endpoint.crash()
        await asyncio.sleep(DOWN_S)
        for number, endpoint in enumerate(boards):
            store.drop('keyed.servers', endpoint.name)
            again = Crashing(
                store, Quiet(), 'pulse', f'{endpoint.name}n', zone='hobart-a'
            )
            await again.start()
            boards[number] = again
        record.add('they are back')

    plays = [crash()] if trouble else []
    for gateway in started:
        plays.append(requesters(gateway, BOARDS_S, 'board'))
        plays.append(requesters(gateway, LOOKS_S, 'look'))
    await asyncio.gather(*plays)
    for name, counts in sorted(seen.items()):
        record.add(name, dict(counts))
    share = {
        kind: seen[kind][200] / seen[kind].total() for kind in ('board', 'look')
    }
    both = sum(seen[kind][200] for kind in share) / sum(
        seen[kind].total() for kind in share
    )
    record.add('served:', share, 'of all:', both)
    if share['look'] < 0.9:
        raise small.CannotRun('the other look-ups are not served')
    return share['board'] >= both / 4


class Quiet:
    def add(self, *words):
        pass


small.run_case(FOLDER, play, limit_s=115)
