"""Stand-ins of the platform for the cases of the review.

Only the standard library is used. Each stand-in follows the users' pages; the
clients, the store and the endpoints share one event loop, and the gateways are
separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import functools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5  # platform.heartbeatMs
DRAIN_S = 2.5  # terms.bounds.drainMs
GRACE_S = 6.0  # terms.bounds.graceS
CONFIG_APPLY_S = 2.5  # terms.bounds.configApplyMs
REGIONS = {  # network.zones
    'z-a': 'south',
    'z-b': 'south',
    'z-c': 'north',
    'z-d': 'north',
}


_taken: set = set()


def free_port() -> int:
    """Return an unused loopback port that no outgoing connection gets."""
    for _ in range(1000):
        port = random.randrange(12000, 32000)
        if port in _taken:
            continue
        with socket.socket() as sock, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as datagrams:
            try:
                sock.bind(('127.0.0.1', port))
                datagrams.bind(('127.0.0.1', port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise RuntimeError('no free port')


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def now(self) -> float:
        return time.monotonic() - self.started_s

    def line(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        self.line(text)
        print(text, flush=True)


class Message:
    """Hold the head of an HTTP message."""

    def __init__(self, first: str, headers: dict) -> None:
        self.first = first
        self.headers = headers

    @property
    def size(self) -> int:
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader, begun: bytes = b'') -> Message:
    """Read the head of a message."""
    raw = begun + await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        key, _, text = line.partition(':')
        headers[key.strip().lower()] = text.strip()
    return Message(first, headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read a body with a length or in chunks."""
    if 'chunked' not in head.headers.get('transfer-encoding', ''):
        return await reader.readexactly(head.size)
    pieces = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return b''.join(pieces)
        pieces.append(piece[:-2])


