"""A store that comes back from an older copy, in a new era."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import testtools

from ...platform.store import StoreClient
from ...platform.traffic import read_store_traffic
from ...traffic.report import TimeRange
from .rig import CONFIG_TOPIC, SERVERS_TOPIC, Rig, make_config, run_scenario

VMS_TOPIC = 'keyed.wagtailfork-vms'
NEWS = 'news'  # a server of a service that no test calls
UNAVAILABLE = 503


class TestServers(testtools.TestCase):
    """The table of servers follows the restored store."""

    def test_removal_after_a_restore_is_seen(self) -> None:
        """Guards against offsets compared across a restore."""
        run_scenario(self._remove_after)

    async def _remove_after(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        await _announce(rig, 5)
        rig.store.restore(copied)
        rig.store.delete_key(SERVERS_TOPIC, 'b0')
        await rig.until(lambda: _all_lack(rig, 'b0'))
        self.assertTrue(_all_have(rig, 'b1'))

    def test_two_restores_in_a_row(self) -> None:
        """The second copy is older than the first."""
        run_scenario(self._restore_twice)

    async def _restore_twice(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        oldest = rig.store.copy_topics()
        await _announce(rig, 3)
        copied = rig.store.copy_topics()
        await _announce(rig, 6)
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        rig.store.restore(oldest)
        rig.register(rig.backends['b0'], seq=9, state='draining')
        await rig.until(lambda: _all_drain(rig, 'b0'))

    def test_reader_away_through_the_restore(self) -> None:
        """An offset that exists again and means another record is not used.

        Guards against a reader that reads on behind the records it missed.
        """
        run_scenario(self._regrow)

    async def _regrow(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        await _announce(rig, 2)
        rig.store.faults.status = UNAVAILABLE
        rig.store.restore(copied)
        rig.store.delete_key(SERVERS_TOPIC, 'b0')
        rig.store.put(SERVERS_TOPIC, NEWS, b'{}')
        rig.store.put(SERVERS_TOPIC, NEWS, b'[]')
        await asyncio.sleep(0.5)
        rig.store.faults.status = 0
        await rig.until(lambda: _all_lack(rig, 'b0'))

    def test_server_that_left_does_not_return(self) -> None:
        """The copy lists it as ready; it left in the lost seconds."""
        run_scenario(self._leave_before)

    async def _leave_before(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        rig.register(rig.backends['b0'], seq=2, state='draining')
        rig.store.delete_key(SERVERS_TOPIC, 'b0')
        await rig.until(lambda: _all_lack(rig, 'b0'))
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        started = rig.add_gateway('started')
        await rig.until(started.is_ready)
        self.assertTrue(_all_lack(rig, 'b0'))
        for number in range(9):
            response = await rig.call('/pay/1', f'r{number}', b'x', node=2)
            self.assertEqual(200, response.status)
        self.assertEqual([], rig.backends['b0'].arrivals)

    def test_drain_of_the_lost_seconds_holds(self) -> None:
        """The copy lists a draining server as ready."""
        run_scenario(self._drain_before)

    async def _drain_before(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        rig.register(rig.backends['b0'], seq=2, state='draining')
        await rig.until(lambda: _all_drain(rig, 'b0'))
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        self.assertTrue(_all_drain(rig, 'b0'))

    def test_address_of_the_lost_seconds_holds(self) -> None:
        """The copy lists the address before a start of the server."""
        run_scenario(self._move_before)

    async def _move_before(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        moved = '127.0.0.1:9'
        rig.register(rig.backends['b0'], address=moved, born=2)
        await rig.until(lambda: _addresses(rig, 'b0') == {moved})
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        self.assertEqual({moved}, _addresses(rig, 'b0'))

    def test_server_of_the_lost_seconds_stays(self) -> None:
        """It is used while it registers again, and gone if it does not."""
        run_scenario(self._join_before)

    async def _join_before(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        joined = await rig.add_backend('b2')
        await rig.add_backend('b3')
        await rig.until(lambda: _all_have(rig, 'b2') and _all_have(rig, 'b3'))
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        self.assertTrue(_all_have(rig, 'b2'))
        rig.register(joined, seq=2)
        await rig.until(lambda: _all_lack(rig, 'b3'))
        self.assertTrue(_all_have(rig, 'b2'))


class TestConfiguration(testtools.TestCase):
    """Changes are in force after a restore, and none is taken back."""

    def test_reader_away_through_the_restore(self) -> None:
        """Guards against a change at an offset that was read before."""
        run_scenario(self._regrow)

    async def _regrow(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        await rig.until(lambda: _versions(rig) == {2})
        rig.store.faults.status = UNAVAILABLE
        rig.store.restore(copied)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(3))
        rig.store.put(CONFIG_TOPIC, 'other', b'{}')
        await asyncio.sleep(0.5)
        rig.store.faults.status = 0
        await rig.until(lambda: _versions(rig) == {3})

    def test_older_version_of_the_copy_is_ignored(self) -> None:
        """The version in force stays until it is written again."""
        run_scenario(self._keep)

    async def _keep(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        await rig.until(lambda: _versions(rig) == {2})
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        self.assertEqual({2}, _versions(rig))
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        rig.store.put(CONFIG_TOPIC, 'config', make_config(3))
        await rig.until(lambda: _versions(rig) == {3})

    def test_version_written_again_with_other_content(self) -> None:
        """Of two documents with one version, that of the later era counts."""
        run_scenario(self._rewrite)

    async def _rewrite(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        copied = rig.store.copy_topics()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        await rig.until(lambda: _versions(rig) == {2})
        rig.store.restore(copied)
        again = make_config(2, extra=_route('/extra/'))
        rig.store.put(CONFIG_TOPIC, 'config', again)
        await rig.until(lambda: _raw_configurations(rig) == {again})


class TestOwnRecords(testtools.TestCase):
    """What the VMs wrote in the lost seconds is written again."""

    def test_registrations(self) -> None:
        """VMs are listed again, for those that start later."""
        run_scenario(self._register)

    async def _register(self, rig: Rig) -> None:
        await rig.start_store()
        copied = rig.store.copy_topics()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(1))
        for number in range(2):
            rig.add_gateway(f'vm{number}')
        await rig.until(rig.all_connected)
        rig.store.restore(copied)
        wanted = {node.membership.me.address for node in rig.nodes}
        await rig.until(lambda: rig.store.keys(VMS_TOPIC) == wanted)

    def test_traffic(self) -> None:
        """Appended sums are in the report, each once."""
        run_scenario(self._append)

    async def _append(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        await rig.call('/look/1')
        await node.ledger.flush()
        copied = rig.store.copy_topics()
        await rig.call('/look/2', 'r2')
        await node.ledger.flush()
        rig.store.restore(copied)
        await rig.until(lambda: _all_in_era(rig, 2))
        async with asyncio.timeout(10):
            while await _count_requests(rig) < 2:
                await asyncio.sleep(0.1)
        self.assertEqual(2, await _count_requests(rig))


async def _announce(rig: Rig, sequence: int) -> None:
    """Let all servers change their entries, and wait until it is seen."""
    for backend in rig.backends.values():
        for warm_ms in (1, 0):
            rig.register(backend, seq=sequence, warmupLeftMs=warm_ms)
    end = rig.store.end(SERVERS_TOPIC)
    await rig.until(lambda: all(_offset(node) == end for node in rig.nodes))


def _offset(node: Any) -> int:
    position = node.view.position
    return int(getattr(position, 'offset', position))


async def _count_requests(rig: Rig) -> int:
    time_range = TimeRange(from_ms=0, to_ms=round(time.time() * 1000) + 1000)
    store = StoreClient(rig.store_address)
    rows = await read_store_traffic(store, time_range)
    return sum(row.requests for row in rows)


def _route(prefix: str) -> dict[str, Any]:
    document = json.loads(make_config(1))
    return {**document['routes']['look'], 'pathPrefix': prefix}


def _all(rig: Rig, condition: Callable[[Any], bool]) -> bool:
    return all(condition(node.view) for node in rig.nodes)


def _all_in_era(rig: Rig, era: int) -> bool:
    return _all(rig, lambda view: view.position.era == era)


def _all_have(rig: Rig, name: str) -> bool:
    return _all(rig, lambda view: name in view.servers)


def _all_lack(rig: Rig, name: str) -> bool:
    return _all(rig, lambda view: name not in view.servers)


def _all_drain(rig: Rig, name: str) -> bool:
    return _all(
        rig,
        lambda view: name in view.servers and view.servers[name].draining,
    )


def _addresses(rig: Rig, name: str) -> set[str]:
    return {node.view.servers[name].address for node in rig.nodes}


def _versions(rig: Rig) -> set[int]:
    return {node.view.version for node in rig.nodes}


def _raw_configurations(rig: Rig) -> set[bytes]:
    return {node.view.raw_configuration for node in rig.nodes}
