"""Compare folding, with snapshots and trimmed logs, with a naive model."""

from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...core.results import ResultCode
from ..fold import ControlState, LogRecord, fold_record
from ..snapshots import LogReader, dump_state, load_state, snapshot_body

NAMES = ('a', 'b')
WEIGHTS = (1.0, 2.0)

tickets = st.fixed_dictionaries(
    {
        'ticket': st.integers(1, 4),
        'operator': st.sampled_from(('ana', 'ivo')),
        'objects': st.lists(
            st.fixed_dictionaries(
                {
                    'kind': st.just('customer'),
                    'name': st.sampled_from(NAMES),
                    'state': st.none()
                    | st.fixed_dictionaries(
                        {'weight': st.sampled_from(WEIGHTS)}
                    ),
                }
            ),
            min_size=1,
            max_size=2,
        ),
    }
)
records = st.fixed_dictionaries(
    {
        'id': st.sampled_from('pqrstuvw'),
        'kind': st.sampled_from(('ticket', 'ticket', 'ticket', 'noise')),
        'body': tickets,
    }
)
arbitrary_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def make_record(offset: int, record: Any) -> LogRecord:
    """Return a record at an offset of the log."""
    return LogRecord(offset=offset, time_ms=offset, record=record)


class NaiveFold:
    """Store every accepted ticket and search all of them for each record."""

    def __init__(self) -> None:
        """Start without accepted tickets."""
        self.accepted: list[dict[str, Any]] = []
        self.codes: dict[str, int] = {}

    def fold(self, record: dict[str, Any]) -> int:
        """Return the result code of the next record."""
        names = [item['name'] for item in record['body']['objects']]
        if record['kind'] != 'ticket':
            return ResultCode.record_malformed
        if len(set(names)) < len(names):
            return ResultCode.ticket_malformed
        if record['id'] not in self.codes:
            self.codes[record['id']] = self._decide(record['body'], names)
        return self.codes[record['id']]

    def state(self) -> dict[str, Any]:
        """Replay the accepted tickets."""
        objects: dict[str, Any] = {}
        for body in self.accepted:
            for item in body['objects']:
                objects[item['name']] = item['state']
        return {name: raw for name, raw in objects.items() if raw is not None}

    def _decide(self, body: dict[str, Any], names: list[str]) -> int:
        last = [self._last(name) for name in sorted(names)]
        if all(other == body for other in last):
            return ResultCode.ok
        for other in last:
            if other is None or other['ticket'] < body['ticket']:
                continue
            if other['ticket'] == body['ticket']:
                return ResultCode.ticket_conflict
            return ResultCode.ticket_stale
        self.accepted.append(body)
        return ResultCode.ok

    def _last(self, name: str) -> dict[str, Any] | None:
        for body in reversed(self.accepted):
            if name in [item['name'] for item in body['objects']]:
                return body
        return None


def weights(state: ControlState) -> dict[str, Any]:
    """Return the existing customers as plain values."""
    return {
        name: {'weight': customer.weight}
        for name, customer in state.objects_of_kind('customer').items()
    }


class FoldTest(testtools.TestCase):
    """Check result codes and states."""

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(records, max_size=14))
    def test_fold_matches_naive_model(self, raw: list[Any]) -> None:
        """Compute the same result codes and state as the naive model."""
        naive = NaiveFold()
        state = ControlState()
        for offset, record in enumerate(raw):
            state, result = fold_record(state, make_record(offset, record))
            self.assertEqual(naive.fold(record), result.code)
        self.assertEqual(naive.state(), weights(state))
        self.assertEqual(state, load_state(dump_state(state)))

    @settings(derandomize=True, database=None, deadline=None)
    @given(
        st.lists(records, max_size=10),
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=3),
        st.integers(0, 12),
    )
    def test_trimmed_log_matches_whole_log(
        self,
        raw: list[Any],
        snapshots: list[tuple[int, int]],
        earliest: int,
    ) -> None:
        """Compute the same state from any first offset, or none at all.

        Each snapshot covers a prefix and is appended at any later offset,
        which happens when its writer pauses between computing and appending.
        """
        log = [make_record(n, record) for n, record in enumerate(raw)]
        for number, (covers, delay) in enumerate(snapshots):
            log = insert_snapshot(log, covers, covers + delay, f'shot-{number}')
        whole = LogReader()
        for entry in log:
            whole.push(entry)
        partial = LogReader()
        for entry in log[min(earliest, len(log)) :]:
            partial.push(entry)
        if partial.state is None:
            return
        if not partial.in_gap and whole.state is not None:
            self.assertEqual(whole.state.objects, partial.state.objects)
            self.assertEqual(whole.state.offset, partial.state.offset)

    @settings(derandomize=True, database=None, deadline=None)
    @given(arbitrary_values)
    def test_arbitrary_values_are_rejected(self, raw: Any) -> None:
        """Reject a record that does not parse, with a result code."""
        state, result = fold_record(ControlState(), make_record(0, raw))
        self.assertEqual(ControlState(offset=0), state)
        self.assertIn(
            result.code,
            {
                ResultCode.record_malformed,
                ResultCode.ticket_malformed,
            },
        )

    def test_trimmed_log_needs_a_snapshot(self) -> None:
        """Keep no state if the log's start is trimmed and has no snapshot."""
        reader = LogReader()
        reader.push(make_record(5, {'id': 'p', 'kind': 'ticket', 'body': {}}))
        self.assertIsNone(reader.state)

    def test_snapshot_before_a_gap_is_not_used(self) -> None:
        """Keep no state if records after the snapshot are trimmed."""
        reader = LogReader()
        body = snapshot_body(ControlState(offset=2))
        reader.push(
            make_record(5, {'id': 'q', 'kind': 'snapshot', 'body': body})
        )
        self.assertIsNone(reader.state)

    def test_old_snapshot_does_not_revert_state(self) -> None:
        """Ignore a snapshot that covers less than what was folded."""
        old = snapshot_body(ControlState())
        reader = LogReader()
        body = {
            'ticket': 1,
            'operator': 'ana',
            'objects': [{'kind': 'customer', 'name': 'a', 'state': {}}],
        }
        reader.push(make_record(0, {'id': 'p', 'kind': 'ticket', 'body': body}))
        reader.push(
            make_record(1, {'id': 'q', 'kind': 'snapshot', 'body': old})
        )
        assert reader.state is not None
        self.assertEqual({'a': {'weight': 1.0}}, weights(reader.state))

    def test_altered_snapshot_is_ignored(self) -> None:
        """Ignore a snapshot whose state does not match its digest."""
        body = snapshot_body(ControlState(offset=4))
        body['state']['views'] = {'x-1': {'number': 1}}
        reader = LogReader()
        reader.push(
            make_record(5, {'id': 'q', 'kind': 'snapshot', 'body': body})
        )
        self.assertIsNone(reader.state)


def insert_snapshot(
    log: list[LogRecord],
    covers: int,
    earliest_offset: int,
    ident: str,
) -> list[LogRecord]:
    """Insert the snapshot of a prefix at a later offset, shifting the rest."""
    covered = min(covers, len(log) - 1)
    state = ControlState()
    for entry in log[: covered + 1]:
        state, _result = fold_record(state, entry)
    record = {'id': ident, 'kind': 'snapshot', 'body': snapshot_body(state)}
    insert_at = min(max(earliest_offset, covered) + 1, len(log))
    bodies = [entry.record for entry in log]
    bodies.insert(insert_at, record)
    return [make_record(offset, body) for offset, body in enumerate(bodies)]
