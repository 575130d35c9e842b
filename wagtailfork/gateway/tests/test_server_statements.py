"""What backend servers say of themselves: that they leave, or want a wait."""

import asyncio
from typing import Any

import testtools

from ...core.clock import now_s
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
)
from .rig import Rig, run_scenario

CALLS = 12
WAIT_S = 1.2
GRACE_S = 0.5  # after a refusal, until its wait binds
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


class TestWait(testtools.TestCase):
    """A server that refuses and names a wait gets at most two requests."""

    def test_wait_binds_the_vm(self) -> None:
        """The only server of a service is used again afterwards."""
        run_scenario(self._wait)

    async def _wait(self, rig: Rig) -> None:
        await rig.start(backends=1)
        waiting = rig.backends['b0']
        header = f'Not-Executed: 1\r\nRetry-After: {WAIT_S}\r\n'
        waiting.script = answer_with(header, '503 Busy')
        while not waiting.arrivals:
            await _call_all(rig, f'find-{now_s()}')
        refused_at_s = waiting.arrivals[0].at_s
        while now_s() < refused_at_s + WAIT_S:
            await _call_all(rig, f'during-{now_s()}')
        late = [
            req
            for req in waiting.arrivals
            if refused_at_s + GRACE_S < req.at_s < refused_at_s + WAIT_S
        ]
        self.assertLessEqual(len(late), 2)
        arrived = len(waiting.arrivals)
        waiting.script = answer_with('')
        async with asyncio.timeout(5):
            while len(waiting.arrivals) == arrived:
                await _call_all(rig, f'after-{now_s()}')

    def test_wait_of_all_servers_is_told(self) -> None:
        """Callers are refused at once, with the time that is left."""
        run_scenario(self._wait_all)

    async def _wait_all(self, rig: Rig) -> None:
        await rig.start()
        header = f'Not-Executed: 1\r\nRetry-After: {WAIT_S}\r\n'
        for backend in rig.backends.values():
            backend.script = answer_with(header, '503 Busy')
        await rig.call('/pay/1', 'first', b'x')
        started_s = now_s()
        response = await rig.call('/pay/1', 'second', b'x')
        self.assertEqual(503, response.status)
        self.assertLess(now_s() - started_s, GRACE_S)
        told_s = float(response.find(b'retry-after') or b'0')
        self.assertGreater(told_s, WAIT_S / 2)
        self.assertLessEqual(told_s, WAIT_S)


async def _call_all(rig: Rig, prefix: str) -> None:
    calls = [
        rig.call('/pay/1', f'{prefix}-{number}', b'x', number % len(rig.nodes))
        for number in range(CALLS)
    ]
    await asyncio.gather(*calls)


def _told(rig: Rig, name: str) -> bool:
    return all(node.view.servers[name].draining for node in rig.nodes)
