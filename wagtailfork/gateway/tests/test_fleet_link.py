"""What a gateway does with what other VMs tell."""

import attrs
import testtools

from ...fleet.member import Member
from ...fleet.messages import Heartbeat
from .rig import SERVERS_TOPIC, Rig, run_scenario


class TestTrouble(testtools.TestCase):
    """A neighbour that is cut off is no outage of the store."""

    def test_lost_reader_holds_no_lapsed_entry(self) -> None:
        """Servers that leave meanwhile get nothing more.

        Found by a hunt: while the domain's reader was cut off, its
        neighbours took the store to be away and kept a server that had left.
        """
        run_scenario(self._lose_reader)

    async def _lose_reader(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        await rig.until(lambda: any(n.source.reading for n in rig.nodes))
        reader = [node for node in rig.nodes if node.source.reading][0]
        other = [node for node in rig.nodes if node is not reader][0]
        rig.kill(reader)
        await rig.until(lambda: other.source.reading)
        rig.store.drop(SERVERS_TOPIC, 'b0')
        await rig.until(lambda: other.view.position > 2)
        self.assertNotIn('b0', other.view.servers)


class TestNews(testtools.TestCase):
    """News is fetched from a VM that is in reach."""

    def test_news_comes_from_the_sender(self) -> None:
        """A VM that is only spoken of may be cut off: it is not asked.

        Found by a hunt: a fetch from such a VM held up the next one, and a
        server that was leaving got a request 2,521 ms after it said so.
        """
        run_scenario(self._tell)

    async def _tell(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        node, sender = rig.nodes
        await rig.until(lambda: not node.link.snapshot_fetcher.fetching)
        known = sender.membership.me
        spoken_of = Member(
            address='192.0.2.1:9',
            caller_address='192.0.2.1:8',
            failure_domain='b',
            region='q',
            incarnation=1,
            config_version=99,
        )
        node.link._receive(Heartbeat([known, spoken_of]))
        self.assertFalse(node.link.snapshot_fetcher.fetching)
        ahead = attrs.evolve(known, beat=known.beat + 99, config_version=99)
        node.link._receive(Heartbeat([ahead]))
        self.assertTrue(node.link.snapshot_fetcher.fetching)
