"""Refusals that callers take for a promise that their request has not run."""

import asyncio
import contextlib
from typing import Any, Final

import attrs
import testtools

from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
)
from ..meters import AnswerKind
from .rig import LIMIT_S, Rig, run_scenario

PROMISES: Final = (408, 421, 429, 503)
RUN_STATUSES: Final = ('408 Timeout', '429 Too Many', '503 Unavailable')
UNKNOWN: Final = 502
SETTLE_S: Final = 0.2  # for a send that comes after the response
STATED: Final = 'Not-Executed: 1\r\n'
# Answers whose status or value contradicts that the request did not run, the
# status that the caller gets, and whether it is the server's own answer.
CONTRADICTIONS: Final = (
    ('500 Internal Server Error', STATED, 500, True),
    ('504 Gateway Timeout', STATED, 504, True),
    ('502 Bad Gateway', STATED, 502, True),
    ('503 Full', 'Not-Executed: 0\r\n', UNKNOWN, False),
    ('503 Full', 'Not-Executed: False\r\n', UNKNOWN, False),
    ('503 Full', 'Not-Executed: \r\n', UNKNOWN, False),
    ('503 Full', f'{STATED}Not-Executed: 0\r\n', UNKNOWN, False),
)


def run_and_answer(status: str, extra: str = '') -> Any:
    """Return a script that runs the request and answers with a status."""

    async def script(
        backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
    ) -> None:
        backend.runs.append(req)
        writer.write(render_response(req, status=status, extra=extra))

    return script


