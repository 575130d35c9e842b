"""Check that a slot comes back wherever an exchange is cut off."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import testtools

from ...control.objects import Service
from ...routing.placement import Placement
from ...routing.tests.scene import Scene
from ..hedger import Hedger
from ..request import Head, parse_head
from ..sender import Sender

HEAD = Head(
    method='GET',
    path='/s/stockd/item',
    query='',
    headers=[('wagtailfork-customer', 'kiosk')],
)
STEPS = 5


@attrs.define(eq=False)
class FakeResponse:
    """Answer with a head and note the closing."""

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    closed: bool = False

    def close(self) -> None:
        """Note that the connection was closed."""
        self.closed = True


@attrs.define(eq=False)
class FakeUpstream:
    """Answer at once, or never where told so."""

    silent: set[str] = attrs.field(factory=set)

    async def send(self, endpoint: Any, *_request: Any) -> FakeResponse:
        """Give the answer's head."""
        if endpoint.name in self.silent:
            await asyncio.Event().wait()
        return FakeResponse()


class FrozenPeers:
    """Never acknowledge anything."""

    async def strike(self, *_what: str) -> None:
        """Wait for ever."""
        await asyncio.Event().wait()

    absolve = strike
    running = strike


class SenderTest(testtools.TestCase):
    """Cut exchanges off at their awkward steps."""

    def test_caller_leaves_while_peers_are_told(self) -> None:
        """Regression: the slot was lost with the exchange."""
        run_scene(Scene(), self._leave_while_telling)

    def test_frozen_peers_hold_nothing_up(self) -> None:
        """Regression: the sweeper waited for each peer in turn."""
        run_scene(Scene(), self._tell_frozen_peers)

    def test_caller_leaves_a_hedged_request(self) -> None:
        """Give both slots back when the caller leaves two silent copies."""
        scene = Scene(regions=('south-tas', 'south-tas'))
        run_scene(scene, self._leave_hedged)

    async def _leave_while_telling(self, scene: Scene) -> None:
        sender, placement = make_sender(scene, FakeUpstream())
        req = parse_head(HEAD, 1e9)
        endpoint = await placement.acquire(scene.demand(), req.fingerprint)
        placement.unanswered.hear(req.fingerprint, 'other', scene.loop.time())
        sending = asyncio.create_task(sender.attempt(req, Service(), endpoint))
        await _pass_turns()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertTrue(sending.cancelled())
        self.assertEqual(0, endpoint.in_flight)

    async def _tell_frozen_peers(self, scene: Scene) -> None:
        sender, placement = make_sender(scene, FakeUpstream())
        placement.unanswered.begin('f', 'b0', now=float('-inf'))
        sender.tell_slow()
        self.assertEqual([], placement.unanswered.due(0))

    async def _leave_hedged(self, scene: Scene) -> None:
        upstream = FakeUpstream({'b0', 'b1'})
        sender, placement = make_sender(scene, upstream)
        hedger = Hedger(sender, placement)
        req = parse_head(HEAD, 1e9)
        endpoint = await placement.acquire(scene.demand(), req.fingerprint)
        service = Service(hedge_percent=5)
        demand = attrs.evolve(
            scene.demand(),
            excluded=frozenset((endpoint.name,)),
        )
        work = hedger.attempt(req, service, demand, endpoint)
        sending = asyncio.create_task(work)
        await asyncio.sleep(1)
        self.assertEqual([1, 1], _in_flight(scene))
        self.assertEqual(1, hedger.hedges)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertEqual([0, 0], _in_flight(scene))


def run_scene(
    scene: Scene,
    work: Callable[[Scene], Awaitable[None]],
) -> None:
    """Run a scene and end what still waits for the frozen peers."""

    async def run_and_end(held: Scene) -> None:
        await work(held)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    scene.run(run_and_end)


def make_sender(
    scene: Scene,
    upstream: FakeUpstream,
) -> tuple[Sender, Placement]:
    """Make a sender over a scene."""
    placement = Placement(
        scene.pool,
        scene.admission,
        clock=scene.loop.time,
    )
    sender = Sender(
        scene.pool,
        scene.admission,
        upstream,  # type: ignore[arg-type]
        placement,
        FrozenPeers(),
    )
    return sender, placement


def _in_flight(scene: Scene) -> list[int]:
    return [endpoint.in_flight for endpoint in scene.pool.every()]


async def _pass_turns() -> None:
    for _turn in range(STEPS):
        await asyncio.sleep(0)
