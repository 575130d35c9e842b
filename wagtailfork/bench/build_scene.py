"""A gateway process of one build, with a store and servers of its own."""

import asyncio
import json
import logging
import os
import pathlib
import re
from http import HTTPStatus
from typing import Any, Final

import attrs

from ..core.server import HttpServer, bind
from ..soak.gateways import GatewayProcess
from ..soak.plan import REGIONS
from ..soak.wire import read_body, read_head
from ..standin.documents import describe_route, describe_server
from ..standin.keyed_store import KeyedStoreStandin
from ..standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
)
from ..tests.rig_tools import free_port

HOST: Final = 'shop.example'
SERVICE: Final = 'stock'
DOMAIN: Final = min(REGIONS)
SERVER_COUNT: Final = 4
START_LIMIT_S: Final = 60.0
POLL_S: Final = 0.1
DEADLINE_MS: Final = 9000
OBJECTIVE_MS: Final = 1500
LONG_ANSWER_BYTES: Final = 1000000
UPLOAD_BYTES: Final = 700000
_DONE: Final[tuple[int, ...]] = (HTTPStatus.OK,)
_PAYMENT_BYTES: Final = 200
_LONG_PREFIX: Final = '/photo/'
_PREFIXES: Final = {
    '/look/': 'safe',
    '/pay/': 'unsafe',
    '/snap/': 'upload',
    _LONG_PREFIX: 'safe',
}
_CONNECTIONS: Final = re.compile(r'^wagtailfork_connections\S* (\S+)$', re.M)
_USER_TIME: Final = 11  # field of /proc/PID/stat after the command's name
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class RequestKind:
    """Describe one kind of request."""

    name: str
    method: str
    prefix: str
    body_bytes: int = 0
    has_id: bool = True
    repeats_id: bool = False  # all requests of a round bear the same
    statuses: tuple[int, ...] = _DONE  # of its answers

    def render(self, name: str, number: int) -> bytes:
        """Return the request with this number of those with this name."""
        lines = [
            f'{self.method} {self.prefix}1 HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Deadline-Ms: {DEADLINE_MS}',
        ]
        if self.has_id:
            nth = 0 if self.repeats_id else number
            lines.append(f'Request-Id: {name}-{nth}')
        if self.body_bytes:
            lines.append(f'Content-Length: {self.body_bytes}')
        return '\r\n'.join([*lines, '', '']).encode() + bytes(self.body_bytes)


LOOK: Final = RequestKind('look', 'GET', '/look/')
KINDS: Final = (
    LOOK,
    RequestKind('same id', 'GET', '/look/', repeats_id=True),
    RequestKind('pay', 'POST', '/pay/', _PAYMENT_BYTES),
    RequestKind('upload', 'POST', '/snap/', UPLOAD_BYTES),
    RequestKind('long answer', 'GET', _LONG_PREFIX),
    RequestKind(
        'without id',
        'GET',
        '/look/',
        has_id=False,
        # Of a server, and of the gateway, which believes no such answer.
        statuses=(HTTPStatus.BAD_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE),
    ),
)


@attrs.define(eq=False)
class KeptConnection:
    """Send requests one after the other on one connection."""

    address: str
    _streams: 'tuple[asyncio.StreamReader, Writer] | None' = None

    async def exchange(
        self, raw: bytes, statuses: tuple[int, ...] = _DONE
    ) -> bytes:
        """Send a request; return the body of its answer."""
        if self._streams is None:
            host, _, port = self.address.rpartition(':')
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        writer.write(raw)
        head = await read_head(reader)
        body = await read_body(reader, head)
        if head.status not in statuses:
            raise RuntimeError(f'answer of {self.address}: {head.first}')
        if head.headers.get('connection') == 'close':
            self.close()
        return body

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


