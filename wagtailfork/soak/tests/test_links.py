"""Links delay, pace, hold back and end what goes over them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import testtools

from ...tests.rig_tools import HOST, free_port
from ..excuses import Disruptions
from ..links import Link, Links
from ..plan import SoakPlan
from ..record import RequestRecord, Visit
from ..timed_rules import TimedRules
from .test_soak import play

DELAY_S: Final = 0.05
LIMIT_S: Final = 10.0
QUIET_S: Final = 0.3  # in which nothing may arrive
MARGIN_S: Final = 0.01  # of the loop's timers
LOAD_BYTES: Final = 250000
MAX_IN_KERNEL_BYTES: Final = 8000000

Scene = Callable[
    [Link, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while piece := await reader.read(65536):
            writer.write(piece)
            await writer.drain()
    writer.close()


@contextlib.asynccontextmanager
async def _link(mbps: float = 0) -> AsyncIterator[tuple[Links, Link]]:
    port = free_port()
    server = await asyncio.start_server(_echo, HOST, port)
    links = Links(delay_s=DELAY_S, mbps=mbps)
    await links.open(f'{HOST}:{port}')
    try:
        yield links, links.before(f'{HOST}:{port}')
    finally:
        links.close()
        server.close()


async def _connect(
    link: Link,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = link.address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


class TestLink(testtools.TestCase):
    """One connection over a link to a server that echoes."""

    def _run(self, scene: Scene, mbps: float = 0) -> None:
        async def _run() -> None:
            async with asyncio.timeout(LIMIT_S), _link(mbps) as (_, link):
                reader, writer = await _connect(link)
                writer.write(b'first')
                await reader.readexactly(5)
                await scene(link, reader, writer)
                writer.transport.abort()

        asyncio.run(_run())

    def _elapsed_s(self, since_s: float) -> float:
        return asyncio.get_running_loop().time() - since_s

    def test_delay_each_way(self) -> None:
        """A request and its answer take one delay each."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            since_s = asyncio.get_running_loop().time()
            writer.write(b'ask')
            self.assertEqual(b'ask', await reader.readexactly(3))
            self.assertGreaterEqual(
                self._elapsed_s(since_s), 2 * DELAY_S - MARGIN_S
            )

        self._run(scene)

    def test_bandwidth_is_limited(self) -> None:
        """2 Mbit at 4 Mbit/s take half a second, whole and in order."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            raw = bytes(number % 251 for number in range(LOAD_BYTES))
            since_s = asyncio.get_running_loop().time()
            writer.write(raw)
            self.assertEqual(raw, await reader.readexactly(LOAD_BYTES))
            self.assertGreaterEqual(self._elapsed_s(since_s), 0.5)

        self._run(scene, mbps=4)

    def test_bytes_in_the_relay_are_bounded(self) -> None:
        """Nothing is taken from a sender while the link is cut."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            link.cut(link.up, LIMIT_S)
            taken = link.played['bytes']
            writer.write(bytes(4 * MAX_IN_KERNEL_BYTES))
            await asyncio.sleep(QUIET_S)
            self.assertLess(link.played['bytes'] - taken, 2 * 131072)

        self._run(scene)

    def test_end_is_passed_on(self) -> None:
        """What was sent before the end arrives, then the end."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(b'last')
            writer.write_eof()
            self.assertEqual(b'last', await reader.read())
            await asyncio.sleep(MARGIN_S)
            self.assertEqual(set(), link.connections)

        self._run(scene)

    def test_cut_holds_back_one_way(self) -> None:
        """An answer is held back until the cut is over."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            since_s = asyncio.get_running_loop().time()
            link.cut(link.down, 2 * QUIET_S)
            writer.write(b'ask')
            self.assertEqual(b'ask', await reader.readexactly(3))
            self.assertGreaterEqual(self._elapsed_s(since_s), 2 * QUIET_S)

        self._run(scene)

    def test_silence_is_for_open_connections(self) -> None:
        """An open connection stays silent; a new one works."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            link.silence()
            writer.write(b'ask')
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(QUIET_S):
                    await reader.read(1)
            new_reader, new_writer = await _connect(link)
            new_writer.write(b'new')
            self.assertEqual(b'new', await new_reader.readexactly(3))
            new_writer.transport.abort()

        self._run(scene)

    def test_reset(self) -> None:
        """A reset reaches the caller as one."""

        async def scene(
            link: Link,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            link.reset()
            with self.assertRaises(ConnectionResetError):
                await reader.read(1)

        self._run(scene)


class TestExcuses(testtools.TestCase):
    """What a disrupted link excuses, and what not."""

    def _judge(self, rules: TimedRules, seen: RequestRecord) -> list[str]:
        seen.runs.append(Visit(10.1, 'b0', 'pay', 5))
        seen.arrivals.append(seen.runs[0])
        found = rules.judge({'r1': seen}, {'a:1': Disruptions()})
        return [rule for rule, _ in found]

    def test_only_the_link_of_the_request_excuses(self) -> None:
        """A cut request and a late arrival, with links disrupted or not."""
        for cut_s, rule in ((11.0, 'LOST'), (0.0, 'DRAIN')):
            for server, expected in (('b0', []), ('b1', [rule])):
                seen = RequestRecord(
                    'r1', 'pay', 'a:1', sent_s=10, deadline_s=2
                )
                seen.cut_s = cut_s
                rules = TimedRules(versions=[(0, 'pay')])
                rules.links[server] = Disruptions([(9, 12)])
                self.assertEqual(expected, self._judge(rules, seen))

    def test_promise_is_judged_always(self) -> None:
        """No link excuses a refusal of a payment that ran."""
        seen = RequestRecord('r1', 'pay', 'a:1', sent_s=10, deadline_s=2)
        seen.runs.append(Visit(10.1, 'b0', 'pay'))
        seen.check_answer(503, {}, b'')
        self.assertEqual('REFUSED', seen.broken_rule())


class TestSoakOverLinks(testtools.TestCase):
    """The rules hold over links that are slow and disrupted."""

    def test_rules_hold_over_slow_links(self) -> None:
        """Links of 30 ms and 5 Mbit/s, each kind of disruption played."""
        plan = SoakPlan(
            seed=3605,
            seconds=6,
            gateways=4,
            servers=8,
            callers=30,
            link_ms=30,
            link_mbps=5,
            disruptions=('silence_link', 'cut_one_way', 'reset_link'),
        )
        record = play(plan)
        self.assertEqual([], record.broken())
        self.assertEqual([], record.unasked)
        self.assertEqual([], record.ended)
        self.assertGreater(record.answered(), 100)
        for kind in ('silenced', 'reset', 'cut_ms'):
            self.assertGreater(record.links[kind], 0, kind)
