"""Reports of crashes between VMs of two builds."""

import cbor2
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ...core.errors import WagtailforkError
from ...routing.fingerprints import FINGERPRINT_BYTES
from ...routing.quarantine import Crash
from ..messages import Message, decode, encode
from ..trial_messages import (
    Absolution,
    Strike,
    TrialDecision,
    TrialRequest,
    TrialReturn,
)

CRASHES = (Crash('s1', 7),)
SENDER = '127.0.0.1:1'


def make_messages(fingerprint: str) -> list[Message]:
    """Return a message of each kind."""
    return [
        Strike(fingerprint, 's1', 7, trial=True),
        TrialRequest(SENDER, fingerprint, CRASHES),
        TrialDecision(fingerprint, 5),
        TrialReturn(fingerprint, ran=True),
        Absolution(fingerprint, CRASHES),
    ]


class TestFingerprints(testtools.TestCase):
    """A VM that is not upgraded yet is understood and gets its own form."""

    @given(st.binary(min_size=FINGERPRINT_BYTES, max_size=FINGERPRINT_BYTES))
    def test_digest(self, raw: bytes) -> None:
        """All messages name a request by its digest."""
        for message in make_messages(raw.hex()):
            self.assertEqual(message, decode(encode(message)))

    @given(st.integers(min_value=0, max_value=0xFFFFFFFF))
    def test_checksum_of_an_earlier_build(self, number: int) -> None:
        """It is answered with the number that it sent."""
        for message in make_messages(f'{number:08x}'):
            raw = encode(message)
            self.assertEqual(message, decode(raw))
            self.assertIn(number, cbor2.loads(raw))

    def test_other_fingerprints(self) -> None:
        """A message with neither form is malformed."""
        for found in (b'', bytes(15), bytes(17), -1, 1 << 32, 'ab', None, True):
            raw = cbor2.dumps([42, found, True])
            self.assertRaises(WagtailforkError, decode, raw)
