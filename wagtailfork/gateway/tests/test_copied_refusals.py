"""Copies of refusals that come when their request is under way again."""

from collections.abc import Awaitable, Callable

import attrs
import testtools

from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
    serve_request,
)
from .rig import SERVERS_TOPIC, Rig, run_scenario

PAYMENTS = 8
STATED = 'Not-Executed: 1\r\n'
FULL = '503 Full'
MISDIRECTED = '421 Misdirected Request'
REQUEST_ID = 'request-id'


@attrs.define(eq=False)
class CopyingBackend:
    """Refuse each id once; repeat a refusal if its id comes back to it.

    It comes back if it arrives once more on the connection of the refusal.
    """

    returned: int = 0
    _refused: set[str] = attrs.field(factory=set)
    _carried: set[tuple[Writer, str]] = attrs.field(factory=set)

    async def repeat_refusal(
        self, _backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
    ) -> None:
        """Send a copy of the refusal before the answer."""
        pair = (writer, req.headers.get(REQUEST_ID, ''))
        if pair[1] and pair in self._carried:
            self.returned += 1
            status = FULL if pair[1] in self._refused else MISDIRECTED
            writer.write(render_refusal(req, status))
            await writer.drain()
        self._carried.add(pair)

    async def refuse_once(
        self, backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
    ) -> None:
        """Refuse the first arrival of an id and run the others."""
        request_id = req.headers[REQUEST_ID]
        if request_id in self._refused:
            await serve_request(backend, req, writer)
            return
        self._refused.add(request_id)
        writer.write(render_refusal(req, FULL))


def render_refusal(req: ReceivedRequest, status: str) -> bytes:
    """Render a response that states that the request did not run."""
    return render_response(req, b'', status, STATED)


Scenario = Callable[[Rig, CopyingBackend], Awaitable[None]]


def run_copying(scenario: Scenario) -> None:
    """Run a scenario against one server that repeats its refusals."""

    async def run(rig: Rig) -> None:
        await rig.start(backends=1)
        copying = CopyingBackend()
        rig.backends['b0'].prelude = copying.repeat_refusal
        await scenario(rig, copying)

    run_scenario(run)


class TestCopiedRefusals(testtools.TestCase):
    """A copy of a refusal answers no later send of the same id."""

    def test_copy_is_no_answer_to_a_second_entry(self) -> None:
        """A server has a new name; its former entry names its address."""
        run_copying(self._pay_renamed)

    def test_copy_is_no_answer_to_its_id_sent_again(self) -> None:
        """A caller sends a refused payment once more with the same id."""
        run_copying(self._pay_again)

    async def _pay_renamed(self, rig: Rig, copying: CopyingBackend) -> None:
        backend = rig.backends['b0']
        backend.names_itself = False
        ids = [f'r{number}' for number in range(PAYMENTS)]
        statuses = []
        for request_id in ids:
            former = backend.name
            backend.name = f'b-{request_id}'
            rig.register(backend)
            await rig.until(lambda: backend.name in rig.nodes[0].view.servers)
            response = await rig.call('/pay/1', request_id, b'x')
            statuses.append(response.status)
            rig.store.delete_key(SERVERS_TOPIC, former)
            await rig.until(lambda: len(rig.nodes[0].view.servers) == 1)
        self.assertGreater(len(backend.arrivals), PAYMENTS)
        self.assertEqual([200] * PAYMENTS, statuses)
        self.assertEqual(ids, rig.runs())
        self.assertEqual(0, copying.returned)

    async def _pay_again(self, rig: Rig, copying: CopyingBackend) -> None:
        rig.backends['b0'].script = copying.refuse_once
        refused = await rig.call('/pay/1', 'r1', b'x')
        paid = await rig.call('/pay/1', 'r1', b'x')
        self.assertEqual([503, 200], [refused.status, paid.status])
        self.assertEqual(['r1'], rig.runs())
        self.assertEqual(0, copying.returned)
