"""Requests that bear no id, on connections that others have used."""

import testtools

from ...http1.headers import render_head
from ...http1.responses import BackendResponse
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
    serve_request,
)
from .rig import HOST, Rig, run_scenario

STATED = 'Not-Executed: 1\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
FULL = 503
SERVED = 200  # by the first answer of a connection of its own
PAYMENT = render_head(
    b'POST /pay/1 HTTP/1.1',
    [
        (b'Host', HOST.encode()),
        (b'Request-Deadline-Ms', b'1500'),
        (b'Content-Length', b'1'),
    ],
)


async def pay_unnamed(rig: Rig) -> BackendResponse:
    """Send a payment without an id."""
    address = rig.nodes[0].cfg.caller_address
    return await rig.send_raw(address, PAYMENT, b'x')


class TestMissingIds(testtools.TestCase):
    """A copy of a refusal answers no later request without an id."""

    def test_copy_is_no_answer_without_an_id(self) -> None:
        """A payment that ran was refused on a copy of an earlier refusal."""
        run_scenario(self._pay_twice)

    async def _pay_twice(self, rig: Rig) -> None:
        refused: set[Writer] = set()

        async def refuse_first(
            backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
        ) -> None:
            if len(backend.arrivals) == 1:
                refused.add(writer)
                writer.write(render_response(req, b'', '503 Full', STATED))
                return
            if writer in refused:
                writer.write(REFUSAL)
            await serve_request(backend, req, writer)

        await rig.start(backends=1)
        server = rig.backends['b0']
        server.script = refuse_first
        first = await rig.call('/pay/1', 'r1', b'x')
        second = await pay_unnamed(rig)
        self.assertEqual([FULL, SERVED], [first.status, second.status])
        self.assertEqual(1, len(server.runs))
