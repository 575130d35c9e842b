"""Open connections that stop responding while new ones work."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import attrs
import testtools

from ...fleet.member import Member
from ...fleet.position import Edition
from ...routing.candidate import FRESH_REPORT_S
from ...tests.relay import Relay
from .. import prober
from .rig import CONFIG_TOPIC, Rig, free_address, make_config

CALLS = 6
LONG_MARGIN_S = 0.4


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(':')[2])


def run_scenario(
    scenario: Callable[[Rig, list[Relay]], Awaitable[None]],
) -> None:
    """Run a scenario on a rig of its own, and close its relays."""

    async def run_with_rig() -> None:
        rig = Rig()
        relays: list[Relay] = []
        try:
            await scenario(rig, relays)
        finally:
            for relay in relays:
                await relay.close()
            await rig.stop()

    asyncio.run(run_with_rig())


class TestUnresponsive(testtools.TestCase):
    """Connections that stop responding are detected and replaced."""

    def test_backend_connections_are_replaced(self) -> None:
        """An unsafe request succeeds although no idle connection responds.

        The probe before the send detects this while nothing has been sent. It
        cannot detect a connection that stopped responding after a load report
        that is still fresh, so the test waits for reports to age.
        """
        # A longer limit prevents false detections on a loaded machine.
        with mock.patch.object(prober, 'REFRESH_MARGIN_S', LONG_MARGIN_S):
            run_scenario(self._silence_backends)

    async def _silence_backends(self, rig: Rig, relays: list[Relay]) -> None:
        await rig.start()
        for backend in rig.backends.values():
            relay = Relay(port_of(backend.address))
            await relay.start()
            relays.append(relay)
            rig.register(backend, address=f'127.0.0.1:{relay.port}', seq=2)
        known = rig.nodes[0].view.servers
        ports = {relay.port for relay in relays}
        await rig.until(
            lambda: {port_of(one.address) for one in known.values()} == ports
        )
        calls = [
            rig.call('/pay/1', f'before{number}', b'x')
            for number in range(CALLS)
        ]
        await asyncio.gather(*calls)
        for relay in relays:
            relay.silence()
        await asyncio.sleep(2 * FRESH_REPORT_S)
        for number in range(CALLS):
            response = await rig.call('/pay/1', f'after{number}', b'x')
            self.assertEqual(200, response.status)
        self.assertEqual(2 * CALLS, len(rig.runs()))
        for _, candidate in rig.nodes[0].backends.candidates():
            self.assertEqual(0, candidate.load.ejected_until_s)
            report = candidate.load.report
            self.assertEqual(0, report.waiting if report else 0)

    def test_store_connections_are_replaced(self) -> None:
        """A new configuration is read over new store connections."""
        run_scenario(self._silence_store)

    async def _silence_store(self, rig: Rig, relays: list[Relay]) -> None:
        await rig.start_store()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(1))
        relay = Relay(port_of(rig.store_address))
        await relay.start()
        relays.append(relay)
        through = f'127.0.0.1:{relay.port}'
        node = rig.add_gateway('vm0', store_address=through, store_wait_s=1)
        await rig.until(lambda: node.source.reads_store)
        relay.silence()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        await rig.until(lambda: node.view.version == 2)

    def test_fetch_from_unresponsive_vm_is_abandoned(self) -> None:
        """A VM that does not respond does not block later fetches."""
        run_scenario(self._silence_vm)

    async def _silence_vm(self, rig: Rig, relays: list[Relay]) -> None:
        await rig.start()
        rig.store.faults.status = 503
        peer = rig.nodes[0].membership.me
        late = rig.add_gateway('vm1')
        unresponsive = await asyncio.start_server(
            lambda _reader, _writer: None,
            '127.0.0.1',
            port_of(free_address()),
        )
        port = unresponsive.sockets[0].getsockname()[1]
        late.link.snapshot_fetcher.fetch_if_newer(
            _with_address(peer, f'127.0.0.1:{port}'),
        )
        late.link.heartbeats.request_heartbeats([peer])
        await rig.until(late.is_ready)
        unresponsive.close()


def _with_address(member: Member, address: str) -> Member:
    return attrs.evolve(member, address=address, edition=Edition(9, 1))
