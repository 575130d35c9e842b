"""Stand-ins of the platform, its endpoints and its requesters for the cases.

They follow the users' pages: the store keeps keyed topics on a log, endpoints
register there and serve one request at a time on a connection, requesters send
HTTP/1.1. The gateways are the project's own processes.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
if not (ROOT / 'deploy').is_dir():  # a copy under target/
    ROOT = pathlib.Path(os.environ['REVIEW_ROOT'])
REGIONS = {
    'split-a': 'dalmacija',
    'split-b': 'dalmacija',
    'zagreb-a': 'kontinent',
    'zagreb-b': 'kontinent',
}
HOST = 'hulo84.example'
SILENCE_S = 4.5  # three liveness intervals of 1.5 s
STABLE_S = 4.0  # stableWindowMs
RESET = struct.pack('ii', 1, 0)


class Record:
    """Write what was sent, answered and run."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.began_s

    def add(self, event, **fields):
        fields = {'at': round(self.now(), 4), 'event': event, **fields}
        self.file.write(json.dumps(fields) + '\n')


async def read_head(reader):
    """Return the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw[:-4].split(b'\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode()] = value.strip().decode('latin-1')
    return lines[0].decode('latin-1'), headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        parts = []
        while True:
            line = await reader.readline()
            if not line:
                raise asyncio.IncompleteReadError(b'', None)
            size = int(line.split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def render(first, headers, body=b''):
    """Encode a message with its length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Topic:
    """A topic of the store; a keyed one if its records have keys."""

    def __init__(self):
        self.records = []
        self.newest = {}

    def put(self, key, value):
        name = key.encode()
        self.append(bytes([len(name)]) + name + value)

    def append(self, record):
        key = record[1 : 1 + record[0]].decode('utf-8', 'replace')
        value = record[1 + record[0] :]
        offset = len(self.records)
        self.records.append(record)
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)


class Store:
    """The platform's store: a log with keyed topics."""

    def __init__(self):
        self.topics = {}
        self.address = ''
        self._changed = asyncio.Event()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        self.topic(topic).put(key, value)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, host, port):
        self.address = f'{host}:{port}'
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                status, kind, payload = await self._respond(
                    method, target, body
                )
                await asyncio.sleep(0.004)
                writer.write(
                    render(
                        f'HTTP/1.1 {status} X',
                        [('Content-Type', kind), ('Store-Era', '0')],
                        payload,
                    )
                )
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass  # the connection or the case has ended
        finally:
            writer.close()

    async def _respond(self, method, target, body):
        path, _, query = target.partition('?')
        args = dict(pair.split('=', 1) for pair in query.split('&') if pair)
        topic = self.topic(args.get('topic', ''))
        kind = 'application/json'
        if path == '/v1/log-append' and method == 'POST':
            if args['topic'] in ('keyed.op', 'keyed.servers'):
                return 403, kind, b'{}'
            pos, first = 0, len(topic.records)
            while pos < len(body):
                size = struct.unpack_from('>I', body, pos)[0]
                record = body[pos + 4 : pos + 4 + size]
                if args['topic'].startswith('keyed.'):
                    topic.append(record)
                else:
                    topic.records.append(record)
                pos += 4 + size
            self._wake()
            return (
                200,
                kind,
                json.dumps(
                    {'offset': first, 'end': len(topic.records)}
                ).encode(),
            )
        if path == '/v1/log-read':
            start = int(args['from'])
            until = time.monotonic() + int(args.get('waitMs', 0)) / 1000
            if start > len(topic.records):
                return 410, kind, b'{"first":0}'
            while start == len(topic.records) and time.monotonic() < until:
                try:
                    async with asyncio.timeout(
                        max(0.001, until - time.monotonic())
                    ):
                        await self._changed.wait()
                except TimeoutError:
                    break
            found = topic.records[start:]
            raw = struct.pack('>QQ', len(topic.records), 0)
            return (
                200,
                'application/octet-stream',
                raw
                + b''.join(
                    struct.pack('>I', len(each)) + each for each in found
                ),
            )
        if path == '/v1/log-newest':
            after = args.get('after', '')
            keys = [key for key in sorted(topic.newest) if key > after]
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(topic.newest[key][0]).decode(),
                    'offset': topic.newest[key][1],
                }
                for key in keys[:500]
            ]
            return (
                200,
                kind,
                json.dumps(
                    {
                        'items': items,
                        'hasMore': len(keys) > 500,
                        'end': len(topic.records),
                    }
                ).encode(),
            )
        return 404, kind, b'{}'


