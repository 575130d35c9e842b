"""Check what heartbeats between regions cost."""

import testtools

from ...core.settings import Timing
from ..codec import Frame, encode_frame
from ..link import PeerLink
from ..messages import Heartbeat, HeartbeatReply, Hello, HelloReply

LINK_BITS_PER_S = 30_000_000
SHARE = 0.01  # of the link, for measuring and control together
VMS_PER_REGION = 9
PACKET_BYTES = 52  # IP and TCP headers with timestamps
PACKETS = 4  # a heartbeat, its reply and their acknowledgements
WEBSOCKET_BYTES = 14  # frame headers both ways


def make_link(region: str) -> PeerLink:
    """Make a link to a peer in another region or this one."""
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


def beat_bytes() -> int:
    """Give the bytes of one heartbeat and its reply on the wire."""
    reply = HeartbeatReply(
        phase='serving',
        offset=10**6,
        key_prefix='wf1.0123456789ab-10.1000.',
    )
    frames = (Frame(10**6, 0, Heartbeat()), Frame(0, 10**6, reply))
    size = sum(len(encode_frame(frame)) for frame in frames)
    return size + PACKETS * PACKET_BYTES + WEBSOCKET_BYTES


class LinkCostTest(testtools.TestCase):
    """Hold heartbeats between regions to their share of the link."""

    def test_far_heartbeats_fit_their_share(self) -> None:
        """Fit the share at today's eighteen entry VMs, each way."""
        self.assertLessEqual(
            self._bits_per_s(make_link('north-tas')),
            SHARE * LINK_BITS_PER_S,
        )

    def test_near_period_would_not_fit(self) -> None:
        """Find that the period used inside a region exceeds the share."""
        self.assertGreater(
            self._bits_per_s(make_link('south-tas')),
            SHARE * LINK_BITS_PER_S,
        )

    def _bits_per_s(self, link: PeerLink) -> float:
        # Each pair has a link from either side; both directions of a link
        # together are more than one direction of the paid link carries.
        links = 2 * VMS_PER_REGION**2
        return 8 * links * beat_bytes() / link.period_s()