class Store:
    """The platform's log: keyed topics, appends, reads with a wait."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topics: dict = {}
        self._newest: dict = {}
        self._changed = asyncio.Event()
        # Callers that get no response, and when each last asked for what.
        self.turned_away: set = set()
        self.asked: dict = {}

    async def listen(self, caller: str) -> str:
        """Return an address for one caller, to tell it from the others."""
        port = free_port()
        await asyncio.start_server(
            functools.partial(self._serve, caller), '127.0.0.1', port
        )
        return f'127.0.0.1:{port}'

    def put(self, topic: str, key: str, fields: dict | None) -> None:
        """Append a record to a keyed topic, as operator and endpoints do."""
        payload = b'' if fields is None else json.dumps(fields).encode()
        self._append(topic, bytes([len(key)]) + key.encode() + payload)

    def _append(self, topic: str, record: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        offset = len(records)
        records.append(record)
        if topic.startswith('keyed.'):
            end = 1 + record[0]
            key, payload = record[1:end].decode(), record[end:]
            newest = self._newest.setdefault(topic, {})
            newest.pop(key, None)
            if payload:
                newest[key] = (payload, offset)
        self._changed.set()
        self._changed = asyncio.Event()
        return offset

    async def _serve(self, caller: str, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self._wait_served(caller)
                self.asked[caller, head.first.split('&')[0]] = (
                    time.monotonic()
                )
                status, kind, payload = await self._answer(head, body)
                await self._wait_served(caller)
                writer.write(
                    f'HTTP/1.1 {status}\r\nContent-Type: {kind}\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(payload)}\r\n\r\n'
                    ''.encode() + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _wait_served(self, caller: str) -> None:
        """Give no response to a caller that is turned away."""
        while caller in self.turned_away:
            await asyncio.sleep(0.05)

    async def _answer(self, head: Message, body: bytes):
        method, target, _ = head.first.split(' ')
        path, _, query = target.partition('?')
        args = dict(part.split('=', 1) for part in query.split('&') if part)
        topic = args.get('topic', '')
        await asyncio.sleep(0.004)
        if path == '/v1/log-append':
            pos, offset = 0, len(self._topics.get(topic, []))
            while pos < len(body):
                size = struct.unpack_from('>I', body, pos)[0]
                self._append(topic, body[pos + 4 : pos + 4 + size])
                pos += 4 + size
            end = len(self._topics.get(topic, []))
            return '200 OK', 'application/json', json.dumps(
                {'offset': offset, 'end': end}
            ).encode()
        if path == '/v1/log-newest':
            rows = [
                {
                    'key': key,
                    'value': base64.b64encode(payload).decode(),
                    'offset': offset,
                }
                for key, (payload, offset) in self._newest.get(
                    topic, {}
                ).items()
            ]
            end = len(self._topics.get(topic, []))
            return '200 OK', 'application/json', json.dumps(
                {'items': rows, 'hasMore': False, 'end': end}
            ).encode()
        if path == '/v1/log-read':
            start = int(args['from'])
            until = time.monotonic() + int(args.get('waitMs', '0')) / 1000
            while len(self._topics.get(topic, [])) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            records = self._topics.get(topic, [])
            framed = b''.join(
                struct.pack('>I', len(one)) + one for one in records[start:]
            )
            return '200 OK', 'application/octet-stream', (
                struct.pack('>QQ', len(records), 0) + framed
            )
        return '404 Not Found', 'application/json', b'{}'


class Endpoint:
    """A server of one service: slots, a short queue, heartbeats, records."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        *,
        zone: str = 'z-a',
        slots: int = 4,
        queue: int = 8,
        work_s: float = 0.02,
        answer_bytes=200,  # or a function of the target
        extra: bytes = b'',  # sent after each complete answer
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.extra = extra
        self.state = 'ready'
        self.sequence = 0
        self.offset_s = HEARTBEAT_S
        self.born = round(time.time() * 1000)
        self.address = f'127.0.0.1:{free_port()}'
        self.running = 0
        self.waiting = 0
        # Each is (time, request id, path).
        self.arrivals: list = []
        self.runs: list = []
        self._slot = asyncio.Semaphore(slots)
        self._writers: set = set()

    async def start(self) -> None:
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port)
        )
        self._task = asyncio.create_task(self._heartbeats())

    def crash(self) -> None:
        """End as a killed process does: all its connections are reset."""
        self.record.line(f'{self.name} crashes, {self.running} running')
        self._task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        # The store removes the entry after three heartbeats of silence.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S,
            self.store.put,
            'keyed.servers',
            self.name,
            None,
        )

    def fields(self) -> dict:
        """Return the entry that this endpoint writes of itself."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.slots,
            'state': self.state,
            'warmupLeftMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    def write_entry(self) -> None:
        self.sequence += 1
        self.store.put('keyed.servers', self.name, self.fields())

    async def _heartbeats(self) -> None:
        self.write_entry()
        # Servers that start together do not go on in step.
        await asyncio.sleep(self.offset_s)
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _load(self) -> str:
        return f'Server-Load: {self.running},{self.waiting},{self.slots}\r\n'

    async def _serve(self, reader, writer) -> None:
        begun = b''
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader, begun)
                begun = await self._handle(head, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, head: Message, reader, writer) -> bytes:
        method, target, _ = head.first.split(' ')
        if target == '/health':
            writer.write(
                f'HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n'
                f'{self._load()}Content-Length: 0\r\n\r\n'.encode()
            )
            return b''
        request_id = head.headers.get('request-id', '')
        echo = f'Request-Id: {request_id}\r\n'
        self.arrivals.append((self.record.now(), request_id, target))
        self.record.line(f'reaches {self.name} ({self.service}): {request_id}')
        body = await read_body(reader, head)
        if head.headers.get('target-instance', self.name) != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\n{echo}'
                f'Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n'
                ''.encode()
            )
            return b''
        if self.waiting >= self.queue:
            writer.write(
                f'HTTP/1.1 503 Service Unavailable\r\n{echo}'
                f'Not-Executed: 1\r\n{self._load()}'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return b''
        return await self._run(request_id, target, len(body), reader, writer)

    async def _run(self, request_id, target, body_size, reader, writer) -> bytes:
        """Run a request; drop it if its connection closes."""
        watch = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._work(request_id, target, body_size))
        await asyncio.wait({watch, work}, return_when=asyncio.FIRST_COMPLETED)
        if watch.done() and not work.done() and not watch.result():
            work.cancel()
            self.record.line(f'dropped at {self.name}: {request_id}')
            raise ConnectionResetError
        await work
        size = self.answer_bytes
        if callable(size):
            size = size(target)
        body = (self.name.encode() + b' ').ljust(size, b'.')
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
            f'Server-Signature: {self.name}.1\r\n{self._load()}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body + self.extra
        )
        if not watch.done():
            watch.cancel()
            try:
                await watch
            except asyncio.CancelledError:
                return b''
        return watch.result()

    async def _work(self, request_id, target, size) -> None:
        self.waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((self.record.now(), request_id, target))
            self.record.line(
                f'runs at {self.name} ({self.service}): {request_id} {target}'
                f' with {size} bytes'
            )
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._slot.release()


class Gateway:
    """A process of the gateway, with the command of the deploy file."""

    def __init__(
        self, store_address: str, folder: pathlib.Path, name: str, zone: str
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = f'127.0.0.1:{free_port()}'
        self.ready_address = f'127.0.0.1:{free_port()}'
        settings = {
            'vm': name,
            'region': REGIONS[zone],
            'failure_domain': zone,
            'regions': REGIONS,
            'caller_address': self.address,
            'ready_address': self.ready_address,
            'directory_address': f'127.0.0.1:{free_port()}',
            'fleet_address': f'127.0.0.1:{free_port()}',
            'metrics_address': f'127.0.0.1:{free_port()}',
            'stop_grace_s': GRACE_S,
            'first_start': True,
            'store_address': store_address,
            'retries': {'ratio': 0.2, 'slack': 56, 'window_s': 10},
        }
        self._path = folder / f'{name}.json'
        self._path.write_text(json.dumps(settings))
        self._log = (folder / f'{name}.log').open('w')
        self.process = None

    def start(self) -> None:
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        command = re.search(r'^run = "(.*)"$', text, re.M)[1].split(' ')
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'WAGTAILFORK_BOOT': str(self._path),
        }
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    def last_lines(self) -> list:
        """Return the end of what the process has written."""
        return pathlib.Path(self._log.name).read_text().splitlines()[-3:]

    def signal(self, signum: int) -> None:
        self.process.send_signal(signum)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        host, port = self.ready_address.split(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            return ' 200 ' in f'{head.first} '
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Deployment:
    """A small deployment; ends every process that it started."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.endpoints: dict = {}
        self.gateways: list = []

    async def start(
        self, config: dict, gateways: int, zones: tuple = ('z-a',)
    ) -> None:
        """Start everything and wait until all gateways are ready.

        There are so many gateways in each zone.
        """
        self.store.put('keyed.op', 'config', config)
        for number, endpoint in enumerate(self.endpoints.values(), 1):
            endpoint.offset_s = HEARTBEAT_S * number / len(self.endpoints)
            await endpoint.start()
        for zone in zones:
            for number in range(gateways):
                name = f'front-{zone}-{number + 1}'
                address = await self.store.listen(name)
                gateway = Gateway(address, self.folder, name, zone)
                self.gateways.append(gateway)
                gateway.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            ready = [await one.is_ready() for one in self.gateways]
            if all(ready):
                self.record.line(f'{len(ready)} gateways are ready')
                await asyncio.sleep(4)  # stableWindowMs
                return
            await asyncio.sleep(0.1)
        for gateway in self.gateways:
            self.record.line(f'{gateway.name}: {gateway.last_lines()}')
        raise RuntimeError('the gateways did not become ready')

    def add(self, name: str, service: str, **options) -> Endpoint:
        endpoint = Endpoint(self.store, self.record, name, service, **options)
        self.endpoints[name] = endpoint
        return endpoint

    def end(self) -> None:
        for gateway in self.gateways:
            gateway.end()


