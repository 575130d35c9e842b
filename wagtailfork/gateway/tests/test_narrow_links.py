"""Configurations pass the narrow links between VMs."""

from typing import Final

import testtools

from ...fleet.snapshots import pack
from .peer_scene import PeerScene, make_large_config, run_peers

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

    def test_document_is_large(self) -> None:
        """The whole document is as large as those of the users."""
        self.assertGreater(len(pack(make_large_config(1))), 50000)
