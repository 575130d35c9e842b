"""Check the encoding and decoding of valid and malformed frames."""

import cbor2
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ..codec import Frame, decode_frame, encode_frame
from ..messages import Replicate

SAMPLE = Replicate(
    member='m',
    range_id='r-1',
    view=1,
    slot_now=0,
    slot=0,
    key='kiosk/order',
    digest='d',
)
MALFORMED_CODES = {ResultCode.frame_malformed, ResultCode.frame_unknown_type}

plain_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=10,
)


class CodecTest(testtools.TestCase):
    """Decode valid, truncated and malformed frames."""

    def test_round_trip(self) -> None:
        """Decode an encoded frame to an equal one."""
        frame = Frame(3, 0, SAMPLE)
        self.assertEqual(frame, decode_frame(encode_frame(frame)))

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=60))
    def test_random_bytes_are_rejected(self, raw: bytes) -> None:
        """Reject random bytes with a result code."""
        self._assert_rejected(raw)

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(plain_values, max_size=5))
    def test_invalid_items_are_rejected(self, items: list[object]) -> None:
        """Reject well-formed CBOR that is not a frame."""
        self._assert_rejected(cbor2.dumps(items))

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.dictionaries(st.text(max_size=6), plain_values, max_size=4))
    def test_invalid_bodies_are_rejected(self, body: dict[str, object]) -> None:
        """Reject a known message type with an invalid body."""
        self._assert_rejected(cbor2.dumps([1, 0, 'Replicate', body]))

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.data())
    def test_truncated_frames_are_rejected(self, data: st.DataObject) -> None:
        """Reject a truncated frame."""
        encoded = encode_frame(Frame(3, 0, SAMPLE))
        size = data.draw(st.integers(0, len(encoded) - 1))
        self._assert_rejected(encoded[:size])

    def _assert_rejected(self, raw: bytes) -> None:
        exc = self.assertRaises(WagtailforkError, decode_frame, raw)
        self.assertIn(exc.code, MALFORMED_CODES)
