"""Check frames, whole and broken."""

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
BROKEN = {ResultCode.frame_malformed, ResultCode.frame_unknown_type}

plain = st.recursive(
    st.none() | st.booleans() | st.integers() | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=10,
)


class CodecTest(testtools.TestCase):
    """Check the codec."""

    def test_round_trip(self) -> None:
        """Give back what was encoded."""
        frame = Frame(3, 0, SAMPLE)
        self.assertEqual(frame, decode_frame(encode_frame(frame)))

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=60))
    def test_noise_is_refused(self, raw: bytes) -> None:
        """Refuse random bytes with a numbered error."""
        self._assert_refused(raw)

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(plain, max_size=5))
    def test_wrong_parts_are_refused(self, parts: list[object]) -> None:
        """Refuse well-formed CBOR that is no frame."""
        self._assert_refused(cbor2.dumps(parts))

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.dictionaries(st.text(max_size=6), plain, max_size=4))
    def test_wrong_bodies_are_refused(self, body: dict[str, object]) -> None:
        """Refuse a known type with a wrong body."""
        self._assert_refused(cbor2.dumps([1, 0, 'Replicate', body]))

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.data())
    def test_cut_frames_are_refused(self, draw: st.DataObject) -> None:
        """Refuse a frame that ends early."""
        whole = encode_frame(Frame(3, 0, SAMPLE))
        size = draw.draw(st.integers(0, len(whole) - 1))
        self._assert_refused(whole[:size])

    def _assert_refused(self, raw: bytes) -> None:
        exc = self.assertRaises(WagtailforkError, decode_frame, raw)
        self.assertIn(exc.code, BROKEN)
