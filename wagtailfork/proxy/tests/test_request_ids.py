"""Test that a backend server's connection is chosen by the request's id."""

from typing import Any

import testtools

from ...control.objects import Service
from ...routing.tests.scene import Scene
from ...routing.upstream import UpstreamRequest
from ..headers import REQUEST_ID
from ..request import RequestHead, parse_request_head
from .test_sender import FakeResponse, FakeUpstream, make_sender, run_scene

REQUEST_HEAD = RequestHead(
    method='GET',
    path='/s/stockd/item',
    query='',
    headers=[('wagtailfork-customer', 'kiosk'), (REQUEST_ID, 'r1')],
)


class RecordingUpstream(FakeUpstream):
    """Record what is sent."""

    def __init__(self) -> None:
        """Initialize an upstream that was sent nothing."""
        super().__init__()
        self.sent: list[UpstreamRequest] = []

    async def send(self, endpoint: Any, *request: Any) -> FakeResponse:
        """Record the request."""
        self.sent.append(request[0])
        return await super().send(endpoint, *request)


class RequestIdTest(testtools.TestCase):
    """The client of backend servers is told the id that it sends."""

    def test_id_is_told_beside_the_headers(self) -> None:
        """Without it a copy of a shed could pass for a later answer."""
        run_scene(Scene(), self._send)

    async def _send(self, scene: Scene) -> None:
        upstream = RecordingUpstream()
        sender, placement = make_sender(scene, upstream)
        req = parse_request_head(REQUEST_HEAD, 1e9)
        endpoint = await placement.acquire(
            scene.slot_request(), req.fingerprint
        )
        await sender.attempt(req, Service(), endpoint)
        sent = upstream.sent[0]
        self.assertEqual('r1', sent.request_id)
        self.assertEqual('r1', dict(sent.headers)[REQUEST_ID])
