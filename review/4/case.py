"""Gateways that are in touch act on an old config while others are cut off."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    CONFIG_APPLY_S,
    REGIONS,
    config,
    read_body,
    read_head,
    request_head,
    route,
    run_case,
)

HOST = 'shop.example'
GATEWAYS = 3  # in each zone
POLLED_S = 0.6  # of the 2 s that each call waits
LONG_POLL = 'GET /v1/log-read?topic=keyed.op'
ROUNDS = 1
TURNED_AWAY_S = 6.0
CALM_S = 8.0  # after it; stableWindowMs is 4 s


async def send(deployment, gateway, number: int, sent: dict) -> None:
    """Send one request on a new connection and record its answer."""
    record = deployment.record
    request_id = f'pay-{number}'
    body = b'x' * 300
    head = request_head(
        'POST', HOST, f'/pay/{number}', request_id, 2000, len(body)
    )
    sent[request_id] = (record.now(), gateway.name)
    record.line(f'sent {request_id} to {gateway.name}')
    host, port = gateway.address.split(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as exc:
        record.line(f'not connected {request_id}: {exc!r}')
        return
    try:
        writer.write(head + body)
        answer = await read_head(reader)
        text = await read_body(reader, answer)
        record.line(
            f'answered {request_id}: {answer.first}, '
            f'body of {text.split(b" ")[0].decode()!r}'
        )
    except (OSError, asyncio.IncompleteReadError) as exc:
        record.line(f'not answered {request_id}: {exc!r}')
    finally:
        writer.close()


def polls(store) -> dict:
    """Return who waits for configs at the store, and for how long."""
    now = time.monotonic()
    return {
        caller: now - at_s
        for (caller, first), at_s in store.asked.items()
        if first.startswith(LONG_POLL) and now - at_s < 2.2
    }


async def wait_polled(store, count: int) -> list:
    """Wait until the readers have just asked; return their names, if so."""
    until_s = time.monotonic() + 6
    while time.monotonic() < until_s:
        found = polls(store)
        if len(found) == count and max(found.values()) < POLLED_S:
            return sorted(found)
        await asyncio.sleep(0.02)
    return []


async def case(deployment, trouble: bool) -> bool:
    for number in range(4):
        zone = sorted(REGIONS)[number]
        deployment.add(f'i-old-{number}', 'payvend', zone=zone)
        deployment.add(f'i-new-{number}', 'payvend2', zone=zone)
    first = {
        'r-pay': route(HOST, '/pay/', 'unsafe', 'payvend'),
        'r-new': route(HOST, '/new/', 'unsafe', 'payvend2'),
    }
    await deployment.start(
        config(first), gateways=GATEWAYS, zones=tuple(sorted(REGIONS))
    )
    record = deployment.record
    store = deployment.store
    sent: dict = {}
    tasks = []
    ended = asyncio.Event()

    async def traffic() -> None:
        number = 0
        while not ended.is_set():
            for gateway in deployment.gateways:
                number += 1
                tasks.append(
                    asyncio.create_task(
                        send(deployment, gateway, number, sent)
                    )
                )
            await asyncio.sleep(0.1)

    sender = asyncio.create_task(traffic())
    broken = 0
    version = 7
    routes = first
    for round_number in range(ROUNDS):
        old = ('payvend', 'payvend2')[round_number % 2]
        new = ('payvend2', 'payvend')[round_number % 2]
        cut = []
        for _ in range(4):
            # A change that all see; from then on all readers ask in step.
            version += 1
            store.put(
                'keyed.op', 'config', {**config(routes), 'version': version}
            )
            record.line(f'ack of version {version}: as before')
            await asyncio.sleep(CALM_S)
            cut = await wait_polled(store, len(REGIONS))
            if cut:
                break
            record.line(f'the readers do not ask in step: {polls(store)}')
        if not cut:
            raise RuntimeError('the readers never asked in step')
        record.line(f'read the store last: {cut}')
        if trouble:
            store.turned_away.update(cut)
            record.line(f'the store turns away, without a response: {cut}')
        await asyncio.sleep(0.05)
        routes = {
            **first,
            'r-pay': route(HOST, '/pay/', 'unsafe', new),
        }
        version += 1
        store.put('keyed.op', 'config', {**config(routes), 'version': version})
        acked_s = record.now()
        record.line(f'ack of version {version}: /pay/ goes to {new}')
        await asyncio.sleep(TURNED_AWAY_S)
        store.turned_away.clear()
        record.line('the store serves all again')
        for endpoint in deployment.endpoints.values():
            if endpoint.service != old:
                continue
            for at_s, request_id, _ in endpoint.runs:
                sent_s, gateway = sent[request_id]
                late_s = sent_s - acked_s
                if gateway in cut and trouble:
                    continue
                if late_s > CONFIG_APPLY_S:
                    broken += 1
                    record.line(
                        f'CONFIG: {request_id}, sent to {gateway}'
                        f' {late_s:.3f} s after the ack, ran at'
                        f' {endpoint.name} ({old})'
                    )
    ended.set()
    await sender
    await asyncio.gather(*tasks)
    record.say(
        f'{broken} of {len(sent)} requests ran at the old service, sent more'
        f' than {CONFIG_APPLY_S} s after the ack to gateways in touch'
    )
    return not broken


run_case(HERE, case)
