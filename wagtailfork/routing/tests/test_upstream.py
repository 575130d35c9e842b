"""Connections to backend servers that are used again."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
import testtools

from ...control.objects import Backend
from ..endpoint import Endpoint
from ..upstream import Upstream, UpstreamRequest

ANSWER = b'HTTP/1.1 %b\r\nx-request-id: r1\r\nContent-Length: 0\r\n\r\n'
REFUSAL = ANSWER % b'503 Full\r\nwagtailfork-shed: 1'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request on a connection."""
    while await reader.readline():
        await reader.readuntil(b'\r\n\r\n')
        writer.write(RESPONSE)
    writer.close()


@attrs.define(eq=False)
class CopyingServer:
    """Refuse one request; repeat that on its connection before an answer."""

    refusals: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each request on a connection."""
        refused_here = False
        while await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            first = not self.refusals
            if first or refused_here:
                self.refusals += 1
                writer.write(REFUSAL)
            if not first:
                writer.write(ANSWER % b'200 OK')
            refused_here = True
        writer.close()


class TestReuse(testtools.TestCase):
    """Whether a response came on a connection that carried another."""

    def test_second_response_is_on_reused(self) -> None:
        """Two exchanges in turn share a connection."""
        found = asyncio.run(self._send(serve, (None, None)))
        self.assertEqual([(HTTPStatus.OK, False), (HTTPStatus.OK, True)], found)

    def test_copy_is_no_answer_to_its_id_sent_again(self) -> None:
        """A shed is repeated before the answer to the same id."""
        server = CopyingServer()
        found = asyncio.run(self._send(server.serve, ('r1', 'r1')))
        self.assertEqual(
            [(HTTPStatus.SERVICE_UNAVAILABLE, False), (HTTPStatus.OK, False)],
            found,
        )
        self.assertEqual(1, server.refusals)

    async def _send(
        self, server: Serve, ids: tuple[str | None, ...]
    ) -> list[tuple[int, bool]]:
        listener = await asyncio.start_server(server, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        backend = Backend(
            service='s',
            address=f'127.0.0.1:{port}',
            region='r',
            failure_domain='a',
        )
        endpoint = Endpoint('b0', backend)
        upstream = Upstream()
        found = []
        for request_id in ids:
            req = UpstreamRequest(
                method='GET',
                target='/',
                headers=(),
                body=b'',
                request_id=request_id,
            )
            response = await upstream.send(endpoint, req, 1)
            await response.read()
            found.append(
                (response.status, upstream.on_reused_connection(response))
            )
        await upstream.close()
        listener.close()
        return found
