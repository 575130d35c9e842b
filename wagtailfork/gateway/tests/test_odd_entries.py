"""Odd entries of other writers among those that VMs and servers wrote."""

import asyncio
import json
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import testtools

from ...core.address import split_address
from ...fleet.delivery import post_message
from .rig import CONFIG_TOPIC, SERVERS_TOPIC, Rig, make_config, run_scenario

VMS_TOPIC = 'keyed.wagtailfork-vms'
CALLS = 8
SETTLE_S = 0.6  # three heartbeats
HUGE = 10**40
MISSING = object()  # leaves the field out
NESTED = b''.join((b'[' * 100000, b']' * 100000))
NESTED_FIELDS = b''.join((b'{"a":' * 900, b'1', b'}' * 900))
NESTED_LIST = b''.join((b'[' * 900, b']' * 900))
ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {'address': '127.0.0.1:99999'},
    {'address': '127.0.0.1:0'},
    {'address': '127.0.0.1:-1'},
    {'address': '127.0.0.1:\uff18\uff10'},
    {'address': 'not-an-ip:80'},
    {'address': '999.0.0.1:80'},
    {'address': '127.0.0.1:80\r\nx: y'},
    {'address': ':80'},
    {'capacity': HUGE},
    {'capacity': -1},
    {'capacity': 10**14},
    {'capacity': 1e300},
    {'capacity': True},
    {'warmupLeftMs': HUGE},
    {'warmupLeftMs': '5'},
    {'born': HUGE},
    {'born': [5]},
    {'seq': HUGE},
    {'seq': {'a': 1}},
    {'service': '\ud800'},
    {'service': 'stock\r\nx: y'},
    {'zone': '\udfff'},
    {'zone': ['a']},
    {'state': 'asleep'},
    {'version': MISSING},
    {'version': 5},
    {'born': MISSING},
    {'born': 1.5},
    {'seq': MISSING},
    {'service': 'unknown'},
    {'address': f'127.0.0.1:{"1" * 5000}'},
)
# Of a process that is in use by another service.
MOVED_FIELDS: tuple[dict[str, Any], ...] = (
    {'service': 'orders'},
    {'service': 'orders', 'state': 'draining'},
)
ODD_NAMES = ('caf\u00e9', '\u65e5\u672c', 'a\r\nX-Odd: 1', 'a b', '')
ODD_BYTES = (b'', b'\xff', b'null', b'7', NESTED, NESTED_FIELDS, NESTED_LIST)
ODD_VMS = (
    b'{"callers": "127.0.0.1:99999", "domain": "a", "region": "r"}',
    b'{"callers": "nobody", "domain": "a", "region": "r"}',
    b'{"callers": "127.0.0.1:80", "domain": ["a"], "region": "r"}',
    json.dumps(
        {'callers': '127.0.0.1:80', 'domain': '\ud800', 'region': 'r'}
    ).encode(),
    b'[]',
    b'\xff',
    NESTED,
    NESTED_FIELDS,
)
ODD_VM_KEYS = ('nobody', '127.0.0.1:99999', ':1', '\u65e5:1')
GOOD_VM = b'{"callers": "127.0.0.1:1", "domain": "a", "region": "r"}'
ODD_CONFIGURATIONS: tuple[dict[str, Any], ...] = (
    {'version': HUGE},
    {'version': -1},
    {'version': True},
    {'routes': {'x': {'host': 5, 'pathPrefix': '/x/', 'service': 'stock'}}},
    {'routes': {'x': {'host': 'h', 'pathPrefix': 5, 'service': 'stock'}}},
    {'routes': {'x': {'host': 'h', 'pathPrefix': '/x/', 'service': 5}}},
    {'services': {'stock': {'healthPath': '/a\r\nx: y'}}},
    {'services': {'stock': {'healthPath': 7}}},
    {'services': {'stock': {'maxConns': HUGE}}},
    {'limits': {'idleTimeoutMs': 'x'}},
    {'limits': {'headerTimeoutMs': -5}},
)


