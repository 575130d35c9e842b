"""Configurations pass the narrow links between VMs."""

import asyncio
from typing import Final

import testtools

from ...core.clock import now_s
from ...core.errors import WagtailforkError
from ...fleet.member import rendezvous_rank
from ...fleet.position import NO_EDITION, NO_POSITION, Edition, Position
from ...fleet.snapshots import (
    ANSWER_LIMIT_S,
    SnapshotQuery,
    Transfer,
    fetch_snapshot,
    pack,
)
from ...http1.headers import render_head
from ..side_handlers import MAX_WHOLE_SENT
from .peer_scene import STEP_S, Peer, PeerScene, make_large_config, run_peers

VMS: Final = 24
DOMAIN_VMS: Final = 12
FAR_TRANSFERS: Final = 2  # by the first, and by the next if that one is slow
BYTES_PER_S: Final = 625000  # 5 Mbit/s
SHARED_BYTES_PER_S: Final = 33000  # what is left of a busy link
# Of the users' smallest bound for a change of the configuration.
APPLY_LIMIT_S: Final = 2.5
MAX_CHANGE_BYTES: Final = 2000  # a VM
WHOLE_LIMIT_S: Final = 5.0  # for VMs that have no configuration


class TestNarrowLinks(testtools.TestCase):
    """VMs with 5 Mbit/s give a configuration of 1,400 routes to each other."""

    def test_change_of_one_route_is_small(self) -> None:
        """Guards against the whole configuration at each change."""
        run_peers(self._change_route)

    async def _change_route(self, scene: PeerScene) -> None:
        await scene.start(VMS, BYTES_PER_S)
        for one in scene.peers:
            one.view.offer_configuration(make_large_config(1), 1, 'store')
        sent = scene.bytes_sent()
        scene.put(2)
        await scene.until_all_have(2, APPLY_LIMIT_S)
        self.assertLess(scene.bytes_sent() - sent, VMS * MAX_CHANGE_BYTES)
        for one in scene.peers:
            self.assertEqual(make_large_config(2), one.view.raw_configuration)

    def test_slow_transfer_is_not_given_up(self) -> None:
        """Guards against fetches that end after 0.6 s and start at zero."""
        run_peers(self._fetch_slowly)

    async def _fetch_slowly(self, scene: PeerScene) -> None:
        await scene.start(2, SHARED_BYTES_PER_S)
        scene.put(1)
        await scene.until_all_have(1, WHOLE_LIMIT_S)
        self.assertLess(scene.bytes_sent(), 2 * len(pack(make_large_config(1))))

    def test_whole_configuration_spreads_as_a_tree(self) -> None:
        """Guards against VMs that all load from the first that has it."""
        run_peers(self._start_all)

    async def _start_all(self, scene: PeerScene) -> None:
        await scene.start(VMS, BYTES_PER_S)
        scene.put(1)
        await scene.until_all_have(1, WHOLE_LIMIT_S)
        whole = len(pack(make_large_config(1)))
        self.assertLess(scene.peers[0].link.bytes_relayed, VMS // 2 * whole)

    def test_document_is_large(self) -> None:
        """The whole document is as large as those of the users."""
        self.assertGreater(len(pack(make_large_config(1))), 50000)


class TestDomains(testtools.TestCase):
    """What is whole passes the link between two domains once."""

    def test_domain_that_starts_fetches_once(self) -> None:
        """Guards against VMs that each load over the link between regions."""
        run_peers(self._start_domain)

    async def _start_domain(self, scene: PeerScene) -> None:
        far, _ = await self._start_two(scene)
        await scene.until_all_have(1, WHOLE_LIMIT_S)
        self.assertLessEqual(self._whole_sent(far), FAR_TRANSFERS)
        scene.put(2)
        await scene.until_all_have(2, APPLY_LIMIT_S)
        self.assertLessEqual(self._whole_sent(far), FAR_TRANSFERS)

    def test_first_of_a_domain_that_fails(self) -> None:
        """Guards against a domain that waits for one VM for ever."""
        run_peers(self._lose_first)

    async def _lose_first(self, scene: PeerScene) -> None:
        far, started = await self._start_two(scene, fail_first=True)
        async with asyncio.timeout(APPLY_LIMIT_S):
            while sum(one.view.version for one in started) < DOMAIN_VMS - 1:
                await asyncio.sleep(STEP_S)
        self.assertLess(self._whole_sent(far), DOMAIN_VMS // 2)

    def test_unreachable_neighbour(self) -> None:
        """Guards against a VM that waits for one that it can't reach."""
        run_peers(self._cut_neighbours)

    async def _cut_neighbours(self, scene: PeerScene) -> None:
        _, started = await self._start_two(scene)
        # All others have it before this one may ask.
        late = started[-1]
        for one in started[:-1]:
            one.link.stop_responding()
        async with asyncio.timeout(WHOLE_LIMIT_S):
            while late.view.version != 1:
                await asyncio.sleep(STEP_S)

    async def _start_two(
        self, scene: PeerScene, *, fail_first: bool = False
    ) -> tuple[list[Peer], list[Peer]]:
        """Start a domain beside one that has a configuration.

        Return the VMs that have it, and the others in the order of their rank.
        """
        await scene.start(DOMAIN_VMS, BYTES_PER_S, 'ab')
        far, started = scene.peers[:DOMAIN_VMS], scene.peers[DOMAIN_VMS:]
        names = [one.membership.me.address for one in started]
        started.sort(
            key=lambda one: rendezvous_rank(
                'whole-snapshot', one.membership.me.address, names
            )
        )
        started[0].fetcher.fetching = fail_first
        for one in far:
            one.view.offer_configuration(make_large_config(1), 1, 'store')
            one.view.replace_servers({}, Position(1, 1), 'store')
        scene.join(started)
        return far, started

    def _whole_sent(self, peers: list[Peer]) -> int:
        return sum(one.handler.snapshots['whole'] for one in peers)


class TestWholeLimit(testtools.TestCase):
    """A VM sends few whole configurations at a time, and all else at once."""

    def test_others_are_refused_at_once(self) -> None:
        """Guards against requesters that wait, and against slots that leak."""
        run_peers(self._fill)

    async def _fill(self, scene: PeerScene) -> None:
        await scene.start(1)
        first = scene.peers[0]
        for version in (1, 2):
            scene.put(version)
        first.view.replace_servers({}, Position(1, 7), 'store')
        address = first.row().address
        whole = SnapshotQuery(NO_EDITION, NO_POSITION, deltas=True)
        writers = [
            await self._begin(address, whole) for _ in range(MAX_WHOLE_SENT)
        ]
        sent_s = now_s()
        with testtools.ExpectedException(WagtailforkError, '.*status 503'):
            await fetch_snapshot(address, whole, Transfer())
        self.assertLess(now_s() - sent_s, ANSWER_LIMIT_S)
        for query, form in (
            (SnapshotQuery(Edition(1, 1), NO_POSITION, deltas=True), 'delta'),
            (SnapshotQuery(Edition(2, 1), NO_POSITION), 'none'),
        ):
            snapshot = await fetch_snapshot(address, query, Transfer())
            self.assertEqual(form, snapshot.form)
            self.assertEqual({}, snapshot.servers)
        for writer in writers:
            writer.close()
            # Each slot is free again, as often as it is used.
            await self._fetch_until_served(address, whole)
        counts = first.handler.snapshots
        self.assertGreater(counts.pop('refused'), 0)
        self.assertEqual({'whole': 8, 'delta': 1, 'none': 1}, counts)

    async def _begin(
        self, address: str, query: SnapshotQuery
    ) -> asyncio.StreamWriter:
        """Send a request, and wait for the first bytes of its response."""
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        line = f'GET /snapshot?{query.render()} HTTP/1.1'.encode()
        writer.write(render_head(line, [(b'Host', b'x')]))
        await reader.readexactly(1)
        return writer

    async def _fetch_until_served(
        self, address: str, query: SnapshotQuery
    ) -> None:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while True:
                try:
                    snapshot = await fetch_snapshot(address, query, Transfer())
                except WagtailforkError:
                    await asyncio.sleep(STEP_S)
                    continue
                self.assertEqual('whole', snapshot.form)
                return
