"""What an id that its caller uses again costs the other callers."""

import testtools

from ...standin.scripted_backend import ReceivedRequest, ScriptedBackend, Writer
from .rig import Rig, run_scenario

MAX_CONNECTIONS = 4  # of a server, from all VMs together
REPEATS = 20
# One in use, and one that ends while the next is opened.
MAX_OPEN = 2


class TestRepeatedIds(testtools.TestCase):
    """One caller's id takes no connections away from others."""

    def test_repeated_id_opens_connections_in_turn(self) -> None:
        """A caller sends one payment after the other with the same id."""
        run_scenario(self._count_open)

    def test_repeated_id_spares_other_vms(self) -> None:
        """Payments at another VM failed, as the server took no connection."""
        run_scenario(self._pay_elsewhere)

    async def _count_open(self, rig: Rig) -> None:
        await rig.start(backends=1)
        server = rig.backends['b0']
        found = []

        async def count_open(
            backend: ScriptedBackend, _req: ReceivedRequest, _writer: Writer
        ) -> None:
            found.append(backend.connections - backend.closed)

        server.prelude = count_open
        statuses = [
            (await rig.call('/pay/1', 'r1', b'x')).status
            for _ in range(REPEATS)
        ]
        self.assertEqual([200] * REPEATS, statuses)
        self.assertLessEqual(max(found), MAX_OPEN)

    async def _pay_elsewhere(self, rig: Rig) -> None:
        await rig.start(backends=1, gateways=2)
        rig.backends['b0'].max_connections = MAX_CONNECTIONS
        statuses = []
        for _ in range(MAX_CONNECTIONS):
            response = await rig.call('/pay/1', 'r1', b'x', node=0)
            statuses.append(response.status)
        response = await rig.call('/pay/2', 'r2', b'x', node=1)
        statuses.append(response.status)
        self.assertEqual({200}, set(statuses))
