"""Look-ups sent behind a payment arrive in pieces; what becomes of it?"""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import small  # noqa: E402

ROUNDS = 8
LOOK_UPS = 8
COOKIE_BYTES = 2300  # a head of about 2.5 KB; 16,384 are allowed
PIECE_S = 0.03  # between two pieces on the link
WORK_S = 0.5


def look_up(number, turn):
    fields = [
        ('Request-Id', f'look-{number}-{turn}'),
        ('Request-Deadline-Ms', 1500),
        ('Cookie', 'c' * COOKIE_BYTES),
    ]
    return small.request('GET', f'/look/{number}/{turn}', fields)


async def play_round(number, trouble, gateway, record):
    """Return the ids whose answers came whole."""
    ip, _, port = gateway.front.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    answered = []
    # A request and its answer: the connection is a kept one from here on.
    writer.write(look_up(number, 0))
    first = await small.read_message(reader)
    answered.append(first.get('request-id'))
    fields = [
        ('Request-Id', f'pay-{number}'),
        ('Request-Deadline-Ms', 2000),
    ]
    writer.write(small.request('POST', f'/pay/{number}', fields, b'p' * 200))
    await asyncio.sleep(0.1)
    heads = [look_up(number, turn) for turn in range(1, LOOK_UPS + 1)]
    whole = b''.join(heads)
    # The link delivers three pieces. Without trouble they end where a request
    # ends, with it they end within one, as TCP may cut them anywhere.
    cuts = [len(heads[0]), len(whole) - len(heads[-1])]
    if trouble:
        cuts = [len(heads[0]) - 1000, len(whole) - 1000]
    pieces = [whole[: cuts[0]], whole[cuts[0] : cuts[1]], whole[cuts[1] :]]
    record.add('send', f'pay-{number}', 'then', LOOK_UPS, 'look-ups in pieces',
               [len(piece) for piece in pieces])
    closed = 'kept open'
    with contextlib.suppress(ConnectionError):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PIECE_S)
    try:
        async with asyncio.timeout(4):
            while len(answered) < LOOK_UPS + 2:
                answer = await small.read_message(reader)
                record.add('answer', answer.status, answer.get('request-id'))
                answered.append(answer.get('request-id'))
    except (ConnectionError, asyncio.IncompleteReadError) as exc:
        closed = f'closed by the gateway ({type(exc).__name__})'
    except TimeoutError:
        closed = 'no answer in 4 s'
    record.add('round', number, closed, 'answered', len(answered))
    writer.close()
    return answered, closed.startswith('closed')


async def play(trouble, record, folder, started):
    store = small.Store()
    await store.start()
    store.put('keyed.op', 'config', small.config(
        1,
        {
            'r-look': small.route('safe', '/look/', 'stockd'),
            'r-pay': small.route('unsafe', '/pay/', 'payvend'),
        },
        ['stockd', 'payvend'],
    ))
    endpoints = []
    for number in range(6):
        service = ('stockd', 'payvend')[number % 2]
        endpoint = small.Endpoint(store, record, service, f'i-{number}')
        endpoint.work_s = 0.05 if service == 'stockd' else WORK_S
        await endpoint.start()
        endpoints.append(endpoint)
    for number, ip in enumerate(small.loopback(2)):
        gateway = small.Gateway(
            folder, record, store.address, f'front-{number}', ip
        )
        started.append(gateway)
        gateway.start()
    for gateway in started:
        await gateway.wait_ready()
    await asyncio.sleep(small.STABLE_S + 1)  # in touch from here on
    lost = []
    for number in range(ROUNDS):
        answered, closed = await play_round(
            number, trouble, started[0], record
        )
        await asyncio.sleep(0.3)
        ran = {
            req.get('request-id')
            for endpoint in endpoints
            for _, req in endpoint.runs
            if req.get('request-id').split('-')[1] == str(number)
        }
        if f'pay-{number}' not in ran:
            raise small.CannotRun(f'pay-{number} did not reach an endpoint')
        if closed:
            lost.extend(sorted(ran - set(answered)))
    record.add('passed on, connection closed without an answer:', *lost)
    return len(lost) <= 3


small.run_case(FOLDER, play)
