"""Deltas between configurations, and what a damaged one may not do."""

import json
from typing import Final

import cbor2
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...core.errors import WagtailforkError
from ...core.results import ResultCode
from ...standin.documents import make_configuration
from .. import configuration_delta
from ..configuration_delta import (
    MAX_DOCUMENTS,
    ConfigurationHistory,
    apply_delta,
    render_delta,
)
from ..position import Edition
from ..snapshots import MAX_SNAPSHOT_BYTES, pack, unpack

BASE: Final = Edition(3, 1)
ROUTES: Final = 1400
MAX_CHANGE_BYTES: Final = 2000  # the bound for one changed route
PIECES: Final = st.sampled_from((b'{"a": {}', b'}', b'{"b": 1}', b'x', b''))
DOCUMENTS: Final = st.binary() | st.lists(PIECES).map(b''.join)
LIMITS: Final = settings(
    max_examples=1000, derandomize=True, database=None, deadline=None
)


def make_delta(before: bytes, after: bytes) -> bytes:
    """Return the delta between two documents."""
    delta = render_delta(BASE, before, after)
    assert delta is not None
    return delta


def apply_any(delta: bytes, raw: bytes) -> bytes | None:
    """Apply a delta; return None if it is malformed."""
    try:
        return apply_delta(delta, BASE, raw)
    except WagtailforkError as exc:
        assert exc.code is ResultCode.frame_malformed
        return None


class TestDelta(testtools.TestCase):
    """A delta makes the sender's document, or none."""

    @LIMITS
    @given(DOCUMENTS, DOCUMENTS)
    def test_any_documents(self, before: bytes, after: bytes) -> None:
        """Guards against a document that is put together wrongly."""
        self.assertEqual(after, apply_any(make_delta(before, after), before))

    @LIMITS
    @given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_any_other_base(
        self, before: bytes, after: bytes, other: bytes
    ) -> None:
        """Guards against a wrong document from an edition that stands twice."""
        found = apply_any(make_delta(before, after), other)
        self.assertIn(found, (after, None))

    @LIMITS
    @given(DOCUMENTS, DOCUMENTS, st.data())
    def test_any_damage(
        self, before: bytes, after: bytes, data: st.DataObject
    ) -> None:
        """Guards against a wrong document, or an error of another kind."""
        # Damage to what the compression's own checksum covers is done below it.
        rendered = unpack(make_delta(before, after))
        start = data.draw(st.integers(0, len(rendered) - 1))
        end = data.draw(st.integers(start, len(rendered)))
        damaged = rendered[:start] + data.draw(st.binary()) + rendered[end:]
        for delta in (pack(damaged), damaged, pack(rendered)[:end]):
            self.assertIn(apply_any(delta, before), (after, None))

    def test_delta_of_many_copies(self) -> None:
        """Guards against a small delta that fills the memory."""
        before = b'x' * 1048576
        steps = [[0, 1]] * (MAX_SNAPSHOT_BYTES // len(before) + 1)
        parts = [BASE.version, BASE.era, b'', steps]
        self.assertIs(None, apply_any(pack(cbor2.dumps(parts)), before))

    def test_errors_show_no_content(self) -> None:
        """Guards against keys of customers in the log."""
        parts = [BASE.version, BASE.era, b'', [['secret', b'secret']]]
        for broken in (parts, 'secret', [b'secret']):
            delta = pack(cbor2.dumps(broken))
            error = self.assertRaises(
                WagtailforkError, apply_delta, delta, BASE, b''
            )
            self.assertNotIn('secret', str(error))

    def test_one_changed_route(self) -> None:
        """Guards against the cost of a whole configuration for each change."""
        before = make_configuration(ROUTES)
        document = json.loads(before)
        document['version'] += 1
        name = list(document['routes'])[ROUTES // 2]
        document['routes'][name]['timeoutMs'] += 1
        after = json.dumps(document).encode()
        delta = make_delta(before, after)
        self.assertLess(len(delta), MAX_CHANGE_BYTES)
        self.assertEqual(after, apply_any(delta, before))


class TestHistory(testtools.TestCase):
    """The history is bounded, and its deltas lead to the newest document."""

    def test_bounds(self) -> None:
        """Guards against a history that grows with each change."""
        history = ConfigurationHistory()
        count = MAX_DOCUMENTS + 2
        texts = [b'{"n": %d}' % number * 99 for number in range(count)]
        for number, text in enumerate(texts):
            history.add(Edition(number, 1), text + make_configuration(9))
        kept = [
            number
            for number in range(count)
            if history.delta_from(Edition(number, 1)) is not None
        ]
        self.assertEqual(list(range(2, count)), kept)
        limit = len(history.packed) * 3
        self.patch(configuration_delta, 'MAX_HISTORY_BYTES', limit)
        history.add(Edition(count, 1), texts[0] + make_configuration(9))
        self.assertIs(None, history.delta_from(Edition(count - 3, 1)))
        self.assertIsNot(None, history.delta_from(Edition(count - 1, 1)))

    def test_newer_document_replaces_a_delta(self) -> None:
        """Guards against a delta that was kept for an older document."""
        history = ConfigurationHistory()
        common = make_configuration(9)
        history.add(BASE, common)
        for version in (4, 5):
            newest = common + b'{"n": %d}' % version
            history.add(Edition(version, 1), newest)
            delta = history.delta_from(BASE)
            assert delta is not None
            self.assertEqual(newest, apply_any(delta, common))
