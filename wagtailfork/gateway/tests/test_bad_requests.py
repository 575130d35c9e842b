"""Requests that servers refuse for what their caller sent."""

import testtools

from ...core.clock import now_s
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
    serve_request,
)
from .rig import Rig, run_scenario

BAD = 400
REQUESTS = 20
STATED = 'Not-Executed: 1\r\n'


async def refuse_bad(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Refuse requests that the server cannot read; run the others."""
    if req.path.endswith('/bad'):
        writer.write(render_response(req, b'', '400 Bad Request', STATED))
        return
    await serve_request(backend, req, writer)


class TestBadRequests(testtools.TestCase):
    """What a caller does wrong is not held against the servers."""

    def test_bad_requests_count_as_no_failure(self) -> None:
        """A caller got 503 for a 400, and its servers counted as failing."""
        run_scenario(self._send_bad)

    async def _send_bad(self, rig: Rig) -> None:
        await rig.start()
        for backend in rig.backends.values():
            backend.script = refuse_bad
        statuses = {
            (await rig.call('/pay/bad', f'r{number}', b'x')).status
            for number in range(REQUESTS)
        }
        failing = {
            server.name: candidate.load.failing(now_s())
            for server, candidate in rig.nodes[0].backends.candidates()
        }
        self.assertEqual(dict.fromkeys(rig.backends, 0), failing)
        self.assertEqual({BAD}, statuses)
