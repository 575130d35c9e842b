"""Snapshots of the folded state, and a log reader that can start from one."""

from collections.abc import Mapping
from typing import Any

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain, render_plain
from .fold import (
    ControlState,
    LogRecord,
    RecordResult,
    SnapshotRecord,
    StoredObject,
    fold_record,
    parse_record,
)
from .objects import parse_object
from .tickets import canonical_digest
from .views import View

FoldResult = tuple[ControlState, RecordResult]


@attrs.frozen
class _PlainObject:
    kind: str
    name: str
    ticket: int
    digest: str
    state: Any


@attrs.frozen(kw_only=True)
class _PlainState:
    offset: int
    objects: list[_PlainObject]
    views: dict[str, View]
    recent: list[tuple[str, int, str]]


def dump_state(state: ControlState) -> dict[str, Any]:
    """Convert the state to plain JSON values."""
    objects = [
        _PlainObject(
            kind,
            name,
            stored.ticket,
            stored.digest,
            None if stored.state is None else render_plain(stored.state),
        )
        for (kind, name), stored in sorted(state.objects.items())
    ]
    recent = [
        (ident, int(result.code), result.detail)
        for ident, result in state.recent.items()
    ]
    plain = _PlainState(
        offset=state.offset,
        objects=objects,
        views=dict(state.views),
        recent=recent,
    )
    return dict(render_plain(plain))


def load_state(raw: Any) -> ControlState:
    """Rebuild the state from plain values or raise ``record_malformed``.

    >>> load_state(dump_state(ControlState())) == ControlState()
    True
    """
    plain = parse_plain(raw, _PlainState, ResultCode.record_malformed)
    objects = {
        (item.kind, item.name): StoredObject(
            item.ticket,
            item.digest,
            _load_object(item),
        )
        for item in plain.objects
    }
    recent = {
        ident: RecordResult(ResultCode(code), detail)
        for ident, code, detail in plain.recent
    }
    return ControlState(
        offset=plain.offset,
        objects=objects,
        views=plain.views,
        recent=recent,
    )


def _load_object(item: _PlainObject) -> Any:
    if item.state is None:
        return None
    return parse_object(item.kind, item.state)


def snapshot_body(state: ControlState) -> dict[str, Any]:
    """Return the body of a snapshot record for a state."""
    plain = dump_state(state)
    digest = canonical_digest(plain)
    return {'covers': state.offset, 'digest': digest, 'state': plain}


def restore_snapshot(record: SnapshotRecord) -> ControlState:
    """Rebuild the state of a snapshot or raise ``record_malformed``."""
    if canonical_digest(record.state) != record.digest:
        raise WagtailforkError(
            ResultCode.record_malformed, 'snapshot digest mismatch'
        )
    state = load_state(record.state)
    if state.offset != record.covers:
        raise WagtailforkError(
            ResultCode.record_malformed, 'snapshot offset mismatch'
        )
    return state


@attrs.define
class LogReader:
    """Fold records in order, from a snapshot if the log's start is trimmed.

    ``state`` is None until the log's start or a snapshot was read. After a
    gap the reader keeps the last state, sets ``in_gap`` and buffers records
    until a snapshot or an adopted state covers the gap.
    """

    state: ControlState | None = None
    _buffered: list[LogRecord] = attrs.field(factory=list)

    @property
    def in_gap(self) -> bool:
        """Return whether buffered records cannot be folded yet."""
        return bool(self._buffered)

    def next_offset(self) -> int:
        """Return the offset of the next record to read."""
        if self._buffered:
            return self._buffered[-1].offset + 1
        return 0 if self.state is None else self.state.offset + 1

    def next_to_fold(self) -> int:
        """Return the offset of the first buffered record, or of the next."""
        if self._buffered:
            return self._buffered[0].offset
        return self.next_offset()

    def push(self, entry: LogRecord) -> Mapping[int, FoldResult]:
        """Add the next record; return the results of folding, by offset."""
        if self.state is None and entry.offset == 0:
            self.state = ControlState()
        if self.state is None:
            return self._buffer(entry)
        if entry.offset > self.state.offset + 1:
            return self._buffer(entry)
        return self._fold((entry,))

    def adopt(self, state: ControlState) -> Mapping[int, FoldResult]:
        """Replace the state with a peer's if that is at a later offset."""
        if self.state is not None and state.offset <= self.state.offset:
            return {}
        self.state = state
        return self._fold_buffered()

    def _buffer(self, entry: LogRecord) -> Mapping[int, FoldResult]:
        if self._buffered and entry.offset != self._buffered[-1].offset + 1:
            self._buffered = []
        self._buffered.append(entry)
        restored = self._restore_if_contiguous(entry)
        if restored is None:
            return {}
        self.state = restored
        return self._fold_buffered()

    def _fold_buffered(self) -> Mapping[int, FoldResult]:
        if self.state is None or not self._buffered:
            return {}
        if self._buffered[0].offset > self.state.offset + 1:
            return {}
        buffered = tuple(self._buffered)
        self._buffered = []
        return self._fold(buffered)

    def _restore_if_contiguous(self, entry: LogRecord) -> ControlState | None:
        try:
            _ident, body = parse_record(entry.record)
        except WagtailforkError:
            return None
        if not isinstance(body, SnapshotRecord):
            return None
        if body.covers + 1 < self._buffered[0].offset:
            return None
        try:
            return restore_snapshot(body)
        except WagtailforkError:
            return None

    def _fold(self, entries: tuple[LogRecord, ...]) -> Mapping[int, FoldResult]:
        folds: dict[int, FoldResult] = {}
        state = self.state or ControlState()
        for entry in entries:
            if entry.offset <= state.offset:
                continue
            folds[entry.offset] = fold_record(state, entry)
            state = folds[entry.offset][0]
        self.state = state
        return folds
