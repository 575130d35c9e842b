"""Configurations that reach a VM late, and what it may deny meanwhile."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest import mock

import testtools

from ...core.clock import now_s
from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ...http1.responses import BackendResponse, RequestNotSent
from ...standin.documents import make_route
from ...tests.relay import Relay
from ..node import GatewayNode
from ..evidence import CONFIRM_LIMIT_S
from ..reader_election import FAR_STORE_S
from .rig import CONFIG_TOPIC, HOST, Rig, make_config, run_scenario

# Of the users' smallest bound for a change of the configuration.
APPLY_LIMIT_S: Final = 2.5
ROUTES: Final = 1400
BYTES_PER_S: Final = 100000  # a read of the large document takes 2 s
PAY_ROUTE: Final = make_route(pathPrefix='/pay/')
NEW_ROUTE: Final = make_route(pathPrefix='/new/')
LISTING: Final = 1.33  # of a document, in documents
DRIP_BYTES_PER_S: Final = 8000
LIMIT_S: Final = 20.0  # the link carries the document nine times


def make_large_config(version: int, **more: dict[str, Any]) -> bytes:
    """Return a configuration with many routes."""
    routes = {
        f'r{number}': make_route(pathPrefix=f'/r{number}/')
        for number in range(ROUTES)
    }
    return make_config(version, look=make_route(), **routes, **more)


def cut_off(node: GatewayNode) -> None:
    """End all messages of a VM; it goes on answering callers."""
    datagrams = node.link._datagrams
    datagrams._transport = None
    datagrams._receive = mock.Mock()
    node.link.snapshot_fetcher.fetching = True  # so that it fetches nothing
    store: Any = node.source.usage
    failure = mock.AsyncMock(side_effect=RequestNotSent('cut off'))
    store.pool = mock.Mock(acquire=failure)


def put_tenants(rig: Rig, version: int, route: dict[str, Any]) -> None:
    """Put a configuration in force in which requests need keys."""
    document = json.loads(make_config(version, look=route))
    document['tenants'] = {'t': {'apiKeys': ['k']}}
    rig.store.put(CONFIG_TOPIC, 'config', json.dumps(document).encode())


async def start_late(rig: Rig, backends: int = 1) -> None:
    """Start two VMs and cut the first one off."""
    if backends:
        await rig.start(backends=backends, gateways=0)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(1, pay=PAY_ROUTE))
    rig.add_gateway('vm0')
    rig.add_gateway('vm1')
    await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
    await rig.until(rig.all_connected)
    cut_off(rig.nodes[0])
    # The poll that is under way may still get an answer.
    source: Any = rig.nodes[0].source
    await rig.until(lambda: not source._config_status.ok)


async def send_long_head(rig: Rig, node: int, size: int) -> BackendResponse:
    """Send a request whose head is at least this long."""
    head = b'GET /pay/ HTTP/1.1\r\nHost: %b\r\nRequest-Id: r\r\nX: %b\r\n\r\n'
    return await rig.send_raw(
        rig.nodes[node].cfg.caller_address,
        head % (HOST.encode(), b'x' * size),
    )


class TestLateConfiguration(testtools.TestCase):
    """A VM that may lack the newest configuration denies nothing."""

    def test_late_vm_denies_no_new_route(self) -> None:
        """Guards against a 404 for a route that other VMs serve."""
        run_scenario(self._add_route)

    async def _add_route(self, rig: Rig) -> None:
        await start_late(rig)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2, new=NEW_ROUTE))
        await rig.until(lambda: rig.nodes[1].view.version == 2)
        await asyncio.sleep(APPLY_LIMIT_S)
        statuses = []
        until_s = now_s() + 1
        while now_s() < until_s:
            response = await rig.call('/new/')
            statuses.append(response.status)
            self.assertIsNotNone(response.find(b'retry-after'))
            await asyncio.sleep(0.05)
        self.assertEqual({503}, set(statuses))
        served = await rig.call('/new/', node=1)
        unknown = await rig.call('/look/', node=1)
        self.assertEqual((200, 404), (served.status, unknown.status))

    def test_late_vm_denies_no_raised_limit(self) -> None:
        """Guards against a 431 for a head that the configuration allows."""
        run_scenario(self._raise_limit)

    async def _raise_limit(self, rig: Rig) -> None:
        await start_late(rig)
        document = json.loads(make_config(2))
        document['limits']['maxHeaderBytes'] = 8192
        rig.store.put(CONFIG_TOPIC, 'config', json.dumps(document).encode())
        await rig.until(lambda: rig.nodes[1].view.version == 2)
        await asyncio.sleep(APPLY_LIMIT_S)
        statuses = [
            (await send_long_head(rig, node, 6000)).status for node in (0, 1)
        ]
        self.assertEqual([503, 200], statuses)
        beyond = await send_long_head(rig, 1, 9000)
        self.assertEqual(431, beyond.status)

    def test_late_vm_denies_no_public_route(self) -> None:
        """Guards against a 401 where no key is needed any more."""
        run_scenario(self._open_route)

    async def _open_route(self, rig: Rig) -> None:
        await rig.start(gateways=0)
        put_tenants(rig, 1, make_route())
        await start_late(rig, backends=0)
        put_tenants(rig, 2, make_route(public=True))
        await rig.until(lambda: rig.nodes[1].view.version == 2)
        await asyncio.sleep(APPLY_LIMIT_S)
        statuses = [
            (await rig.call('/look/', node=node)).status for node in (0, 1)
        ]
        self.assertEqual([503, 200], statuses)

    def test_announced_configuration_is_waited_for(self) -> None:
        """Guards against a 404 while heartbeats tell of a newer edition."""
        run_scenario(self._announce)

    async def _announce(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        await rig.until(lambda: any(n.source.reads_store for n in rig.nodes))
        rig.nodes.sort(key=lambda one: one.source.reads_store)
        node, other = rig.nodes
        node.link.snapshot_fetcher.fetching = True  # so that it fetches nothing
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2, new=NEW_ROUTE))
        await rig.until(lambda: other.view.version == 2)
        await rig.until(lambda: node.evidence.newest_heard().version == 2)
        # The age alone would allow a 404.
        node.age.record_read(now_s())
        response = await rig.call('/new/')
        self.assertEqual(503, response.status)
        node.link.snapshot_fetcher.fetching = False
        await rig.until(lambda: node.view.version == 2)
        response = await rig.call('/new/')
        self.assertEqual(200, response.status)

    def test_connected_vms_deny_soon(self) -> None:
        """Guards against VMs that let callers wait for a 404, or refuse it."""
        run_scenario(self._call_unknown)

    async def _call_unknown(self, rig: Rig) -> None:
        await rig.start(gateways=3)
        for node, _ in enumerate(rig.nodes):
            sent_s = now_s()
            response = await rig.call('/none', node=node)
            self.assertEqual(404, response.status)
            self.assertLess(now_s() - sent_s, CONFIRM_LIMIT_S)


def run_behind_link(
    scenario: Callable[[Rig, Relay], Awaitable[None]], vms: int = 4
) -> None:
    """Run a scenario whose domain reaches the store over one slow link."""

    async def run_with_link() -> None:
        rig = Rig()
        link = Relay(int(rig.store_address.rpartition(':')[2]))
        await link.start()
        try:
            await rig.start(gateways=0)
            for number in range(vms):
                rig.add_gateway(
                    f'vm{number}', store_address=f'127.0.0.1:{link.port}'
                )
            await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
            await rig.until(rig.all_connected)
            link.bytes_per_s = BYTES_PER_S
            await scenario(rig, link)
        finally:
            await link.close()
            await rig.stop()

    asyncio.run(run_with_link())


class TestSlowLink(testtools.TestCase):
    """A configuration passes a link that carries it in some seconds."""

    def test_large_configuration_passes_a_slow_link(self) -> None:
        """Guards against reads that are given up and start again at zero."""
        run_behind_link(self._change)

    async def _change(self, rig: Rig, link: Relay) -> None:
        loads = await self._load(rig, rig.nodes, link)
        self.assertEqual(1, loads)

    def test_lost_reader_is_replaced_by_few(self) -> None:
        """Guards against a domain whose VMs all load at the same time."""
        run_behind_link(self._lose_reader, vms=8)

    async def _lose_reader(self, rig: Rig, link: Relay) -> None:
        link.silence()
        loads = await self._load(rig, rig.nodes, link)
        # The reader itself tries again.
        self.assertLessEqual(loads, 2)

    def test_killed_reader_is_replaced_by_one(self) -> None:
        """Guards against VMs that take over one after the other and load."""
        run_behind_link(self._kill_reader, vms=12)

    async def _kill_reader(self, rig: Rig, link: Relay) -> None:
        rig.store.faults.delay_s = 0.4
        left = []
        for node in rig.nodes:
            if node.source.reads_store:
                rig.kill(node)
            else:
                left.append(node)
        loads = await self._load(rig, left, link)
        self.assertEqual(1, loads)

    def test_few_starting_vms_load(self) -> None:
        """Guards against VMs without a configuration that all load it."""
        run_behind_link(self._start_anew, vms=1)

    async def _start_anew(self, rig: Rig, link: Relay) -> None:
        rig.kill(rig.nodes[0])
        rig.store.faults.delay_s = FAR_STORE_S
        through = f'127.0.0.1:{link.port}'
        started = [
            rig.add_gateway(f'new{number}', store_address=through)
            for number in range(8)
        ]
        loads = await self._load(rig, started, link)
        # Two that have not heard of each other may begin at the same time.
        self.assertLessEqual(loads, 2)

    async def _load(
        self, rig: Rig, nodes: list[GatewayNode], link: Relay
    ) -> int:
        """Put a large configuration in force; count the loads of it."""
        document = make_large_config(2)
        sent = link.bytes_relayed
        rig.store.put(CONFIG_TOPIC, 'config', document)
        async with asyncio.timeout(LIMIT_S):
            while not all(node.view.version == 2 for node in nodes):
                await asyncio.sleep(0.05)
        # What is still under way counts as well.
        link.bytes_per_s = 0
        await asyncio.sleep(0.5)
        print('LOADS', (link.bytes_relayed - sent) / len(document))
        return round((link.bytes_relayed - sent) / len(document) / LISTING)

    def test_dripping_reader_is_replaced(self) -> None:
        """Guards against a reader whose own link keeps a domain waiting."""
        asyncio.run(self._slow_down_reader())

    async def _slow_down_reader(self) -> None:
        rig = Rig()
        links = []
        try:
            await rig.start(gateways=0)
            port = int(rig.store_address.rpartition(':')[2])
            for number in range(4):
                link = Relay(port)
                links.append(link)
                await link.start()
                rig.add_gateway(
                    f'vm{number}', store_address=f'127.0.0.1:{link.port}'
                )
            await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
            await rig.until(rig.all_connected)
            await rig.until(
                lambda: any(node.source.reads_store for node in rig.nodes)
            )
            reading = [node.source.reads_store for node in rig.nodes]
            links[reading.index(True)].bytes_per_s = DRIP_BYTES_PER_S
            document = make_large_config(2)
            rig.store.put(CONFIG_TOPIC, 'config', document)
            async with asyncio.timeout(2 * APPLY_LIMIT_S):
                while not all(
                    node.view.version == 2
                    for node, reads in zip(rig.nodes, reading, strict=True)
                    if not reads
                ):
                    await asyncio.sleep(0.05)
        finally:
            for link in links:
                await link.close()
            await rig.stop()

    def test_configuration_needs_no_servers(self) -> None:
        """Guards against a topic that waits for the other for ever."""
        run_scenario(self._fail_servers)

    async def _fail_servers(self, rig: Rig) -> None:
        await rig.start()
        source: Any = rig.nodes[0].source
        failure = WagtailforkError(ResultCode.log_unavailable, 'servers')
        with mock.patch.object(
            type(source), '_read_servers', side_effect=failure
        ):
            rig.store.faults.status = 503
            await rig.until(lambda: source._config_status.failures)
            rig.store.faults.status = 0
            rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
            async with asyncio.timeout(APPLY_LIMIT_S):
                await rig.until(lambda: rig.nodes[0].view.version == 2)

    def test_long_load_ends_no_other_poll(self) -> None:
        """Guards against a reader that gives up one topic for the other."""
        run_behind_link(self._load_beside_poll, vms=1)

    async def _load_beside_poll(self, rig: Rig, link: Relay) -> None:
        link.bytes_per_s = BYTES_PER_S / 2
        node = rig.nodes[0]
        rig.store.put(CONFIG_TOPIC, 'config', make_large_config(2))
        await asyncio.sleep(0.5)
        reading = []
        async with asyncio.timeout(LIMIT_S):
            while node.view.version < 2:
                reading.append(node.source.reads_store)
                await asyncio.sleep(0.05)
        self.assertEqual({True}, set(reading))
