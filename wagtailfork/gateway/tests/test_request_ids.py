"""Requests whose id names nothing or is odd, and answers too many."""

import asyncio

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

COPY_LEAD_S = 0.01  # of a copy before the expected response
UNNAMED_PATH = '/pay/unnamed'
OK = 200
ODD_IDS = (
    b'x' * 3000,
    b'\xff\xfe\x80',
    'žluťoučký'.encode(),
    b'a b\tc',
    b'"quoted" %s {0} = /?&;',
    b'-',
    b'0',
)


async def answer_without_id(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Run the request and send its path back, with no id."""
    backend.runs.append(req)
    unnamed = ReceivedRequest(req.method, req.path, {}, b'')
    writer.write(render_response(unnamed, req.path.encode()))


async def pay(rig: Rig, path: str, request_id: bytes | None) -> BackendResponse:
    """Send a payment with any bytes as its id, or without one."""
    headers = [(b'Host', HOST.encode()), (b'Content-Length', b'1')]
    if request_id is not None:
        headers.append((b'Request-Id', request_id))
    head = render_head(f'POST {path} HTTP/1.1'.encode(), headers)
    return await rig.send_raw(rig.nodes[0].cfg.caller_address, head, b'x')


class TestUnnamedRequests(testtools.TestCase):
    """A request without an id gets its own answer."""

    def test_request_without_an_id_after_another(self) -> None:
        """It goes on a connection that has carried nothing."""
        run_scenario(self._call_unnamed)

    def test_copy_without_an_id_is_no_answer(self) -> None:
        """The kept connection holds a copy that names no request either."""
        run_scenario(self._copy_unnamed)

    async def _call_unnamed(self, rig: Rig) -> None:
        await rig.start(backends=1)
        backend = rig.backends['b0']
        backend.script = answer_without_id
        carried: dict[Writer, int] = {}
        found: list[int] = []

        async def count_carried(
            _backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
        ) -> None:
            if req.path.startswith('/pay/'):
                found.append(carried.get(writer, 0))
            carried[writer] = carried.get(writer, 0) + 1

        backend.prelude = count_carried
        for number in range(4):
            backend.script = serve_request
            named = await rig.call('/pay/0', f'r{number}', b'x')
            self.assertEqual(OK, named.status)
            backend.script = answer_without_id
            unnamed = await pay(rig, f'/pay/{number}', None)
            self.assertEqual(OK, unnamed.status)
            self.assertEqual(f'/pay/{number}'.encode(), unnamed.body.payload())
        self.assertEqual([0, 0, 0, 0], found[1::2])

    async def _copy_unnamed(self, rig: Rig) -> None:
        await rig.start(backends=1)
        backend = rig.backends['b0']
        used: set[Writer] = set()
        copied: list[str] = []

        async def copy_unnamed(
            _backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
        ) -> None:
            if writer in used and req.path == UNNAMED_PATH:
                copied.append(req.path)
                unnamed = ReceivedRequest('POST', '/', {}, b'')
                writer.write(render_response(unnamed, b'copy'))
                await writer.drain()
                await asyncio.sleep(COPY_LEAD_S)
            used.add(writer)

        backend.prelude = copy_unnamed
        for number in range(4):
            backend.script = serve_request
            await rig.call('/pay/named', f'r{number}', b'x')
            self.assertTrue(rig.nodes[0].pool.has_idle(backend.address))
            backend.script = answer_without_id
            unnamed = await pay(rig, UNNAMED_PATH, None)
            self.assertEqual(UNNAMED_PATH.encode(), unnamed.body.payload())
        self.assertEqual([], copied)


class TestOddIds(testtools.TestCase):
    """Any bytes that pass for a header's value serve as an id."""

    def test_odd_ids(self) -> None:
        """Each comes twice; each payment runs once and gets its own id."""
        run_scenario(self._pay_twice)

    async def _pay_twice(self, rig: Rig) -> None:
        await rig.start(backends=1)
        for request_id in ODD_IDS * 2:
            response = await pay(rig, '/pay/1', request_id)
            self.assertEqual(OK, response.status)
            self.assertEqual(request_id, response.find(b'request-id'))
        ran = [name.encode('latin-1') for name in rig.runs()]
        self.assertEqual(list(ODD_IDS * 2), ran)
