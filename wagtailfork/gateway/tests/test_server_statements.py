"""What backend servers say of themselves: that they leave."""

import asyncio
from typing import Any

import testtools

from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
)
from .rig import Rig, run_scenario

CALLS = 12
GRACE_S = 0.5  # for a changed entry to arrive
ODD_VALUES = ('', '0', '2', 'yes', '-1', '1, 1', 'nan', '9' * 5000, '\xff')


def answer_with(header: str, status: str = '200 OK') -> Any:
    """Return a script that adds a header to its responses."""

    async def respond(
        backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
    ) -> None:
        if status.startswith('200'):
            backend.runs.append(req)
        extra = backend.load_header() + header
        writer.write(render_response(req, b'done', status, extra))

    return respond


class TestLeaving(testtools.TestCase):
    """A server that says that it leaves gets nothing new."""

    def test_leaving_while_the_store_says_ready(self) -> None:
        """Each VM that passed the answer on stops; a new start ends it."""
        run_scenario(self._leave)

    async def _leave(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        leaving = rig.backends['b0']
        leaving.script = answer_with('Server-Leaving: 1\r\n')
        await _call_all(rig, 'before')
        await rig.until(lambda: _told(rig, 'b0'))
        arrived = len(leaving.arrivals)
        rig.register(leaving, seq=5, warmupLeftMs=1)
        await asyncio.sleep(GRACE_S)
        await _call_all(rig, 'after')
        self.assertEqual(arrived, len(leaving.arrivals))
        rig.register(leaving, seq=1, born=2)
        leaving.script = answer_with('')
        await rig.until(lambda: not _told(rig, 'b0'))
        await _call_all(rig, 'again')
        self.assertGreater(len(leaving.arrivals), arrived)

    def test_odd_statements_are_ignored(self) -> None:
        """No server is taken for leaving by mistake."""
        run_scenario(self._odd)

    async def _odd(self, rig: Rig) -> None:
        await rig.start()
        for value in ODD_VALUES:
            header = f'Server-Leaving: {value}\r\n'
            for backend in rig.backends.values():
                backend.script = answer_with(header)
            await _call_all(rig, f'odd-{len(value)}-{value[:4].strip()}')
        self.assertFalse(_told(rig, 'b0') or _told(rig, 'b1'))


async def _call_all(rig: Rig, prefix: str) -> None:
    calls = [
        rig.call('/pay/1', f'{prefix}-{number}', b'x', number % len(rig.nodes))
        for number in range(CALLS)
    ]
    await asyncio.gather(*calls)


def _told(rig: Rig, name: str) -> bool:
    return all(node.view.servers[name].draining for node in rig.nodes)
