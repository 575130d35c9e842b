"""Servers repeat refusals of ids that return, and have stale names."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import testtools

from ...tests.rig_tools import free_port
from ..plan import HOST
from ..record import Record, RequestRecord
from ..servers import SoakServer
from ..wire import Head, read_body, read_head

FULL = 503
MISDIRECTED = 421
SERVED = 200
CHECKS = 40


@attrs.define(eq=False)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(self, target: str, server: str = 'server0') -> None:
        """Send a request."""
        name = target.rpartition('/')[2]
        self.writer.write(
            f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {name}\r\nTarget-Instance: {server}\r\n\r\n'.encode()
        )

    async def read(self) -> Head:
        """Read an answer."""
        head = await read_head(self.reader)
        await read_body(self.reader, head)
        return head


def make_server(*, copies: bool = True) -> SoakServer:
    """Return a server that serves, refuses nothing and knows one request."""
    record = Record()
    record.requests['r1'] = RequestRecord('r1', 'pay', 'g', 1, 1)
    return SoakServer(
        name='server0',
        service='pay',
        zone='a',
        address=f'127.0.0.1:{free_port()}',
        record=record,
        rng=random.Random(2),  # noqa: S311
        weights={'serve': 1},
        copies=copies,
    )


async def connect(server: SoakServer) -> _Link:
    """Open a connection to a server."""
    host, _, port = server.address.rpartition(':')
    return _Link(*await asyncio.open_connection(host, int(port)))


def run(
    server: SoakServer, scenario: Callable[[SoakServer], Awaitable[None]]
) -> None:
    """Run a scenario while a server listens."""

    async def play() -> None:
        await server.start()
        try:
            await scenario(server)
        finally:
            server.crash()

    asyncio.run(play())


class TestSoakServer(testtools.TestCase):
    """A server remembers what its connections carried."""

    def test_refusal_is_repeated_where_its_id_returns(self) -> None:
        """The copy comes before the answer, on the same connection."""
        server = make_server()
        run(server, self._ask_twice)
        self.assertEqual([1, 1], [server.record.returned_ids, runs(server)])

    def test_no_copies(self) -> None:
        """Without the group of answers the id returns and nothing else."""
        server = make_server(copies=False)
        run(server, self._ask_twice)
        self.assertEqual([1, 1], [server.record.returned_ids, runs(server)])

    def test_id_on_another_connection(self) -> None:
        """An id that comes on another connection visits the server again."""
        server = make_server()
        run(server, self._ask_elsewhere)
        record = server.record
        self.assertEqual([0, 1], [record.returned_ids, record.revisits])

    def test_stale_name_is_not_always_given_away(self) -> None:
        """Some health checks of an address with a stale name bear no name."""
        server = make_server()
        server.stale_names.add('server0-was1')
        run(server, self._check_names)
        server.stale_names.clear()
        run(server, self._check_all_named)

    def test_misdirected_arrival_is_no_late_one(self) -> None:
        """What a leaving server gets for another name tells nothing of it."""
        server = make_server()
        server.leaving_since_s = 1.0
        run(server, self._ask_twice)
        arrivals = server.record.requests['r1'].arrivals
        since = [each.leaving_since_s for each in arrivals]
        self.assertEqual([None, 1.0], since)

    async def _ask_twice(self, server: SoakServer) -> None:
        link = await connect(server)
        await link.ask('/pay/r1', 'server0-was1')
        refusal = await link.read()
        await link.ask('/pay/r1')
        statuses = [refusal.status, (await link.read()).status]
        if server.copies:
            statuses.append((await link.read()).status)
        copies = [MISDIRECTED] * server.copies
        self.assertEqual([MISDIRECTED, *copies, SERVED], statuses)
        link.writer.close()

    async def _ask_elsewhere(self, server: SoakServer) -> None:
        for name, status in (('other', MISDIRECTED), ('server0', SERVED)):
            link = await connect(server)
            await link.ask('/pay/r1', name)
            self.assertEqual(status, (await link.read()).status)
            link.writer.close()

    async def _check_names(self, server: SoakServer) -> None:
        self.assertEqual({True, False}, await named_checks(server))

    async def _check_all_named(self, server: SoakServer) -> None:
        self.assertEqual({True}, await named_checks(server))


def runs(server: SoakServer) -> int:
    """Return how often the request ran."""
    return len(server.record.requests['r1'].runs)


async def named_checks(server: SoakServer) -> set[bool]:
    """Return whether health checks bore the name of the server."""
    found = set()
    for _ in range(CHECKS):
        link = await connect(server)
        await link.ask('/health')
        found.add('instance-id' in (await link.read()).headers)
        link.writer.close()
    return found
