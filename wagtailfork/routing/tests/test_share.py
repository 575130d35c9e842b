"""Test the slots that one entry VM holds."""

import testtools

from ...peers.messages import Message, SlotGrant, SlotRecall, SlotReturn
from ..pool import Pool
from ..share import SlotShare
from .scene import NEAR, SERVICE, make_state


class ShareTest(testtools.TestCase):
    """Test which slots are returned."""

    def test_slot_taken_unlent_is_not_returned(self) -> None:
        """Regression: a slot in use was returned as idle."""
        sent: list[Message] = []
        pool = Pool(NEAR, lends=True, clock=float)
        pool.on_state(make_state((NEAR,), slots=4))
        share = SlotShare(
            pool,
            lambda _service, message: sent.append(message),
            float,
        )
        share.on_grant(
            SlotGrant(service=SERVICE, backends=['b0'], sequence=1),
        )
        share.on_recall(
            SlotRecall(service=SERVICE, waited_ms=1, finish={}),
        )
        share.on_grant(
            SlotGrant(service=SERVICE, backends=['b0'], sequence=2),
        )
        sent.clear()
        endpoint = pool.endpoints(SERVICE)[0]
        endpoint.begin_request()
        endpoint.begin_request()
        endpoint.end_request()
        share.on_release(endpoint, None)
        self.assertEqual([], sent)
        endpoint.end_request()
        share.on_release(endpoint, None)
        self.assertEqual(
            [SlotReturn(service=SERVICE, backends=['b0'])],
            sent,
        )
