"""Test that slots are released when an exchange is cancelled."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import testtools

from ...control.objects import Service
from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ...routing.placement import Placement
from ...routing.tests.scene import Scene
from ..headers import REQUEST_ID, SHED
from ..hedger import Hedger
from ..request import RequestHead, parse_request_head
from ..sender import Sender

REQUEST_HEAD = RequestHead(
    method='GET',
    path='/s/stockd/item',
    query='',
    headers=[('wagtailfork-customer', 'kiosk')],
)
EVENT_LOOP_TURNS = 5


@attrs.define(eq=False)
class FakeResponse:
    """Respond with a head and record whether it was closed."""

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    closed: bool = False

    def release(self) -> None:
        """Keep the connection."""

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed = True


@attrs.define(eq=False)
class FakeUpstream:
    """Respond at once, or never for the servers in ``silent``."""

    silent: set[str] = attrs.field(factory=set)
    response: FakeResponse = attrs.field(factory=FakeResponse)
    reused: bool = False

    async def send(self, endpoint: Any, *_request: Any) -> FakeResponse:
        """Return a response head."""
        if endpoint.name in self.silent:
            await asyncio.Event().wait()
        return self.response

    def on_reused_connection(self, _response: Any) -> bool:
        """Return what the test says."""
        return self.reused

    def end_connection(self, _response: Any) -> None:
        """Keep no connections."""

    def retire(self, _address: str) -> None:
        """Keep no connections."""


class HangingNotifier:
    """Never acknowledge a notification."""

    async def notify_strike(self, *_args: str) -> None:
        """Wait forever."""
        await asyncio.Event().wait()

    notify_absolve = notify_strike
    notify_running = notify_strike


class SenderTest(testtools.TestCase):
    """Test cancellation of exchanges and notification of peers."""

    def test_cancel_during_peer_notification(self) -> None:
        """Regression: cancelling during the notification leaked the slot."""
        run_scene(Scene(), self._cancel_during_notification)

    def test_hanging_peers_do_not_block(self) -> None:
        """Regression: the sweeper waited for each peer in turn."""
        run_scene(Scene(), self._notify_hanging_peers)

    def test_cancel_hedged_request(self) -> None:
        """Cancelling a hedged request releases the slots of both copies."""
        scene = Scene(regions=('south-tas', 'south-tas'))
        run_scene(scene, self._cancel_hedged)

    def test_unnamed_copy_of_shed_is_no_refusal(self) -> None:
        """A shed without an id on a kept connection may be an earlier one."""
        for named, reused, denied, expected in (
            (False, True, False, ResultCode.connection_lost),
            (False, True, True, ResultCode.connection_lost),
            (False, False, False, ResultCode.backend_shed),
            (True, True, False, ResultCode.backend_shed),
            (False, False, True, None),
        ):
            run_scene(
                Scene(),
                lambda scene: self._shed(
                    scene, expected, named=named, reused=reused, denied=denied
                ),
            )

    async def _shed(
        self,
        scene: Scene,
        expected: ResultCode | None,
        *,
        named: bool,
        reused: bool,
        denied: bool,
    ) -> None:
        req = parse_request_head(REQUEST_HEAD, 1e9)
        headers = {SHED: '0' if denied else '1'}
        if named:
            headers[REQUEST_ID] = req.request_id
        upstream = FakeUpstream(
            response=FakeResponse(503, headers), reused=reused
        )
        sender, placement = make_sender(scene, upstream)
        endpoint = await placement.acquire(
            scene.slot_request(), req.fingerprint
        )
        code = None
        try:
            await sender.attempt(req, Service(), endpoint)
        except WagtailforkError as exc:
            code = exc.code
        self.assertEqual(expected, code)

    async def _cancel_during_notification(self, scene: Scene) -> None:
        sender, placement = make_sender(scene, FakeUpstream())
        req = parse_request_head(REQUEST_HEAD, 1e9)
        endpoint = await placement.acquire(
            scene.slot_request(), req.fingerprint
        )
        placement.unanswered.record_peer_copy(
            req.fingerprint, 'other', scene.loop.time()
        )
        sending = asyncio.create_task(sender.attempt(req, Service(), endpoint))
        await _run_pending_tasks()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertTrue(sending.cancelled())
        self.assertEqual(0, endpoint.in_flight)

    async def _notify_hanging_peers(self, scene: Scene) -> None:
        sender, placement = make_sender(scene, FakeUpstream())
        placement.unanswered.begin('f', 'b0', now=float('-inf'))
        sender.notify_slow_requests()
        self.assertEqual([], placement.unanswered.due_reports(0))

    async def _cancel_hedged(self, scene: Scene) -> None:
        upstream = FakeUpstream({'b0', 'b1'})
        sender, placement = make_sender(scene, upstream)
        hedger = Hedger(sender, placement)
        req = parse_request_head(REQUEST_HEAD, 1e9)
        endpoint = await placement.acquire(
            scene.slot_request(), req.fingerprint
        )
        service = Service(hedge_percent=5)
        slot_request = attrs.evolve(
            scene.slot_request(),
            excluded=frozenset((endpoint.name,)),
        )
        attempt = hedger.attempt(req, service, slot_request, endpoint)
        sending = asyncio.create_task(attempt)
        await asyncio.sleep(1)
        self.assertEqual([1, 1], _in_flight(scene))
        self.assertEqual(1, hedger.hedges)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertEqual([0, 0], _in_flight(scene))


def run_scene(
    scene: Scene,
    run: Callable[[Scene], Awaitable[None]],
) -> None:
    """Run a scene and cancel tasks that still wait for the peers."""

    async def run_and_cancel(current_scene: Scene) -> None:
        await run(current_scene)
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    scene.run(run_and_cancel)


def make_sender(
    scene: Scene,
    upstream: FakeUpstream,
) -> tuple[Sender, Placement]:
    """Return a sender and its placement for a scene."""
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
        HangingNotifier(),
    )
    return sender, placement


def _in_flight(scene: Scene) -> list[int]:
    return [endpoint.in_flight for endpoint in scene.pool.all_endpoints()]


async def _run_pending_tasks() -> None:
    for _turn in range(EVENT_LOOP_TURNS):
        await asyncio.sleep(0)
