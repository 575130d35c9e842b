"""Check that calls to the log service do not interfere with each other."""

import asyncio
import json

import testtools

from ...core.errors import WagtailforkError
from ..log_client import LogClient

PAGE = json.dumps({'earliest': 0, 'next': 0, 'records': []})
HEAD = 'HTTP/1.1 200 OK\r\ncontent-length: '
TIMEOUT_S = 0.3
READ_WAIT_S = 3.0


async def _respond(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Respond to reads after a delay and never to appends."""
    head = await reader.readuntil(b'\r\n\r\n')
    if head.startswith(b'POST'):
        return
    await asyncio.sleep(3 * TIMEOUT_S)
    writer.write(
        f'{HEAD}{len(PAGE)}\r\n\r\n{PAGE}'.encode(),
    )
    await writer.drain()


class LogClientTest(testtools.TestCase):
    """Time out one call of a client while another waits."""

    def test_append_timeout_does_not_abort_read(self) -> None:
        """Regression: replacing the HTTP client aborted its other calls.

        An append that times out replaces the client, which was closed at
        once although a read still used it.
        """
        asyncio.run(self._read_during_append_timeout())

    async def _read_during_append_timeout(self) -> None:
        server = await asyncio.start_server(_respond, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = LogClient(f'http://127.0.0.1:{port}', TIMEOUT_S)
        read_task = asyncio.create_task(client.read('control', 0, READ_WAIT_S))
        append_failed = False
        try:
            await client.append('control', {})
        except WagtailforkError:
            append_failed = True
        page = await read_task
        self.assertTrue(append_failed)
        self.assertEqual([], page.records)
        server.close()
