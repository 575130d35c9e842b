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


NESTED = b''.join((b'[' * 100000, b']' * 100000))
ODD_OFFSETS = (1, 2)
RECORD_COUNT = 4


def _render_row(offset: int) -> bytes:
    record = NESTED if offset in ODD_OFFSETS else b'7'
    return b'{"offset": %d, "time_ms": 5, "record": %b}' % (offset, record)


async def _respond_with_nested(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Respond to reads of a log whose records are partly nested."""
    while head := await reader.readuntil(b'\r\n\r\n'):
        query = dict(
            pair.split(b'=')
            for pair in head.split(b' ')[1].partition(b'?')[2].split(b'&')
        )
        start, limit = int(query[b'from']), int(query[b'limit'])
        end = min(RECORD_COUNT, start + limit)
        rows = [_render_row(offset) for offset in range(start, end)]
        page = b'{"earliest": 0, "next": %d, "records": [%b]}' % (
            RECORD_COUNT,
            b', '.join(rows),
        )
        writer.write(HEAD.encode() + b'%d\r\n\r\n' % len(page) + page)
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

    def test_nested_records_do_not_stop_the_reader(self) -> None:
        """Each counts as a malformed record; the others are read."""
        records = asyncio.run(self._read_nested())
        expected = {0: 7, 1: None, 2: None, 3: 7}
        self.assertEqual(expected, records)

    async def _read_nested(self) -> dict[int, object]:
        server = await asyncio.start_server(
            _respond_with_nested, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        client = LogClient(f'http://127.0.0.1:{port}', READ_WAIT_S)
        records: dict[int, object] = {}
        while len(records) < RECORD_COUNT:
            page = await client.read('control', len(records))
            for entry in page.records:
                records[entry.offset] = entry.record
        await client.close()
        server.close()
        return records