class Failures(logging.Handler):
    """Collect events that tell of an unexpected error."""

    def __init__(self) -> None:
        """Begin without a failure."""
        super().__init__()
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record that tells of a failure."""
        text = str(record.msg)
        if 'child_failed' in text or 'handler_failed' in text:
            self.seen.append(text)
        elif record.name == 'asyncio' and record.levelno >= logging.ERROR:
            self.seen.append(record.getMessage())


class TestOddEntries(testtools.TestCase):
    """Each costs only itself, whatever way it arrives."""

    def test_odd_servers_in_the_listing(self) -> None:
        """VMs that list the table at their start use the good entries."""
        self._run(self._list_servers)

    async def _list_servers(self, rig: Rig) -> None:
        _write_odd_servers(rig)
        await rig.start(gateways=2)
        await self._check_service(rig)

    def test_odd_servers_in_the_log(self) -> None:
        """VMs that follow the table read on behind each odd entry."""
        self._run(self._follow_servers)

    async def _follow_servers(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        await rig.until(lambda: any(n.source.reads_store for n in rig.nodes))
        _write_odd_servers(rig)
        await self._check_service(rig)

    def test_odd_servers_in_a_snapshot(self) -> None:
        """A VM that learns the table from a peer serves."""
        self._run(self._fetch_servers)

    async def _fetch_servers(self, rig: Rig) -> None:
        _write_odd_servers(rig)
        await rig.start()
        rig.store.faults.status = 503
        late = rig.add_gateway('late')
        late.link.heartbeats.request_heartbeats([rig.nodes[0].membership.me])
        await rig.until(late.is_ready)
        rig.store.faults.status = 0
        await self._check_service(rig)

    def test_odd_entry_of_a_known_server(self) -> None:
        """The server stays in use with its last good entry."""
        self._run(self._overwrite_server)

    async def _overwrite_server(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        for fields in ODD_FIELDS + MOVED_FIELDS:
            address = rig.backends['b0'].address
            raw = _render_entry({'address': address, **fields})
            rig.store.put(SERVERS_TOPIC, 'b0', raw)
        await self._check_service(rig)
        for node in rig.nodes:
            self.assertEqual('stock', node.view.servers['b0'].service)

    def test_odd_entry_reaches_a_late_vm(self) -> None:
        """A VM that fetches the table learns the last good entry."""
        self._run(self._fetch_overwritten)

    async def _fetch_overwritten(self, rig: Rig) -> None:
        await rig.start()
        await rig.until(lambda: rig.nodes[0].source.reads_store)
        for number, name in enumerate(('version', 'seq', 'born')):
            raw = _render_entry({'service': 'orders', name: MISSING})
            rig.store.put(SERVERS_TOPIC, 'b0', raw)
            rig.store.put(SERVERS_TOPIC, f'odd-{number}', raw)
        rig.register(rig.backends['b1'], seq=2, warmupLeftMs=1)
        await rig.until(lambda: _all_have_warm_up(rig, 'b1'))
        rig.store.faults.status = 503
        late = rig.add_gateway('late')
        late.link.heartbeats.request_heartbeats([rig.nodes[0].membership.me])
        await rig.until(late.is_ready)
        rig.store.faults.status = 0
        await self._check_service(rig)

    def test_entry_waits_for_its_service(self) -> None:
        """A server of a service that is configured later is used then."""
        self._run(self._configure_later)

    async def _configure_later(self, rig: Rig) -> None:
        await rig.start()
        raw = _render_entry({'service': 'later'})
        rig.store.put(SERVERS_TOPIC, 'b9', raw)
        rig.register(rig.backends['b1'], seq=2, warmupLeftMs=1)
        await rig.until(lambda: _all_have_warm_up(rig, 'b1'))
        self.assertNotIn('b9', rig.nodes[0].view.servers)
        document = json.loads(make_config(2))
        document['services']['later'] = document['services']['stock']
        rig.store.put(CONFIG_TOPIC, 'config', json.dumps(document).encode())
        await rig.until(lambda: 'b9' in rig.nodes[0].view.servers)

    def test_odd_vms_in_the_list(self) -> None:
        """VMs that start find the others, and list themselves."""
        self._run(self._list_vms)

    async def _list_vms(self, rig: Rig) -> None:
        for number, raw in enumerate(ODD_VMS):
            rig.store.put(VMS_TOPIC, f'127.0.0.1:{number + 1}', raw)
        for key in ODD_VM_KEYS:
            rig.store.put(VMS_TOPIC, key, GOOD_VM)
        await rig.start(gateways=3)
        await asyncio.sleep(SETTLE_S)
        await self._check_service(rig)

    def test_odd_configurations(self) -> None:
        """The one in force stays, and the next good one is taken."""
        self._run(self._configure)

    async def _configure(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        for fields in ODD_CONFIGURATIONS:
            odd = {**json.loads(make_config(5)), **fields}
            rig.store.put(CONFIG_TOPIC, 'config', json.dumps(odd).encode())
        for raw in ODD_BYTES[1:]:
            rig.store.put(CONFIG_TOPIC, 'config', raw)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(3))
        await rig.until(lambda: all(n.view.version == 3 for n in rig.nodes))
        await self._check_service(rig)

    def test_odd_rows_in_gossip(self) -> None:
        """The good rows of a heartbeat count; odd ones are left out."""
        self._run(self._gossip)

    async def _gossip(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        sender, receiver = rig.nodes
        good = _member_row('127.0.0.1:5', incarnation=1)
        for odd in _odd_rows():
            rows = [*_own_row(sender), good, odd]
            _send(receiver, cbor2.dumps([1, *rows]))
        for odd in _odd_rows():
            _send(receiver, cbor2.dumps([1, odd]))
            _send(receiver, cbor2.dumps([4, odd]))
        await asyncio.sleep(SETTLE_S)
        known = {one.address for one in receiver.membership.known_members()}
        mine = sender.membership.me.address
        self.assertEqual({mine, '127.0.0.1:5'}, known)
        await self._check_service(rig)

    def test_odd_replicas_of_traffic(self) -> None:
        """The good sums of a lost VM are appended."""
        self._run(self._replicate)

    async def _replicate(self, rig: Rig) -> None:
        await rig.start()
        keeper = rig.nodes[0].replicator
        good = {
            'vm': 'gone',
            'incarnation': '1',
            'sequence': 1,
            'from_ms': 0,
            'to_ms': 1,
            'rows': [],
        }
        odd: list[Any] = [b'x', 5, {'vm': b'x'}, {**good, 'rows': [b'y']}]
        address = rig.nodes[0].cfg.fleet_address
        message = cbor2.dumps(['127.0.0.1:5', 1, [*odd, good]])
        await post_message(address, '/traffic', message)
        await keeper.append_orphaned(0)
        await keeper.append_orphaned(100)
        self.assertEqual(1, rig.store.end('wagtailfork-traffic'))

    def _run(self, scenario: Callable[[Rig], Awaitable[None]]) -> None:
        failures = Failures()
        logging.getLogger().addHandler(failures)
        try:
            run_scenario(scenario)
        finally:
            logging.getLogger().removeHandler(failures)
        self.assertEqual([], failures.seen)

    async def _check_service(self, rig: Rig) -> None:
        """Check that all VMs serve and follow a later change."""
        rig.register(rig.backends['b1'], seq=77, warmupLeftMs=1)
        await rig.until(lambda: _all_have_warm_up(rig, 'b1'))
        for node in rig.nodes:
            self.assertEqual({'b0', 'b1'}, set(node.view.servers))
        for number in range(CALLS):
            for index, _ in enumerate(rig.nodes):
                request_id = f'r{number}-{index}'
                response = await rig.call('/pay/1', request_id, b'x', index)
                self.assertEqual(200, response.status)


def _render_entry(changes: dict[str, Any]) -> bytes:
    fields = {
        'service': 'stock',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'warmupLeftMs': 0,
        'seq': 1,
        'born': 1,
        **changes,
    }
    present = {
        name: value for name, value in fields.items() if value is not MISSING
    }
    return json.dumps(present).encode()


def _write_odd_servers(rig: Rig) -> None:
    for number, fields in enumerate(ODD_FIELDS):
        raw = _render_entry(fields)
        rig.store.put(SERVERS_TOPIC, f'odd-field-{number}', raw)
    for name in ODD_NAMES:
        rig.store.put(SERVERS_TOPIC, name, _render_entry({}))
    for number, raw in enumerate(ODD_BYTES):
        rig.store.put(SERVERS_TOPIC, f'odd-bytes-{number}', raw)


def _all_have_warm_up(rig: Rig, name: str) -> bool:
    servers = [node.view.servers.get(name) for node in rig.nodes]
    return all(one is not None and one.warm_up_s for one in servers)


def _member_row(address: Any, incarnation: Any) -> list[Any]:
    return [address, '80', 'a', 'r', incarnation, 1, 1, 1, 1, 1, 1]


def _own_row(node: Any) -> list[list[Any]]:
    me = node.membership.me
    row = _member_row(me.address, me.incarnation)
    return [[*row[:5], me.heartbeat_count + 1, *row[6:]]]


def _odd_rows() -> list[Any]:
    odd_numbers = (HUGE, -1, 1.5, 'x', None, True, float('nan'))
    rows: list[Any] = [
        _member_row('127.0.0.1:6', number) for number in odd_numbers
    ]
    odd_addresses = ('x', '127.0.0.1:99999', ':1', 5, '127.0.0.1:0', 'x:1')
    rows.extend(_member_row(address, 1) for address in odd_addresses)
    for index, odd in ((1, '99999'), (1, 80), (2, 5), (3, None), (9, HUGE)):
        row = _member_row('127.0.0.1:7', 1)
        row[index] = odd
        rows.append(row)
    rows.extend([5, None, [], 'x', [[[[]]]], {'a': 1}])
    return rows


def _send(node: Any, raw: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(raw, split_address(node.cfg.fleet_address))
