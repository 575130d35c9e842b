"""Test where copies of a request go and that hot requests are not delayed."""

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
    """Test one entry VM's placement."""

    def test_hot_request_waits_for_one_answer(self) -> None:
        """Use every server for a request once one copy was answered."""
        scene = _scene()
        placement = Placement(
            scene.pool,
            scene.admission,
            clock=scene.loop.time,
        )
        names = scene.run(lambda running: self._hot(running, placement))
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
            lambda running: placement.acquire(running.slot_request(), 'f'),
        )
        self.assertEqual('b0', found.name)

    async def _hot(self, scene: Scene, placement: Placement) -> list[str]:
        async def one() -> str:
            endpoint = await placement.acquire(scene.slot_request(), 'f')
            await asyncio.sleep(SERVICE_S)
            placement.unanswered.answered('f')
            scene.admission.release(endpoint, SERVICE_S)
            return endpoint.name

        return await asyncio.gather(*(one() for _copy in range(COPIES)))

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 2), min_size=3, max_size=8))
    def test_slow_copies_use_two_servers(self, order: list[int]) -> None:
        """Limit slow copies sent through any three VMs to two servers."""
        scene = _scene()
        vms = [
            Placement(scene.pool, scene.admission, clock=scene.loop.time)
            for _vm in range(3)
        ]

        async def send(_scene: Scene) -> set[str]:
            touched = set()
            for number in order:
                slot_request = scene.slot_request()
                sending = vms[number].acquire(slot_request, 'f')
                touched.add((await sending).name)
                await asyncio.sleep(2 * SLOW_S)
                _exchange_reports(vms, scene.loop.time())
            return touched

        touched = scene.run(send)
        self.assertLessEqual(len(touched), MAX_CRASHED_SERVERS)


class UnansweredTest(testtools.TestCase):
    """Test the record of unanswered requests."""

    def test_only_slow_requests_are_reported(self) -> None:
        """Report a request once it is slow, and not at every sweep."""
        unanswered = Unanswered()
        unanswered.begin('f', 'b0', now=0)
        self.assertEqual([], unanswered.due_reports(SLOW_S / 2))
        self.assertEqual([('f', 'b0')], unanswered.due_reports(SLOW_S))
        self.assertEqual([], unanswered.due_reports(SLOW_S * 2))

    def test_answered_request_is_not_held(self) -> None:
        """Keep no record after a response; keep one again after a crash."""
        unanswered = Unanswered()
        unanswered.answered('f')
        unanswered.begin('f', 'b0', now=0)
        self.assertEqual(0, len(unanswered))
        unanswered.crashed('f', 'b0')
        unanswered.begin('f', 'b1', now=0)
        self.assertEqual(('b1',), unanswered.servers('f', now=0))


def _exchange_reports(vms: list[Placement], now: float) -> None:
    for sender in vms:
        found = sender.unanswered.due_reports(now)
        for receiver in vms:
            if receiver is sender:
                continue
            for fingerprint, backend in found:
                receiver.unanswered.record_peer_copy(fingerprint, backend, now)
