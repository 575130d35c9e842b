"""Connections to backend servers that are used again."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
import testtools

from ...control.objects import Backend
from ..endpoint import Endpoint
from ..upstream import FailureKind, Upstream, UpstreamError, UpstreamRequest

ANSWER = b'HTTP/1.1 %b\r\nx-request-id: r1\r\nContent-Length: 0\r\n\r\n'
LATE_S = 0.02  # of a copy that arrives while its connection is idle
IDLE_S = 0.1
REFUSAL = ANSWER % b'503 Full\r\nwagtailfork-shed: 1'
REQUEST_ID = 'x-request-id'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
NAMED_RESPONSE = ANSWER % b'200 OK'
CUTS = range(len(NAMED_RESPONSE))


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request on a connection."""
    while await reader.readline():
        await reader.readuntil(b'\r\n\r\n')
        writer.write(RESPONSE)
    writer.close()


def make_endpoint(listener: asyncio.Server) -> Endpoint:
    """Return the endpoint of a server on loopback."""
    port = listener.sockets[0].getsockname()[1]
    backend = Backend(
        service='s',
        address=f'127.0.0.1:{port}',
        region='r',
        failure_domain='a',
    )
    return Endpoint('b0', backend)


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


@attrs.define(eq=False)
class LateCopyServer:
    """Answer a request, and send its answer once more while idle."""

    connections: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with the path of the request as its id."""
        self.connections += 1
        while line := await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            request_id = line.split(b' ')[1].strip(b'/')
            answer = RESPONSE.replace(b'OK', b'OK\r\nx-request-id: %b')
            writer.write(answer % request_id)
            await asyncio.sleep(LATE_S)
            writer.write(answer % request_id)
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

    def test_late_copy_while_idle_ends_the_reuse(self) -> None:
        """A second answer arrives before the next request is sent."""
        asyncio.run(self._send_after_a_late_copy())

    def test_cut_head_is_no_response(self) -> None:
        """A server closes at any byte of the head of its response."""
        for size in CUTS:
            asyncio.run(self._send_to_cutting(size))

    async def _send_to_cutting(self, size: int) -> None:
        async def cut(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(NAMED_RESPONSE[:size])
            writer.close()

        listener = await asyncio.start_server(cut, '127.0.0.1', 0)
        endpoint = make_endpoint(listener)
        upstream = Upstream()
        req = UpstreamRequest(
            method='POST', target='/', headers=(), body=b'', request_id='r1'
        )
        try:
            await upstream.send(endpoint, req, 1)
        except UpstreamError as exc:
            self.assertEqual(FailureKind.lost, exc.kind)
        else:
            self.fail(f'{size} bytes were taken for a response')
        finally:
            await upstream.close()
            listener.close()

    async def _send_after_a_late_copy(self) -> None:
        server = LateCopyServer()
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        endpoint = make_endpoint(listener)
        upstream = Upstream()
        found = []
        for request_id in ('r1', 'r2', 'r3'):
            req = UpstreamRequest(
                method='GET',
                target=f'/{request_id}',
                headers=(),
                body=b'',
                request_id=request_id,
            )
            response = await upstream.send(endpoint, req, 1)
            await response.read()
            found.append(response.headers[REQUEST_ID])
            await asyncio.sleep(IDLE_S)
        await upstream.close()
        listener.close()
        self.assertEqual(['r1', 'r2', 'r3'], found)
        self.assertEqual(3, server.connections)

    async def _send(
        self, server: Serve, ids: tuple[str | None, ...]
    ) -> list[tuple[int, bool]]:
        listener = await asyncio.start_server(server, '127.0.0.1', 0)
        endpoint = make_endpoint(listener)
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
