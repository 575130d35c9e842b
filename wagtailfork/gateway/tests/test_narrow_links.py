"""Configurations pass the narrow links between VMs."""

import asyncio
from typing import Final

import testtools

from ...core.clock import now_s
from ...core.errors import WagtailforkError
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
from .peer_scene import STEP_S, PeerScene, make_large_config, run_peers

VMS: Final = 24
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
