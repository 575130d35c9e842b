"""Callers that read their responses slowly, beside others."""

import asyncio
from typing import Final

import testtools

from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
    serve_request,
)
from ...tests.rig_tools import open_narrow
from .rig import HOST, Rig, run_scenario

# Reading is paused within the last bytes of the response.
LARGE_BYTES: Final = 700000
ANSWER_LIMIT_S: Final = 0.5


async def send_large_lookups(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Respond to lookups with more than a gateway buffers."""
    if req.method == 'GET':
        backend.runs.append(req)
        writer.write(render_response(req, bytes(LARGE_BYTES)))
        return
    await serve_request(backend, req, writer)


async def request_unread(address: str) -> asyncio.StreamWriter:
    """Request a large response over a narrow link and do not read it."""
    reader, writer = await open_narrow(address)
    head = f'GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow\r\n\r\n'
    writer.write(head.encode())
    await reader.readuntil(b'\r\n\r\n')
    return writer


class TestSlowReaders(testtools.TestCase):
    """A caller that does not read delays no other."""

    def test_connection_is_not_reused_while_paused(self) -> None:
        """A payment got no answer on the connection of a complete response.

        It is sent at once: with an older report the server would be probed.
        """
        run_scenario(self._pay_beside_reader)

    async def _pay_beside_reader(self, rig: Rig) -> None:
        await rig.start(backends=1)
        rig.backends['b0'].script = send_large_lookups
        writer = await request_unread(rig.nodes[0].cfg.caller_address)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                response = await rig.call('/pay/1', 'r1', b'x')
        finally:
            writer.close()
        self.assertEqual(200, response.status)