class Endpoint:
    """One endpoint: 4 slots, a short queue, load in its answers."""

    def __init__(self, play, service, zone, host, port, work_s, slots=4):
        self.play, self.service, self.zone = play, service, zone
        self.host, self.port, self.work_s, self.slots = (
            host,
            port,
            work_s,
            slots,
        )
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.writers = set()
        self.down = False
        self.boots = 0

    async def start(self):
        self.boots += 1
        self.name = f'i-{random.getrandbits(40):010x}'
        self.born = round(time.time() * 1000)
        self.down = False
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.register()

    def register(self, state='ready'):
        entry = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.slots,
            'state': state,
            'warmupLeftMs': 0,
            'seq': 1,
            'born': self.born,
        }
        self.play.store.put(
            'keyed.servers', self.name, json.dumps(entry).encode()
        )

    def crash(self, back_s):
        """End at once: connections are reset, the address refuses, the entry goes after silence."""
        if self.down:
            return
        self.down = True
        name = self.name
        cut = self.running + self.waiting
        self.play.record.add(
            'endpoint crashes', endpoint=name, service=self.service, at_work=cut
        )
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info('socket')
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        self.writers.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(
            SILENCE_S, self.play.store.put, 'keyed.servers', name, b''
        )
        loop.call_later(back_s, lambda: self.play.spawn(self.start()))

    def _headers(self, request_id=None):
        found = [('Server-Load', f'{self.running},{self.waiting},{self.slots}')]
        if request_id:
            found.append(('Request-Id', request_id))
        return found

    async def _serve(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        boot = self.boots
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.down or boot != self.boots:
                    return
                method, target, _ = line.split(' ')
                if target == '/health':
                    writer.write(
                        render(
                            'HTTP/1.1 200 OK',
                            [('Instance-Id', self.name), *self._headers()],
                        )
                    )
                    continue
                if not await self._answer(
                    reader, writer, method, target, headers, body
                ):
                    return
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass  # the connection or the case has ended
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, reader, writer, method, target, headers, body):
        rid = headers.get('request-id', '')
        record = self.play.record
        if headers.get('target-instance', self.name) != self.name:
            writer.write(
                render(
                    'HTTP/1.1 421 X',
                    [('Instance-Id', self.name), ('Request-Id', rid)],
                )
            )
            return True
        due = (
            time.monotonic()
            + int(headers.get('request-deadline-ms', 10000)) / 1000
        )
        if self.running >= self.slots and self.waiting >= 2 * self.slots:
            writer.write(
                render(
                    'HTTP/1.1 503 X',
                    [('Not-Executed', '1'), *self._headers(rid)],
                )
            )
            return True
        left = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        try:
            async with asyncio.timeout(max(0.001, due - time.monotonic())):
                await self.free.acquire()
        except TimeoutError:
            left.cancel()
            writer.write(
                render(
                    'HTTP/1.1 503 X',
                    [('Not-Executed', '1'), *self._headers(rid)],
                )
            )
            return True
        finally:
            self.waiting -= 1
        boot = self.boots
        self.running += 1
        try:
            if self.down or left.done():
                return False
            record.add(
                'run',
                id=rid,
                endpoint=self.name,
                target=target,
                tenant=headers.get('tenant', ''),
            )
            if not await self.play.on_run(
                self, writer, rid, target, headers, body
            ):
                return False
            done, _ = await asyncio.wait(
                {left}, timeout=self.work_s * random.uniform(0.7, 1.3)
            )
            if done or self.down or boot != self.boots:
                return False
        finally:
            self.running -= 1
            self.free.release()
            left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        signature = [
            ('Server-Signature', f'{self.name}.{rid}'),
            *self._headers(rid),
        ]
        writer.write(render('HTTP/1.1 200 OK', signature, b'r' * 400))
        record.add('answered by endpoint', id=rid, endpoint=self.name)
        return True


