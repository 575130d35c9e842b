"""A small deployment on the platform's stand-ins, in one event loop."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs

from ...core.clock import now_s
from ...core.server import HttpServer, bind
from ...core.settings import GatewaySettings, RetryShare
from ...http1.backend import connect
from ...http1.body import Body
from ...http1.headers import render_head
from ...http1.responses import BackendResponse
from ...platform.adapter import make_gateway
from ...routing.fingerprints import fingerprint_of
from ...standin.documents import make_route
from ...standin.keyed_store import KeyedStoreStandin
from ...standin.scripted_backend import ScriptedBackend
from ...tests.rig_tools import free_port
from ..node import GatewayNode

CONFIG_TOPIC: Final = 'keyed.op'
SERVERS_TOPIC: Final = 'keyed.servers'
HOST: Final = 'shop.example'
# The fingerprint of GET /look/1 by callers without a customer.
LOOK: Final = fingerprint_of(
    '', HOST.encode(), b'GET', b'/look/1', size=None, body=()
)
STEP_S: Final = 0.01
LIMIT_S: Final = 10.0  # for any condition that a test waits for


def free_address() -> str:
    """Return an unused loopback address."""
    return f'127.0.0.1:{free_port()}'


def make_config(version: int, **routes: dict[str, Any]) -> bytes:
    """Return a configuration document in the operators' format."""
    routes = routes or {
        'look': make_route(),
        'pay': make_route(pathPrefix='/pay/', type='unsafe'),
    }
    document = {
        'version': version,
        'routes': routes,
        'services': {'stock': {'healthPath': '/health', 'maxConns': 100}},
        'limits': {
            'maxHeaderBytes': 4096,
            'maxBodyBytes': 1000000,
            'headerTimeoutMs': 300,
            'idleTimeoutMs': 5000,
        },
    }
    return json.dumps(document).encode()


