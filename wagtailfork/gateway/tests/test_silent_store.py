"""Changes made while all connections to the store are silent."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools

from ...tests.relay import Relay
from .rig import CONFIG_TOPIC, SERVERS_TOPIC, Rig, make_config

# After a disruption, users hold a VM to the age of its configuration again.
BOUND_AGAIN_S = 4.0


class TestSilentStore(testtools.TestCase):
    """A change is known before its age counts again."""

    def test_silent_poll_delays_no_change(self) -> None:
        """All VMs have the version although the reader's poll is silent."""
        _run_silenced(self._change_configuration)

    async def _change_configuration(self, rig: Rig, relay: Relay) -> None:
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2))
        await rig.until(lambda: _has_version(rig, 2))
        relay.silence()
        rig.store.put(CONFIG_TOPIC, 'config', make_config(3))
        async with asyncio.timeout(BOUND_AGAIN_S):
            await rig.until(lambda: _has_version(rig, 3))

    def test_silent_poll_delays_no_removal(self) -> None:
        """No VM uses the server although the reader's poll is silent."""
        _run_silenced(self._remove_server)

    async def _remove_server(self, rig: Rig, relay: Relay) -> None:
        rig.register(rig.backends['b0'], seq=2, state='draining')
        await rig.until(lambda: _is_draining(rig, 'b0'))
        relay.silence()
        rig.store.delete_key(SERVERS_TOPIC, 'b0')
        async with asyncio.timeout(BOUND_AGAIN_S):
            await rig.until(lambda: _is_unknown(rig, 'b0'))


def _run_silenced(scenario: Callable[[Rig, Relay], Awaitable[None]]) -> None:
    """Run a scenario with two VMs that reach the store through a relay."""

    async def run_with_relay() -> None:
        rig = Rig()
        relay = Relay(int(rig.store_address.rpartition(':')[2]))
        await relay.start()
        try:
            await rig.start(gateways=0)
            through = f'127.0.0.1:{relay.port}'
            rig.add_gateway('vm0', store_address=through)
            rig.add_gateway('vm1', store_address=through)
            await rig.until(lambda: _has_version(rig, 1))
            await rig.until(
                lambda: any(n.source.reads_store for n in rig.nodes)
            )
            await scenario(rig, relay)
        finally:
            await relay.close()
            await rig.stop()

    asyncio.run(run_with_relay())


def _has_version(rig: Rig, version: int) -> bool:
    return all(node.view.version == version for node in rig.nodes)


def _is_draining(rig: Rig, name: str) -> bool:
    servers = [node.view.servers.get(name) for node in rig.nodes]
    return all(one is not None and one.draining for one in servers)


def _is_unknown(rig: Rig, name: str) -> bool:
    return all(name not in node.view.servers for node in rig.nodes)
