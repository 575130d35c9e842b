"""What is read from an answer that belongs to another request: nothing."""

import asyncio

import attrs
import testtools

from ...routing.candidate import FRESH_REPORT_S, Candidate
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
    serve_request,
)
from .rig import HOST, Rig, run_scenario

CALLS = 6
AGING_S = 3 * FRESH_REPORT_S  # so that a probe comes before the next request
OK = 200
# Of a server that is slow and full, limits, leaves and wants a wait.
STATEMENTS = (
    'Not-Executed: 1\r\nRetry-After: 60\r\nServer-Leaving: 1\r\n'
    'Server-Limit: 0.5\r\nServer-Load: 9,9,9,900\r\nKeep-Alive: timeout=1\r\n'
)
UNNAMED_HEAD = (
    f'POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n\r\n'
).encode()
OWN_LIMIT = 1000.0
HEALTH_PATH = '/health'


@attrs.define(eq=False)
class CopyingBackend:
    """Send a copy on each kept connection, before the expected answer."""

    probes: bool  # before answers to health checks, else to requests
    copies: int = 0
    _used: dict[Writer, ReceivedRequest] = attrs.field(factory=dict)

    async def copy(
        self, _backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
    ) -> None:
        """Send a refusal that names an earlier request."""
        if writer in self._used and self.probes == _is_probe(req):
            self.copies += 1
            earlier = ReceivedRequest('POST', '/', {'request-id': 'old'}, b'')
            writer.write(render_response(earlier, b'', '503 Full', STATEMENTS))
        self._used[writer] = req

    async def copy_health(
        self, backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
    ) -> None:
        """Repeat a health answer from before the server had a limit."""
        if writer in self._used and _is_probe(req):
            self.copies += 1
            extra = 'Server-Load: 0,0,4,100\r\n'
            writer.write(render_response(req, b'', extra=extra))
        self._used[writer] = req


async def answer_plainly(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Run the request and say nothing else."""
    backend.runs.append(req)
    writer.write(render_response(req))


def _is_probe(req: ReceivedRequest) -> bool:
    return req.path == HEALTH_PATH


class TestSkippedAnswers(testtools.TestCase):
    """A skipped answer is counted and logged, and says nothing."""

    def test_before_the_answer_to_a_request(self) -> None:
        """The server is neither left out nor limited, nor taken for slow."""
        run_scenario(lambda rig: self._skip(rig, probes=False))

    def test_before_the_answer_to_a_probe(self) -> None:
        """The same where the answer to a health check is expected."""
        run_scenario(lambda rig: self._skip(rig, probes=True))

    def test_copied_health_answer_withdraws_no_limit(self) -> None:
        """It bears no id, so it may be taken for the answer to a probe."""
        run_scenario(self._copy_health)

    def test_no_probe_after_a_request_without_an_id(self) -> None:
        """A copy of its answer passed for the answer to a health check."""
        run_scenario(self._pay_unnamed)

    async def _pay_unnamed(self, rig: Rig) -> None:
        used: set[Writer] = set()
        probed: list[Writer] = []

        async def record(
            _backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
        ) -> None:
            if not _is_probe(req):
                used.add(writer)
            elif writer in used:
                probed.append(writer)

        await rig.start(backends=1)
        rig.backends['b0'].prelude = record
        rig.backends['b0'].script = answer_plainly
        address = rig.nodes[0].cfg.caller_address
        for _ in range(CALLS):
            response = await rig.send_raw(address, UNNAMED_HEAD, b'x')
            self.assertEqual(OK, response.status)
            await asyncio.sleep(AGING_S)
        self.assertEqual([], probed)
        self.assertEqual(CALLS, len(used))

    async def _skip(self, rig: Rig, *, probes: bool) -> None:
        await rig.start(backends=1)
        copying = CopyingBackend(probes=probes)
        rig.backends['b0'].prelude = copying.copy
        rig.backends['b0'].script = answer_plainly
        for number in range(CALLS):
            response = await rig.call('/pay/1', f'r{number}', b'x')
            self.assertEqual(OK, response.status)
            self._check_unmoved(rig)
            await asyncio.sleep(AGING_S if probes else 0)
        self.assertGreater(copying.copies, 0)
        answers = rig.nodes[0].meters.answers
        skipped = sum(answers[kind] for kind in answers if kind.skipped)
        self.assertEqual(0 if probes else copying.copies, skipped)

    def _check_unmoved(self, rig: Rig) -> None:
        candidate = _candidate(rig)
        self.assertFalse(rig.nodes[0].view.servers['b0'].draining)
        self.assertFalse(candidate.draining)
        self.assertFalse(candidate.limit.was_named)
        self.assertEqual(0, candidate.wait_until_s)
        self.assertEqual(0, candidate.load.ejected_until_s)
        assert candidate.load.report is not None  # noqa: S101
        self.assertEqual(1, candidate.load.report.slowness)
        self.assertEqual(4, candidate.load.slots)

    async def _copy_health(self, rig: Rig) -> None:
        limits: list[float] = []

        async def read_limit(
            backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
        ) -> None:
            limits.append(_candidate(rig).limit.requests_per_s)
            await serve_request(backend, req, writer)

        await rig.start(backends=1)
        copying = CopyingBackend(probes=True)
        backend = rig.backends['b0']
        backend.limit_per_s = OWN_LIMIT
        backend.script = read_limit
        backend.prelude = copying.copy_health
        for number in range(CALLS):
            response = await rig.call('/pay/1', f'r{number}', b'x')
            self.assertEqual(OK, response.status)
            await asyncio.sleep(AGING_S)
        self.assertGreater(copying.copies, 0)
        self.assertEqual([OWN_LIMIT] * CALLS, limits)


def _candidate(rig: Rig) -> Candidate:
    candidate = rig.nodes[0].backends.candidate('b0')
    assert candidate is not None  # noqa: S101
    return candidate