class Gateway:
    """One gateway process of the project."""

    def __init__(self, play, number, zone, host, ports):
        self.play, self.zone, self.host, self.ports = play, zone, host, ports
        self.vm = f'front-{zone}-{number}'
        self.process = None
        self.first = True

    def settings(self):
        found = {
            'vm': self.vm,
            'region': REGIONS[self.zone],
            'failure_domain': self.zone,
            'regions': REGIONS,
            'caller_address': f'{self.host}:{self.ports[0]}',
            'ready_address': f'{self.host}:{self.ports[1]}',
            'directory_address': f'{self.host}:{self.ports[2]}',
            'fleet_address': f'{self.host}:{self.ports[3]}',
            'metrics_address': f'{self.host}:{self.ports[4]}',
            'stop_grace_s': 6,
            'configuration_limit_ms': 2500,
            'first_start': self.first,
            'store_address': self.play.store.address,
            'retries': {'ratio': 0.2, 'slack': 56, 'window_s': 10},
        }
        found.update(self.play.more_settings)
        return found

    async def start(self):
        path = self.play.folder / f'{self.vm}.json'
        path.write_text(json.dumps(self.settings()))
        self.first = False
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['WAGTAILFORK_BOOT'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        log = open(self.play.folder / f'{self.vm}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *'python3 -P -m wagtailfork gateway'.split(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, signum):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def is_ready(self):
        try:
            status, _, _ = await fetch(
                self.host,
                self.ports[1],
                b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n',
                1,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


async def fetch(host, port, raw, limit_s):
    """Send one request on a new connection; return status, headers and body."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(raw)
            line, headers = await read_head(reader)
            return (
                int(line.split(' ')[1]),
                headers,
                await read_body(reader, headers),
            )
        finally:
            writer.close()


def free_ports(hosts, count):
    """Return ports that are free on all these loopback addresses."""
    found = []
    for port in random.sample(range(20000, 32000), 4000):
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError('no free ports')


class Play:
    """A small deployment: 12 gateways in 4 zones, endpoints, a store."""

    def __init__(
        self, folder, services, routes, tenants=None, gateways_per_zone=3
    ):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(folder / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.services, self.routes, self.tenants = services, routes, tenants
        self.per_zone = gateways_per_zone
        self.more_settings = {}
        self.store = Store()
        self.endpoints, self.gateways, self.tasks = [], [], set()
        self.version = 0

    async def on_run(self, endpoint, writer, rid, target, headers, body):
        """Return whether the endpoint goes on with a request that it began."""
        return True

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def put_config(self):
        self.version += 1
        document = {
            'version': self.version,
            'routes': self.routes,
            'services': {
                name: {'healthPath': '/health', 'maxConns': 220}
                for name in self.services
            },
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        if self.tenants is not None:
            document['tenants'] = self.tenants
        self.store.put('keyed.op', 'config', json.dumps(document).encode())

    async def start(self):
        zones = list(REGIONS)
        hosts = [
            f'127.{10 + z}.0.{1 + n}'
            for z in range(4)
            for n in range(self.per_zone)
        ]
        others = ['127.20.0.1', '127.30.0.1']
        ports = free_ports([*hosts, *others], 6)
        await self.store.start(others[0], ports[5])
        self.put_config()
        for place, (service, (count, work_s)) in enumerate(
            self.services.items()
        ):
            for number in range(count):
                host = f'127.{40 + place}.0.{1 + number}'
                one = Endpoint(
                    self,
                    service,
                    zones[number % 4],
                    host,
                    free_ports([host], 1)[0],
                    work_s,
                )
                self.endpoints.append(one)
                await one.start()
        for z, zone in enumerate(zones):
            for number in range(self.per_zone):
                self.gateways.append(
                    Gateway(
                        self,
                        number + 1,
                        zone,
                        f'127.{10 + z}.0.{1 + number}',
                        ports[:5],
                    )
                )
        await asyncio.gather(*(one.start() for one in self.gateways))
        await self.until_ready(30)
        await asyncio.sleep(STABLE_S)

    async def until_ready(self, limit_s):
        async with asyncio.timeout(limit_s):
            while not all(
                await asyncio.gather(*(one.is_ready() for one in self.gateways))
            ):
                await asyncio.sleep(0.1)

    async def ask(
        self, gateway, method, path, deadline_ms, body=b'', key='', **fields
    ):
        """Send one request of a requester; return the status, 0 if none came."""
        rid = f'{random.getrandbits(64):016x}'
        headers = [
            ('Host', HOST),
            ('Request-Id', rid),
            ('Request-Deadline-Ms', deadline_ms),
        ]
        if key:
            headers.append(('X-Api-Key', key))
        self.record.add(
            'sent',
            id=rid,
            machine=gateway.vm,
            method=method,
            path=path,
            **fields,
        )
        raw = render(f'{method} {path} HTTP/1.1', headers, body)
        status, signed = 0, False
        try:
            status, found, _ = await fetch(
                gateway.host, gateway.ports[0], raw, deadline_ms / 1000 + 0.5
            )
            signed = 'server-signature' in found
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.record.add('no answer', id=rid, why=repr(exc))
        self.record.add('answer', id=rid, status=status, signed=signed)
        return status

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for one in self.gateways:
            one.signal(signal.SIGCONT)
            one.signal(signal.SIGKILL)
        for one in self.gateways:
            if one.process is not None:
                await one.process.wait()
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(prefix, kind, service, timeout_ms, objective_ms, rank):
    """Return a route of the small site."""
    return {
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': objective_ms,
        'priority': rank,
        'service': service,
        'maxAttempts': 2,
    }


STOCK_CHECK = make_route('/stock/', 'safe', 'zaliha', 1500, 400, 2)
REFILL_ORDER = make_route('/refill/', 'unsafe', 'narudzba', 1200, 500, 1)
MOTIF_UPLOAD = make_route('/motif/', 'upload', 'motivi', 2000, 800, 1)


class CrashingRequest(Play):
    """A request that crashes each endpoint that begins to run it comes again."""

    crash_after_s = 0.05
    back_s = 3.0
    comes_each_s = 1.5
    length_s = 45.0

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.crashes_s, self.arrivals_s, self.cut = [], [], 0
        self.statuses = {}  # of answers to others

    async def fall_over(self, endpoint):
        """Crash an endpoint a little later."""
        await asyncio.sleep(self.crash_after_s)
        if not endpoint.down:
            self.crashes_s.append(self.record.now())
            self.cut += endpoint.running + endpoint.waiting - 1
            endpoint.crash(self.back_s)

    async def usual(self, per_s, method, path, deadline_ms, body=b'', key=''):
        """Send the requests of others at any gateway."""
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            self.spawn(self.ask_usual(method, path, deadline_ms, body, key))

    async def ask_usual(self, method, path, deadline_ms, body, key):
        gateway = random.choice(self.gateways)
        raw = body() if callable(body) else body
        status = await self.ask(gateway, method, path, deadline_ms, raw, key)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def come(self, send, length_s=None):
        """Let the request come again and again, at any gateway."""
        end_s = self.record.now() + (length_s or self.length_s)
        while self.record.now() < end_s:
            await send(random.choice(self.gateways))
            await asyncio.sleep(self.comes_each_s)

    def judge(self):
        """Return whether the rule was broken, and the figures."""
        late = []
        if len(self.crashes_s) >= 3:
            from_s = self.crashes_s[2] + STABLE_S
            late = [at_s for at_s in self.arrivals_s if at_s > from_s]
        why = (
            f'{len(self.crashes_s)} endpoints crashed; of'
            f' {len(self.arrivals_s)} arrivals {len(late)} were later than 4 s'
            f' after the third crash (3 allowed); {self.cut} requests of others'
            f' were cut; answers to others: {self.statuses}'
        )
        self.record.add('verdict', why=why)
        return len(late) > 3, why


def run_case(play_type, folder):
    """Run one case; exit with 1 if the rule was broken, 0 if held, else 2."""

    async def run():
        play = play_type(pathlib.Path(folder))
        try:
            async with asyncio.timeout(112):
                await play.start()
                return await play.run()
        finally:
            await play.stop()

    try:
        broken, why = asyncio.run(run())
    except Exception as exc:  # the case could not run
        print(f'could not run: {exc!r}', file=sys.stderr)
        sys.exit(2)
    print(('BROKEN: ' if broken else 'held: ') + why)
    sys.exit(1 if broken else 0)
