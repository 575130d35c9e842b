"""Compare the fold, with snapshots and trimmed logs, with a naive one."""

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
junk = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def at(offset: int, record: Any) -> LogRecord:
    """Place a record in the log."""
    return LogRecord(offset=offset, time_ms=offset, record=record)


class NaiveFold:
    """Keep every ticket ever accepted and look through all of them."""

    def __init__(self) -> None:
        """Start with nothing accepted."""
        self.accepted: list[dict[str, Any]] = []
        self.verdicts: dict[str, int] = {}

    def take(self, record: dict[str, Any]) -> int:
        """Give the code of the verdict on a record."""
        names = [item['name'] for item in record['body']['objects']]
        if record['kind'] != 'ticket':
            return ResultCode.record_malformed
        if len(set(names)) < len(names):
            return ResultCode.ticket_malformed
        if record['id'] not in self.verdicts:
            self.verdicts[record['id']] = self._decide(record['body'], names)
        return self.verdicts[record['id']]

    def state(self) -> dict[str, Any]:
        """Replay what was accepted."""
        found: dict[str, Any] = {}
        for body in self.accepted:
            for item in body['objects']:
                found[item['name']] = item['state']
        return {name: raw for name, raw in found.items() if raw is not None}

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
    """Give the customers in force as plain values."""
    return {
        name: {'weight': customer.weight}
        for name, customer in state.all_of('customer').items()
    }


class FoldTest(testtools.TestCase):
    """Check verdicts and states."""

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(records, max_size=14))
    def test_fold_agrees_with_naive(self, raw: list[Any]) -> None:
        """Reach the verdicts and the state of the naive fold."""
        naive = NaiveFold()
        state = ControlState()
        for offset, record in enumerate(raw):
            state, verdict = fold_record(state, at(offset, record))
            self.assertEqual(naive.take(record), verdict.code)
        self.assertEqual(naive.state(), weights(state))
        self.assertEqual(state, load_state(dump_state(state)))

    @settings(derandomize=True, database=None, deadline=None)
    @given(
        st.lists(records, max_size=10),
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=3),
        st.integers(0, 12),
    )
    def test_trimmed_log_agrees_with_whole(
        self,
        raw: list[Any],
        shots: list[tuple[int, int]],
        earliest: int,
    ) -> None:
        """Reach the same state from any start, or none at all.

        Snapshots cover one prefix and are appended at any later place, as a
        paused writer's would be.
        """
        log = [at(n, record) for n, record in enumerate(raw)]
        for number, (covers, delay) in enumerate(shots):
            log = insert_snapshot(log, covers, covers + delay, f'shot-{number}')
        whole = LogReader()
        for entry in log:
            whole.push(entry)
        late = LogReader()
        for entry in log[min(earliest, len(log)) :]:
            late.push(entry)
        if late.state is None:
            return
        if not late.in_gap and whole.state is not None:
            self.assertEqual(whole.state.objects, late.state.objects)
            self.assertEqual(whole.state.offset, late.state.offset)

    @settings(derandomize=True, database=None, deadline=None)
    @given(junk)
    def test_junk_changes_nothing(self, raw: Any) -> None:
        """Refuse what does not parse with a numbered verdict."""
        state, verdict = fold_record(ControlState(), at(0, raw))
        self.assertEqual(ControlState(offset=0), state)
        self.assertIn(
            verdict.code,
            {
                ResultCode.record_malformed,
                ResultCode.ticket_malformed,
            },
        )

    def test_gap_is_never_served(self) -> None:
        """Stay without a state when the start is gone and no snapshot is."""
        reader = LogReader()
        reader.push(at(5, {'id': 'p', 'kind': 'ticket', 'body': {}}))
        self.assertIsNone(reader.state)

    def test_snapshot_before_a_gap_is_not_used(self) -> None:
        """Stay without a state when records after the snapshot are gone."""
        reader = LogReader()
        body = snapshot_body(ControlState(offset=2))
        reader.push(at(5, {'id': 'q', 'kind': 'snapshot', 'body': body}))
        self.assertIsNone(reader.state)

    def test_old_snapshot_takes_nobody_back(self) -> None:
        """Ignore a snapshot of the past, read after newer tickets."""
        old = snapshot_body(ControlState())
        reader = LogReader()
        body = {
            'ticket': 1,
            'operator': 'ana',
            'objects': [{'kind': 'customer', 'name': 'a', 'state': {}}],
        }
        reader.push(at(0, {'id': 'p', 'kind': 'ticket', 'body': body}))
        reader.push(at(1, {'id': 'q', 'kind': 'snapshot', 'body': old}))
        assert reader.state is not None
        self.assertEqual({'a': {'weight': 1.0}}, weights(reader.state))

    def test_altered_snapshot_is_ignored(self) -> None:
        """Ignore a snapshot whose state does not match its digest."""
        body = snapshot_body(ControlState(offset=4))
        body['state']['views'] = {'x-1': {'number': 1}}
        reader = LogReader()
        reader.push(at(5, {'id': 'q', 'kind': 'snapshot', 'body': body}))
        self.assertIsNone(reader.state)


def insert_snapshot(
    log: list[LogRecord],
    covers: int,
    place: int,
    ident: str,
) -> list[LogRecord]:
    """Append the snapshot of a prefix at a later place, moving the rest."""
    covered = min(covers, len(log) - 1)
    state = ControlState()
    for entry in log[: covered + 1]:
        state, _verdict = fold_record(state, entry)
    record = {'id': ident, 'kind': 'snapshot', 'body': snapshot_body(state)}
    where = min(max(place, covered) + 1, len(log))
    bodies = [entry.record for entry in log]
    bodies.insert(where, record)
    return [at(offset, body) for offset, body in enumerate(bodies)]
