"""Stand-ins of the second review: store, endpoints, gateways, links.

Only the standard library is used. Gateways are started with the command and
the template of the deploy file, each on a loopback address of its own.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'hulo84.example'
HEARTBEAT_S = 1.5
STABLE_S = 4.0  # stableWindowMs of the small sites
BOUNDS = {
    'graceS': 6,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 62,
}
LIMITS = {  # as ``fleetbench wire`` shows them
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def free_port(ip):
    """Return a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, with seconds."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self.begun = time.monotonic()

    def add(self, *words):
        at = time.monotonic() - self.begun
        line = ' '.join(str(word) for word in words)
        self.file.write(f'{at:8.3f} {line}\n')
        self.file.flush()


# HTTP of the stand-ins.


class Message:
    """A request or an answer as it was read."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(' ')[1])

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = raw[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader):
    """Read one request or answer with a length or in chunks."""
    first, headers = await read_head(reader)
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return Message(first, headers, body)
    size = int(headers.get('content-length', 0))
    return Message(first, headers, await reader.readexactly(size))


def render(first, headers, body=b''):
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def serve(ip, port, handle):
    """Listen; ``handle`` serves one connection until it ends."""

    async def guarded(reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await handle(reader, writer)
        writer.close()

    return await asyncio.start_server(guarded, ip, port)


# The platform's store.


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}

    def append(self, record, keyed):
        if keyed:
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, len(self.records))
        self.records.append(record)


class Store:
    """The log of the platform, with its keyed topics."""

    def __init__(self, ip='127.0.0.1'):
        self.ip = ip
        self.port = free_port(ip)
        self.topics = {}
        self.changed = asyncio.Event()
        self.server = None
        self.era = 1
        self.away = False  # connections are reset

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self.server = await serve(self.ip, self.port, self.handle)

    def put(self, topic, key, value):
        name = key.encode()
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.append(topic, bytes([len(name)]) + name + raw)

    def drop(self, topic, key):
        self.put(topic, key, b'')

    def append(self, name, record):
        topic = self.topics.setdefault(name, Topic())
        topic.append(record, name.startswith('keyed.'))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader, writer):
        while True:
            req = await read_message(reader)
            if self.away:
                writer.transport.abort()
                return
            method, target, _ = req.first.split(' ')
            url = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            call = {
                '/v1/log-append': self.log_append,
                '/v1/log-read': self.log_read,
                '/v1/log-newest': self.log_newest,
            }.get(url.path)
            status, body = (404, b'') if call is None else await call(query, req)
            if self.away:
                writer.transport.abort()
                return
            head = f'HTTP/1.1 {status} Status'
            fields = [
                ('Content-Length', len(body)),
                ('Store-Era', self.era),
            ]
            writer.write(render(head, fields, body))
            await writer.drain()

    async def log_append(self, query, req):
        name = query['topic']
        if name in ('keyed.op', 'keyed.servers'):
            return 403, b''
        topic = self.topics.setdefault(name, Topic())
        offset = len(topic.records)
        raw = req.body
        while raw:
            size = struct.unpack('>I', raw[:4])[0]
            self.append(name, raw[4 : 4 + size])
            raw = raw[4 + size :]
        end = len(topic.records)
        return 200, json.dumps({'offset': offset, 'end': end}).encode()

    async def log_read(self, query, req):
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        start = int(query['from'])
        while True:
            topic = self.topics.setdefault(query['topic'], Topic())
            if start > len(topic.records):
                return 410, json.dumps({'first': 0}).encode()
            left = until - time.monotonic()
            if start < len(topic.records) or left <= 0 or self.away:
                break
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()
        out = struct.pack('>QQ', len(topic.records), 0)
        for record in topic.records[start:]:
            out += struct.pack('>I', len(record)) + record
        return 200, out

    async def log_newest(self, query, req):
        topic = self.topics.setdefault(query['topic'], Topic())
        keys = [k for k in sorted(topic.newest) if k > query.get('after', '')]
        items = [
            {
                'key': key,
                'value': base64.b64encode(topic.newest[key][0]).decode(),
                'offset': topic.newest[key][1],
            }
            for key in keys[:500]
        ]
        page = {
            'items': items,
            'hasMore': len(keys) > 500,
            'end': len(topic.records),
        }
        return 200, json.dumps(page).encode()


# Endpoints.


class Endpoint:
    """A sound endpoint: it runs what is sent to it and answers."""

    def __init__(self, store, record, service, name, ip='127.0.0.1', zone='a'):
        self.store = store
        self.record = record
        self.service = service
        self.name = name
        self.ip = ip
        self.zone = zone
        self.port = free_port(ip)
        self.work_s = 0.02
        self.runs = []  # (seconds, Message)
        self.running = 0
        self.born = int(time.time() * 1000)
        self.server = None

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self.server = await serve(self.ip, self.port, self.handle)
        self.beat()

    def beat(self, **changes):
        """Write the entry of the endpoint."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': 4,
            'state': 'ready',
            'warmupLeftMs': 0,
            'seq': 1,
            'born': self.born,
        }
        entry.update(changes)
        self.store.put('keyed.servers', self.name, entry)

    def load(self):
        return ('Server-Load', f'{self.running},0,4,100')

    async def handle(self, reader, writer):
        while True:
            req = await read_message(reader)
            if req.first.split(' ')[1] == '/health':
                fields = [
                    ('Instance-Id', self.name),
                    self.load(),
                    ('Content-Length', 0),
                ]
                writer.write(render('HTTP/1.1 200 OK', fields))
            elif req.get('target-instance', self.name) != self.name:
                fields = [
                    ('Instance-Id', self.name),
                    ('Request-Id', req.get('request-id')),
                    ('Content-Length', 0),
                ]
                writer.write(render('HTTP/1.1 421 Misdirected Request', fields))
            else:
                await self.run(req, writer)
            await writer.drain()

    async def run(self, req, writer):
        self.runs.append((time.monotonic(), req))
        self.record.add('run', req.get('request-id'), 'at', self.name)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.answer(req))

    def answer(self, req, status='200 OK', body=None, extra=()):
        if body is None:
            body = f'done {req.get("request-id")}'.encode()
        fields = [
            ('Request-Id', req.get('request-id')),
            ('Server-Signature', f's.{self.name}'),
            self.load(),
            *extra,
            ('Content-Length', len(body)),
        ]
        return render(f'HTTP/1.1 {status}', fields, body)


