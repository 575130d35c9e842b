"""Answers of backend servers without an id, and answers too many."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import attrs
import testtools

from ...control.objects import Service
from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ...routing.admission import Admission, SlotRequest
from ...routing.endpoint import Endpoint
from ...routing.placement import Placement
from ...routing.pool import Pool
from ...routing.tests.scene import NEAR, SERVICE, make_state
from ...routing.upstream import Upstream
from ..exchange import EndReason
from ..request import RequestHead, parse_request_head
from ..sender import Sender

QUEUE_LIMIT = 8
DEADLINE_S = 5.0
DRAINING_HEADER = 'wagtailfork-draining: 1\r\n'


class SilentNotifier:
    """Notify no peer."""

    async def notify_strike(self, *_args: str) -> None:
        """Send nothing."""

    notify_absolve = notify_strike
    notify_running = notify_strike


@attrs.define(eq=False)
class RepeatingServer:
    """Repeat the last answer of a connection where the next is due.

    Each answer has the path of its request as its body, and as its id if
    ``names`` is true; each copy has the id ``copy_id``, or none.
    """

    names: bool
    copy_id: str = ''
    copy_header: str = ''
    connections: int = 0
    copies: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each request on a connection."""
        self.connections += 1
        last = ''
        while line := await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            path = line.decode().split(' ')[1].strip('/')
            if last:
                self.copies += 1
                writer.write(_render(last, self.copy_id, self.copy_header))
            writer.write(_render(path, path if self.names else ''))
            last = path
        writer.close()


def _render(body: str, request_id: str, extra: str = '') -> bytes:
    named = f'x-request-id: {request_id}\r\n' if request_id else ''
    head = f'HTTP/1.1 200 OK\r\n{named}{extra}Content-Length: {len(body)}\r\n'
    return f'{head}\r\n{body}'.encode()


@attrs.define(eq=False)
class Caller:
    """Send requests to one server through the sender."""

    endpoint: Endpoint
    placement: Placement
    sender: Sender

    async def call(self, request_id: str) -> str:
        """Return the body of the answer, or the name of the error."""
        head = RequestHead(
            method='GET',
            path=f'/s/{SERVICE}/{request_id}',
            query='',
            headers=[('x-request-id', request_id)],
        )
        req = parse_request_head(head, DEADLINE_S)
        slot_request = SlotRequest(
            customer='kiosk',
            service=SERVICE,
            weight=1,
            deadline=time.monotonic() + DEADLINE_S,
        )
        endpoint = await self.placement.acquire(slot_request, req.fingerprint)
        try:
            exchange = await self.sender.attempt(req, Service(), endpoint)
        except WagtailforkError as exc:
            return exc.code.name
        body = await exchange.response.read()
        await self.sender.finish(exchange, EndReason.whole)
        return body.decode()


Scenario = Callable[[Caller], Awaitable[None]]


def run_with_server(server: RepeatingServer, scenario: Scenario) -> None:
    """Run a scenario against a server on loopback."""

    async def run() -> None:
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        pool = Pool(NEAR, clock=time.monotonic)
        pool.on_state(make_state((NEAR,), 1))
        endpoint = next(iter(pool.all_endpoints()))
        endpoint.backend = attrs.evolve(
            endpoint.backend, address=f'127.0.0.1:{port}'
        )
        admission = Admission(pool, QUEUE_LIMIT, clock=time.monotonic)
        placement = Placement(pool, admission, clock=time.monotonic)
        upstream = Upstream()
        sender = Sender(pool, admission, upstream, placement, SilentNotifier())
        try:
            await scenario(Caller(endpoint, placement, sender))
        finally:
            await upstream.close()
            listener.close()

    asyncio.run(run())


class TestUnnamedAnswers(testtools.TestCase):
    """An answer without an id counts on a connection without others."""

    def test_server_that_names_no_request(self) -> None:
        """A copy of an earlier answer reached the next caller."""
        server = RepeatingServer(names=False)
        run_with_server(server, self._call_three)
        self.assertEqual(3, server.connections)
        self.assertEqual(0, server.copies)

    def test_copy_that_has_lost_its_id(self) -> None:
        """The next request is lost, as nobody can tell whose answer it is."""
        server = RepeatingServer(names=True, copy_header=DRAINING_HEADER)
        run_with_server(server, self._lose_second)
        self.assertEqual(1, server.copies)

    def test_copy_says_nothing_of_its_server(self) -> None:
        """What an answer to another request says of draining is not read."""
        server = RepeatingServer(
            names=True, copy_id='other', copy_header=DRAINING_HEADER
        )
        run_with_server(server, self._lose_second)
        self.assertEqual(1, server.copies)

    async def _call_three(self, caller: Caller) -> None:
        ids = ['r1', 'r2', 'r3']
        found = [await caller.call(request_id) for request_id in ids]
        self.assertEqual(ids, found)

    async def _lose_second(self, caller: Caller) -> None:
        found = [await caller.call(request_id) for request_id in ('r1', 'r2')]
        self.assertEqual(['r1', ResultCode.connection_lost.name], found)
        self.assertNotEqual('draining', caller.endpoint.state)
        self.assertEqual('r3', await caller.call('r3'))
