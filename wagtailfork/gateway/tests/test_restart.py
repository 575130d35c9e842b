"""A VM that starts beside a peer whose knowledge is old."""

import asyncio
from typing import Any

import testtools

from .rig import SERVERS_TOPIC, Rig, run_scenario

CALLS = 20
POLL_S = 0.2  # long polls of the peer, which then stops reading
HEARTBEATS_S = 1.0  # several heartbeats of the peer


def _never() -> bool:
    return False


class TestRestart(testtools.TestCase):
    """What was withdrawn before a start is not in use after it."""

    def test_removed_server_is_not_used(self) -> None:
        """A peer that still lists a server does not bring it back."""
        run_scenario(self._start_beside_old_peer)

    async def _start_beside_old_peer(self, rig: Rig) -> None:
        await rig.start(backends=2, gateways=0)
        peer = rig.add_gateway('peer', store_wait_s=POLL_S)
        await rig.until(peer.is_ready)
        await rig.until(lambda: len(peer.view.servers) == 2)
        source: Any = peer.source
        source.should_read = _never
        await asyncio.sleep(3 * POLL_S)
        rig.store.delete_key(SERVERS_TOPIC, 'b0')
        await asyncio.sleep(3 * POLL_S)
        self.assertIn('b0', peer.view.servers)
        started = rig.add_gateway('restarted')
        await rig.until(lambda: started.source.reads_store)
        await rig.until(lambda: 'b0' not in started.view.servers)
        for number in range(CALLS):
            response = await rig.call('/pay/1', f'r{number}', b'x', node=1)
            self.assertEqual(200, response.status)
        await asyncio.sleep(HEARTBEATS_S)
        self.assertNotIn('b0', started.view.servers)
        self.assertEqual([], rig.backends['b0'].arrivals)