def route(host: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of a config."""
    return {
        'host': host,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': 2000,
        'targetLatencyMs': 500,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        **more,
    }


def config(routes: dict) -> dict:
    """Return a config with the limits that the pages show."""
    services = sorted({one['service'] for one in routes.values()})
    return {
        'version': 7,
        'routes': routes,
        'services': {
            name: {'healthPath': '/health', 'maxConns': 220}
            for name in services
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def request_head(
    method: str,
    host: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    size: int | None = None,
) -> bytes:
    """Return the head of a client's request."""
    length = '' if size is None else f'Content-Length: {size}\r\n'
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Request-Id: {request_id}\r\n'
        f'Request-Deadline-Ms: {deadline_ms}\r\n{length}\r\n'
    ).encode()


def run_case(folder: pathlib.Path, case) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    ``case`` takes a deployment and whether there is a disruption, and returns
    whether the rule held.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.line(f'TROUBLE={int(trouble)}')

    async def main() -> bool:
        with tempfile.TemporaryDirectory() as name:
            deployment = Deployment(pathlib.Path(name), record)
            try:
                async with asyncio.timeout(110):
                    return await case(deployment, trouble)
            finally:
                deployment.end()

    def on_term(_number, _frame) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_term)
    try:
        held = asyncio.run(main())
    except BaseException as exc:  # the case could not run
        record.say(f'the case could not run: {exc!r}')
        os._exit(2)
    record.say('the rule held' if held else 'the rule was broken')
    # Without the noise of connections that end with the event loop.
    os._exit(0 if held else 1)