async def run_with_trailer(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Run the request; end the chunked response with a refusal's header."""
    backend.runs.append(req)
    head = render_response(req, b'').replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    writer.write(b'%b4\r\ndone\r\n0\r\nNot-Executed: 1\r\n\r\n' % head)


async def run_with_header(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Run the request; respond with success and a refusal's header."""
    backend.runs.append(req)
    writer.write(render_response(req, extra='Not-Executed: 1\r\n'))


async def refuse_then_misdirect(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Refuse the first request, then send a 421 that names no request."""
    if len(backend.arrivals) == 1:
        writer.write(
            render_response(req, b'', '503 Full', 'Not-Executed: 1\r\n')
        )
        return
    backend.runs.append(req)
    writer.write(b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n')
    writer.write(render_response(req))


async def refuse_twice(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Refuse the first request, twice; run the others late."""
    if len(backend.arrivals) == 1:
        refusal = render_response(req, b'', '503 Full', 'Not-Executed: 1\r\n')
        writer.write(refusal)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(refusal)
        return
    backend.runs.append(req)
    await asyncio.sleep(0.05)
    writer.write(render_response(req))


@attrs.define(eq=False)
class UncancellablePlacer:
    """Place a request although its task is cancelled meanwhile."""

    placer: Any

    async def place(self, queue: Any, queued: Any) -> Any:
        """Ignore one cancellation, then place."""
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(LIMIT_S)
        return await self.placer.place(queue, queued)

    def end(self, placement: Any, queue: Any, outcome: Any) -> None:
        """Free the slot."""
        self.placer.end(placement, queue, outcome)


class TestRefusals(testtools.TestCase):
    """A refusal is passed on only if the server states that nothing ran."""

    def test_unstated_refusal_is_no_promise(self) -> None:
        """A server runs a payment and answers 503, 429 or 408."""
        for status in RUN_STATUSES:
            with self.subTest(status):
                run_scenario(
                    lambda rig: self._pay_unstated(rig, run_and_answer(status))
                )

    def test_contradicted_refusal_is_no_promise(self) -> None:
        """A server runs a payment and denies it, or fails and denies it."""
        for status, extra, expected, handed_on in CONTRADICTIONS:
            with self.subTest(status=status, extra=extra):
                script = run_and_answer(status, extra)
                run_scenario(
                    lambda rig: self._pay_unstated(
                        rig, script, expected, handed_on=handed_on
                    )
                )

    def test_unstated_refusal_of_lookup_is_passed_on(self) -> None:
        """A repeatable request gets the status of its server."""
        run_scenario(self._look)

    def test_trailer_is_no_refusal(self) -> None:
        """A payment whose response ends with a trailer has run once."""
        run_scenario(lambda rig: self._pay_once(rig, run_with_trailer))

    def test_success_is_no_refusal(self) -> None:
        """A payment whose success bears a refusal's header has run once."""
        run_scenario(lambda rig: self._pay_once(rig, run_with_header))

    def test_copy_of_refusal_refuses_no_other(self) -> None:
        """A copy of a refusal on a kept connection refuses no other payment."""
        run_scenario(self._pay_after_copy)

    def test_nothing_is_sent_after_a_refusal(self) -> None:
        """A sender outlives the refusal of its request at the deadline."""
        run_scenario(self._pay_late)

    async def _pay_late(self, rig: Rig) -> None:
        await rig.start(backends=1)
        sender = rig.nodes[0].forwarder.sender
        placer: Any = UncancellablePlacer(sender.placer)
        sender.placer = placer
        response = await rig.call('/pay/1', 'r1', b'x', deadline_ms=300)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(503, response.status)
        self.assertEqual([], rig.runs())

    def test_unnamed_misdirection_refuses_no_other(self) -> None:
        """A 421 without an id on a kept connection refuses no payment."""
        run_scenario(self._pay_after_misdirection)

    async def _pay_after_misdirection(self, rig: Rig) -> None:
        await rig.start(backends=1)
        rig.backends['b0'].script = refuse_then_misdirect
        refused = await rig.call('/pay/1', 'r1', b'x')
        self.assertEqual(503, refused.status)
        paid = await rig.call('/pay/2', 'r2', b'x')
        self.assertEqual(['r2'], rig.runs())
        self.assertNotIn(paid.status, PROMISES)
        answers = rig.nodes[0].meters.answers
        misdirection = AnswerKind(
            status=421, stated=False, named=False, first=False, skipped=True
        )
        refusal = AnswerKind(
            status=503, stated=True, named=True, first=False, skipped=False
        )
        self.assertEqual([1, 1], [answers[misdirection], answers[refusal]])

    async def _pay_unstated(
        self,
        rig: Rig,
        script: Any,
        expected: int = UNKNOWN,
        *,
        handed_on: bool = False,
    ) -> None:
        await rig.start()
        for backend in rig.backends.values():
            backend.script = script
        response = await rig.call('/pay/1', 'r1', b'x')
        self.assertEqual(['r1'], rig.runs())
        self.assertEqual(expected, response.status)
        self.assertIsNone(response.find(b'not-executed'))
        signed = response.find(b'server-signature') is not None
        self.assertEqual(handed_on, signed)

    async def _look(self, rig: Rig) -> None:
        await rig.start(backends=1)
        rig.backends['b0'].script = run_and_answer('429 Too Many')
        response = await rig.call('/look/1')
        self.assertEqual(429, response.status)
        self.assertIsNotNone(response.find(b'server-signature'))

    async def _pay_once(self, rig: Rig, script: Any) -> None:
        await rig.start()
        for backend in rig.backends.values():
            backend.script = script
        response = await rig.call('/pay/1', 'r1', b'x')
        self.assertEqual(['r1'], rig.runs())
        self.assertEqual(200, response.status)
        self.assertEqual(b'done', response.body.payload())
        self.assertIsNone(response.find(b'not-executed'))

    async def _pay_after_copy(self, rig: Rig) -> None:
        await rig.start(backends=1)
        rig.backends['b0'].script = refuse_twice
        refused = await rig.call('/pay/1', 'r1', b'x')
        self.assertEqual(503, refused.status)
        paid = await rig.call('/pay/2', 'r2', b'x')
        self.assertEqual(['r2'], rig.runs())
        self.assertNotIn(paid.status, PROMISES)