@attrs.define(eq=False)
class Rig:
    """Run stand-ins and gateways in the current event loop."""

    store: KeyedStoreStandin = attrs.field(factory=KeyedStoreStandin)
    store_address: str = attrs.field(factory=free_address)
    backends: dict[str, ScriptedBackend] = attrs.field(factory=dict)
    nodes: list[GatewayNode] = attrs.field(factory=list)
    _tasks: list['asyncio.Task[Any]'] = attrs.field(factory=list)
    _running: dict[str, 'asyncio.Task[Any]'] = attrs.field(factory=dict)

    async def start(self, backends: int = 2, gateways: int = 1) -> None:
        """Start the deployment and wait until all gateways are ready."""
        await self.start_store()
        self.store.put(CONFIG_TOPIC, 'config', make_config(1))
        for number in range(backends):
            await self.add_backend(f'b{number}')
        for number in range(gateways):
            self.add_gateway(f'vm{number}')
        await self.until(lambda: all(node.is_ready() for node in self.nodes))
        await self.until(self._all_listed)
        await self.until(self.all_connected)

    async def start_store(self) -> None:
        """Start the stand-in of the store."""
        server = HttpServer(self.store.app(), bind(self.store_address))
        self._tasks.append(asyncio.create_task(server.run()))

    async def add_backend(self, name: str) -> ScriptedBackend:
        """Start and register a backend server."""
        backend = ScriptedBackend(name)
        await backend.start()
        self.backends[name] = backend
        self.register(backend)
        return backend

    def register(self, backend: ScriptedBackend, **changes: Any) -> None:
        """Write the registration entry of a backend server."""
        fields = {
            'service': 'stock',
            'address': backend.address,
            'zone': 'a',
            'version': 'v1',
            'capacity': backend.slots,
            'state': 'ready',
            'warmupLeftMs': 0,
            'seq': 1,
            'born': 1,
        }
        fields.update(changes)
        self.store.put(SERVERS_TOPIC, backend.name, json.dumps(fields).encode())

    def settings(self, vm: str, **changes: Any) -> GatewaySettings:
        """Return the settings of a gateway, with addresses of its own."""
        fields: dict[str, Any] = {
            'vm': vm,
            'region': 'r',
            'failure_domain': 'a',
            'regions': {'a': 'r'},
            'caller_address': free_address(),
            'ready_address': free_address(),
            'directory_address': free_address(),
            'fleet_address': free_address(),
            'store_address': self.store_address,
            'retries': RetryShare(slack=50),
            'stop_accepts_s': 0.2,
            'stop_grace_s': 2.8,
        }
        fields.update(changes)
        return GatewaySettings(**fields)

    def add_gateway(self, vm: str, **changes: Any) -> GatewayNode:
        """Start a gateway."""
        node = make_gateway(self.settings(vm, **changes))
        # It takes the place of no process that has spent retries.
        node.allowances.slack_from_s = 0
        self.nodes.append(node)
        task = asyncio.create_task(node.run())
        self._tasks.append(task)
        self._running[node.cfg.vm] = task
        return node

    def kill(self, node: GatewayNode) -> None:
        """End a gateway at once, without a shutdown message to the others."""
        self._running[node.cfg.vm].cancel()
        node.link.close()

    async def end_process(self, node: GatewayNode) -> None:
        """Wait for the end of a stop; close what the process would close."""
        await self._running[node.cfg.vm]
        for conn in list(node.callers.connections):
            conn.abort()

    async def call(
        self,
        path: str,
        request_id: str = 'r1',
        body: bytes = b'',
        node: int = 0,
        deadline_ms: int = 1500,
        key: bytes = b'',
    ) -> BackendResponse:
        """Send one request on a new connection; return the response."""
        method = 'POST' if body else 'GET'
        headers = [
            (b'Host', HOST.encode()),
            (b'Request-Id', request_id.encode()),
            (b'Request-Deadline-Ms', b'%d' % deadline_ms),
        ]
        if key:
            headers.append((b'X-Api-Key', key))
        if body:
            headers.append((b'Content-Length', b'%d' % len(body)))
        head = render_head(f'{method} {path} HTTP/1.1'.encode(), headers)
        return await self.send_raw(
            self.nodes[node].cfg.caller_address,
            head,
            body,
        )

    async def send_raw(
        self,
        address: str,
        head: bytes,
        body: bytes = b'',
    ) -> BackendResponse:
        """Send a request to any address; return the complete response."""
        host, _, port = address.rpartition(':')
        conn = await connect(host, int(port), LIMIT_S)
        payload = Body()
        payload.feed(body)
        payload.finish()
        try:
            response = await conn.exchange(head, payload, request_id=None)
            await response.body.wait_buffered()
        finally:
            conn.close()
        return response

    async def get(self, address: str, target: str) -> BackendResponse:
        """Send a GET request to one of the side addresses."""
        head = render_head(f'GET {target} HTTP/1.1'.encode(), [(b'Host', b'x')])
        return await self.send_raw(address, head)

    async def until(self, condition: Any) -> None:
        """Wait for a condition; raise ``TimeoutError`` after ``LIMIT_S``."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(STEP_S)

    async def stop(self) -> None:
        """Cancel all tasks and end the backend servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for backend in self.backends.values():
            await backend.end()

    def runs(self) -> list[str]:
        """Return the ids of all requests that ran."""
        return [
            seen.headers['request-id']
            for backend in self.backends.values()
            for seen in backend.runs
        ]

    def all_connected(self) -> bool:
        """Return whether all gateways know each other."""
        now = now_s()
        return all(
            node.membership.count(now) == len(self.nodes) for node in self.nodes
        )

    def _all_listed(self) -> bool:
        wanted = set(self.backends)
        return all(wanted <= set(node.view.servers) for node in self.nodes)


def run_scenario(scenario: Callable[[Rig], Awaitable[None]]) -> None:
    """Run a scenario on a rig of its own."""

    async def run_with_rig() -> None:
        rig = Rig()
        try:
            await scenario(rig)
        finally:
            await rig.stop()

    asyncio.run(run_with_rig())
