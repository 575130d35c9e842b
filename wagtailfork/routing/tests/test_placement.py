"""Check where copies of a request go, and that hot requests are not held."""

import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ..placement import Placement
from ..quarantine import MAX_CRASHED_SERVERS
from ..unanswered import SLOW_S, Unanswered
from .scene import NEAR, Scene

SERVERS = 5
SERVICE_S = 0.008
COPIES = 16


def _scene() -> Scene:
    return Scene(regions=(NEAR,) * SERVERS, slots=4)


class PlacementTest(testtools.TestCase):
    """Look at one entry VM's placement."""

    def test_hot_request_waits_for_one_answer(self) -> None:
        """Send copies of a good request to every server as soon as known."""
        scene = _scene()
        placement = Placement(
            scene.pool,
            scene.admission,
            clock=scene.loop.time,
        )
        names = scene.run(lambda held: self._hot(held, placement))
        self.assertEqual(0, placement.pinned)
        self.assertEqual(SERVERS, len(set(names)))

    def test_only_server_takes_a_struck_request(self) -> None:
        """Regression: a service of one server refused it for ten minutes."""
        scene = Scene(regions=(NEAR,))
        placement = Placement(
            scene.pool,
            scene.admission,
            clock=scene.loop.time,
        )
        placement.strike('f', 'b0')
        found = scene.run(
            lambda held: placement.acquire(held.demand(), 'f'),
        )
        self.assertEqual('b0', found.name)

    async def _hot(self, scene: Scene, placement: Placement) -> list[str]:
        async def one() -> str:
            endpoint = await placement.acquire(scene.demand(), 'f')
            await asyncio.sleep(SERVICE_S)
            placement.unanswered.answered('f')
            scene.admission.release(endpoint, SERVICE_S)
            return endpoint.name

        return await asyncio.gather(*(one() for _copy in range(COPIES)))

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 2), min_size=3, max_size=8))
    def test_slow_copies_touch_two_servers(self, order: list[int]) -> None:
        """Touch two servers with slow copies sent through any three VMs."""
        scene = _scene()
        vms = [
            Placement(scene.pool, scene.admission, clock=scene.loop.time)
            for _vm in range(3)
        ]

        async def send(_scene: Scene) -> set[str]:
            touched = set()
            for number in order:
                demand = scene.demand()
                sending = vms[number].acquire(demand, 'f')
                touched.add((await sending).name)
                await asyncio.sleep(2 * SLOW_S)
                _tell(vms, scene.loop.time())
            return touched

        touched = scene.run(send)
        self.assertLessEqual(len(touched), MAX_CRASHED_SERVERS)


class UnansweredTest(testtools.TestCase):
    """Look at the record of requests without an answer."""

    def test_peers_hear_of_slow_requests_only(self) -> None:
        """Tell of a request once it is slow, and not at every sweep."""
        held = Unanswered()
        held.begin('f', 'b0', now=0)
        self.assertEqual([], held.due(SLOW_S / 2))
        self.assertEqual([('f', 'b0')], held.due(SLOW_S))
        self.assertEqual([], held.due(SLOW_S * 2))

    def test_answered_request_is_not_held(self) -> None:
        """Hold nothing of a good request; hold it anew after a crash."""
        held = Unanswered()
        held.answered('f')
        held.begin('f', 'b0', now=0)
        self.assertEqual(0, len(held))
        held.crashed('f', 'b0')
        held.begin('f', 'b1', now=0)
        self.assertEqual(('b1',), held.servers('f', now=0))


def _tell(vms: list[Placement], now: float) -> None:
    for teller in vms:
        found = teller.unanswered.due(now)
        for hearer in vms:
            if hearer is teller:
                continue
            for fingerprint, backend in found:
                hearer.unanswered.hear(fingerprint, backend, now)
