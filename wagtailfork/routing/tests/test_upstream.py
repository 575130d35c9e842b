"""Connections to backend servers that are used again."""

import asyncio

import testtools

from ...control.objects import Backend
from ..endpoint import Endpoint
from ..upstream import Upstream, UpstreamRequest

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request on a connection."""
    while await reader.readline():
        await reader.readuntil(b'\r\n\r\n')
        writer.write(RESPONSE)
    writer.close()


class TestReuse(testtools.TestCase):
    """Whether a response came on a connection that carried another."""

    def test_second_response_is_on_reused(self) -> None:
        """Two exchanges in turn share a connection."""
        self.assertEqual([False, True], asyncio.run(self._send_twice()))

    async def _send_twice(self) -> list[bool]:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
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
        for _ in range(2):
            req = UpstreamRequest(
                method='GET', target='/', headers=(), body=b''
            )
            response = await upstream.send(endpoint, req, 1)
            await response.read()
            found.append(upstream.on_reused_connection(response))
        await upstream.close()
        listener.close()
        return found