# Gateways.


def fill(text, tables):
    """Fill the template of the deploy file, as DEPLOY.md tells it."""

    def look(name):
        found = tables
        for part in name.split('.'):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        kind, name, inner = match.groups()
        shown = bool(look(name)) == (kind == '#')
        return inner if shown else ''

    text = re.sub(
        r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, text, flags=re.S
    )

    def value(match):
        found = look(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return '' if found is None else str(found)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', value, text)


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(
        self, folder, record, store_address, name, ip, *, zone='a', zones=None,
        bounds=None,
    ):
        self.folder = pathlib.Path(folder)
        self.record = record
        self.name = name
        self.ip = ip
        self.process = None
        self.starts = 0
        ports = {
            part: f'{ip}:{free_port(ip)}'
            for part in ('front', 'ready', 'directory')
        }
        self.front = ports['front']
        self.ready = ports['ready']
        zones = zones or {zone: 'r'}
        self.tables = {
            'nodeName': name,
            'region': zones[zone],
            'zone': zone,
            'zones': zones,
            'ip': ip,
            'listen': ports,
            'internalPorts': [free_port(ip)],
            'bounds': {**BOUNDS, **(bounds or {})},
            'platform': {'address': store_address},
        }
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = role['roles']['gateway']

    def start(self):
        self.starts += 1
        tables = {**self.tables, 'bootstrap': self.starts == 1}
        template = (ROOT / self.role['template']).read_text()
        settings = self.folder / f'{self.name}.json'
        settings.write_text(fill(template, tables))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['WAGTAILFORK_BOOT'] = str(settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                self.role['run'].split(),
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )
        self.record.add('start', self.name, 'pid', self.process.pid)

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signum):
        self.record.add('signal', signal.Signals(signum).name, self.name)
        self.process.send_signal(signum)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                answer = await call(self.ready, 'GET', '/v1/ready', [])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit_s=40):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or not self.running:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.05)
        self.record.add('ready', self.name)

    def end(self):
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class CannotRun(Exception):
    """The case could not be played."""


async def call_host(address, method, path, headers, body=b''):
    """Send a requester's request on a new connection; read the answer."""
    return await call(address, method, path, headers, body, host=HOST)


async def call(address, method, path, headers, body=b'', host=''):
    """Send one request on a new connection and read the answer."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(
            request(method, path, headers, body, host=host or address)
        )
        return await read_message(reader)
    finally:
        writer.close()


def request(method, path, headers, body=b'', host=HOST):
    fields = [('Host', host), *headers]
    if body:
        fields.append(('Content-Length', len(body)))
    return render(f'{method} {path} HTTP/1.1', fields, body)


def route(kind, prefix, service, **changes):
    fields = {
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': 2000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
    }
    fields.update(changes)
    return fields


def config(version, routes, services, **changes):
    return {
        'version': version,
        'routes': routes,
        'services': {
            name: {'healthPath': '/health', 'maxConns': 260}
            for name in services
        },
        'limits': LIMITS,
        **changes,
    }


def loopback(count):
    """Return addresses of loopback, one for each machine."""
    first = random.randrange(10, 250)
    second = random.randrange(10, 250)
    return [f'127.{first}.{second}.{number + 10}' for number in range(count)]


def run_case(folder, play, limit_s=110):
    """Play; exit with 1 if the rule broke, 0 if it held, 2 if not run.

    ``play(trouble, record, folder, started)`` returns whether the rule held
    and appends each gateway that it starts to ``started``.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.add('trouble', trouble)
    started = []

    async def limited():
        async with asyncio.timeout(limit_s):
            return await play(trouble, record, scratch, started)

    status = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            status = 0 if asyncio.run(limited()) else 1
        except Exception as exc:  # the case could not be played
            record.add('not run:', repr(exc))
        finally:
            for gateway in started:
                gateway.end()
            if os.environ.get('KEEP_LOGS'):
                for log in pathlib.Path(scratch).glob('*.log'):
                    target = pathlib.Path(os.environ['KEEP_LOGS']) / log.name
                    target.write_bytes(log.read_bytes())
    verdict = ('rule held', 'rule broken', 'not run')[status]
    record.add('verdict:', verdict)
    print(verdict)
    sys.exit(status)
