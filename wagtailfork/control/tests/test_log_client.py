"""Check that calls to the log do not disturb each other."""

import asyncio
import json

import testtools

from ...core.errors import WagtailforkError
from ..log_client import LogClient

PAGE = json.dumps({'earliest': 0, 'next': 0, 'records': []})
HEAD = 'HTTP/1.1 200 OK\r\ncontent-length: '
LIMIT_S = 0.3
READ_WAIT_S = 3.0


async def _answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer reads after a while and appends never."""
    head = await reader.readuntil(b'\r\n\r\n')
    if head.startswith(b'POST'):
        return
    await asyncio.sleep(3 * LIMIT_S)
    writer.write(
        f'{HEAD}{len(PAGE)}\r\n\r\n{PAGE}'.encode(),
    )
    await writer.drain()


class LogClientTest(testtools.TestCase):
    """Let one call of a client time out while another waits."""

    def test_silent_append_leaves_the_read_alone(self) -> None:
        """Regression: replacing a silent client ended its other calls."""
        asyncio.run(self._read_beside_append())

    async def _read_beside_append(self) -> None:
        server = await asyncio.start_server(_answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = LogClient(f'http://127.0.0.1:{port}', LIMIT_S)
        reading = asyncio.create_task(client.read('control', 0, READ_WAIT_S))
        failed = False
        try:
            await client.append('control', {})
        except WagtailforkError:
            failed = True
        page = await reading
        self.assertTrue(failed)
        self.assertEqual([], page.records)
        server.close()
