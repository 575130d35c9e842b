"""Check the bandwidth that heartbeats use between regions."""

import testtools

from ...core.settings import Timing
from ..codec import Frame, encode_frame
from ..link import PeerLink
from ..messages import Heartbeat, HeartbeatReply, Hello, HelloReply

LINK_BITS_PER_S = 30_000_000
LINK_SHARE = 0.01  # of the link, for all measurement and control traffic
VMS_PER_REGION = 9
PACKET_BYTES = 52  # IP and TCP headers with timestamps
PACKETS = 4  # a heartbeat, its reply and their acknowledgements
WEBSOCKET_BYTES = 14  # frame headers both ways


def make_link(region: str) -> PeerLink:
    """Return a link from region ``south-tas`` to a peer in ``region``."""
    link = PeerLink(
        '127.0.0.1:1',
        Hello(vm='entry-1', incarnation='0123456789ab'),
        'south-tas',
        Timing().heartbeat_s,
        Timing().peer_down_s,
    )
    link.peer = HelloReply(
        vm='entry-2',
        incarnation='0123456789ab',
        region=region,
        failure_domain='d',
    )
    return link


def heartbeat_bytes() -> int:
    """Return the size on the wire of one heartbeat and its reply."""
    reply = HeartbeatReply(
        phase='serving',
        offset=10**6,
        key_prefix='wf1.0123456789ab-10.1000.',
    )
    frames = (Frame(10**6, 0, Heartbeat()), Frame(0, 10**6, reply))
    size = sum(len(encode_frame(frame)) for frame in frames)
    return size + PACKETS * PACKET_BYTES + WEBSOCKET_BYTES


class HeartbeatBandwidthTest(testtools.TestCase):
    """Keep heartbeats between regions within their share of the link."""

    def test_cross_region_interval_fits_share(self) -> None:
        """Fit the share in each direction with 18 entry VMs in 2 regions."""
        self.assertLessEqual(
            self._bits_per_s(make_link('north-tas')),
            LINK_SHARE * LINK_BITS_PER_S,
        )

    def test_region_interval_exceeds_share(self) -> None:
        """Exceed the share with the heartbeat interval used in a region."""
        self.assertGreater(
            self._bits_per_s(make_link('south-tas')),
            LINK_SHARE * LINK_BITS_PER_S,
        )

    def _bits_per_s(self, link: PeerLink) -> float:
        # Each pair of VMs has two links, one from each side. Counting both
        # directions of each overestimates one direction of the paid link.
        links = 2 * VMS_PER_REGION**2
        return 8 * links * heartbeat_bytes() / link.heartbeat_interval_s()
