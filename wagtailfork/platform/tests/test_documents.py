"""Test that malformed documents in the store are rejected."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...core.errors import WagtailforkError
from ..documents import decode_configuration, decode_server

_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_FIELDS = st.sampled_from(
    (
        'service',
        'address',
        'zone',
        'capacity',
        'state',
        'warmupLeftMs',
        'born',
        'version',
        'routes',
        'services',
        'limits',
    ),
)
_GOOD = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'capacity': 4,
    'state': 'ready',
    'warmupLeftMs': 100,
    'seq': 1,
    'born': 5,
}


def _decode(raw: bytes) -> None:
    for decode in (decode_configuration, lambda text: decode_server('s', text)):
        try:
            decode(raw)
        except WagtailforkError as exc:
            assert exc.code.name == 'record_malformed'


class TestBadDocuments(testtools.TestCase):
    """A malformed document raises only ``record_malformed``."""

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, raw: bytes) -> None:
        """Bytes that are not JSON are rejected."""
        _decode(raw)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(_FIELDS, _JSON)
    def test_any_field(self, field: str, found: object) -> None:
        """A field of any JSON type is rejected or decoded."""
        _decode(json.dumps({**_GOOD, field: found}).encode())

    def test_good_entry(self) -> None:
        """A valid entry is decoded to a server."""
        server = decode_server('s', json.dumps(_GOOD).encode())
        self.assertEqual(
            (4, 5, 0.1), (server.slots, server.started_ms, server.warm_up_s)
        )