@attrs.define(eq=False)
class MeasuredGateway(GatewayProcess):
    """Run a gateway with a metrics page."""

    metrics_address: str = attrs.field(
        factory=lambda: f'127.0.0.1:{free_port()}'
    )

    async def opened_connections(self) -> float:
        """Return how many connections to servers it has opened."""
        page = KeptConnection(self.metrics_address)
        raw = await page.exchange(
            b'GET /metrics HTTP/1.1\r\nHost: x\r\nAccept: text/plain\r\n\r\n'
        )
        page.close()
        found = _CONNECTIONS.search(raw.decode())
        if found is None:
            raise RuntimeError(f'no wagtailfork_connections in {raw!r}')
        return float(found[1])

    def processor_s(self) -> float:
        """Return the processor time that the process has used."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        used = fields[_USER_TIME : _USER_TIME + 2]
        return sum(map(int, used)) / _TICKS_PER_S

    def _settings(self) -> dict[str, Any]:
        return {**super()._settings(), 'metrics_address': self.metrics_address}


@attrs.define(eq=False)
class BuildScene:
    """Run one gateway of a build beside stand-ins in this process."""

    checkout: str
    folder: pathlib.Path
    store: KeyedStoreStandin = attrs.field(factory=KeyedStoreStandin)
    servers: list[ScriptedBackend] = attrs.field(factory=list)
    _gateway: MeasuredGateway | None = None
    _store_task: 'asyncio.Task[None] | None' = None

    @property
    def gateway(self) -> MeasuredGateway:
        """Return the gateway after the start."""
        assert self._gateway is not None  # noqa: S101
        return self._gateway

    async def start(self) -> None:
        """Start all and wait until the gateway serves callers."""
        # The store's calls end with the gateways that wait for them.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        store_address = f'127.0.0.1:{free_port()}'
        server = HttpServer(self.store.app(), bind(store_address))
        self._store_task = asyncio.create_task(server.run())
        self.store.put('keyed.op', 'config', _configuration())
        for number in range(SERVER_COUNT):
            await self._add_server(f'server{number}')
        self._gateway = MeasuredGateway(
            vm='vm0',
            domain=DOMAIN,
            store_address=store_address,
            folder=self.folder,
            checkout=self.checkout,
        )
        self.gateway.start()
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.gateway.is_ready():
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """End the gateway and the stand-ins."""
        if self._gateway is not None:
            self._gateway.end()
        for server in self.servers:
            await server.end()
        if self._store_task is not None:
            self._store_task.cancel()

    def arrivals(self) -> int:
        """Return how many requests the servers hold a record of."""
        return sum(len(server.arrivals) for server in self.servers)

    def forget_requests(self) -> None:
        """Free what the servers recorded of the requests so far."""
        for server in self.servers:
            server.runs.clear()
            server.arrivals.clear()

    async def _add_server(self, name: str) -> None:
        server = make_server(name)
        await server.start()
        self.servers.append(server)
        entry = describe_server(
            service=SERVICE,
            address=server.address,
            domain=DOMAIN,
            slots=server.slots,
        )
        self.store.put('keyed.servers', name, json.dumps(entry).encode())


def make_server(name: str) -> ScriptedBackend:
    """Return a server that answers at once."""
    return ScriptedBackend(name, service_s=0, script=_answer)


async def _answer(
    server: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    if 'request-id' not in req.headers:
        refusal = 'Not-Executed: 1\r\n'
        writer.write(render_response(req, b'', '400 Bad Request', refusal))
        return
    is_long = req.path.startswith(_LONG_PREFIX)
    body = bytes(LONG_ANSWER_BYTES) if is_long else b'done'
    writer.write(render_response(req, body, extra=server.load_header()))


def _configuration() -> bytes:
    routes = {
        prefix: describe_route(
            prefix=prefix,
            kind=kind,
            service=SERVICE,
            timeout_ms=DEADLINE_MS,
            objective_ms=OBJECTIVE_MS,
        )
        for prefix, kind in _PREFIXES.items()
    }
    document = {
        'version': 1,
        'routes': routes,
        'services': {SERVICE: {'healthPath': '/health', 'maxConns': 900}},
        'limits': {'maxBodyBytes': 67108864, 'idleTimeoutMs': 15000},
    }
    return json.dumps(document).encode()
