"""Snapshots of the folded state, and the reader that starts from one."""

from collections.abc import Mapping
from typing import Any

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain, render_plain
from .fold import (
    ControlState,
    LogRecord,
    SnapshotRecord,
    StoredObject,
    Verdict,
    fold_record,
    parse_record,
)
from .objects import parse_object
from .tickets import canonical_digest
from .views import View

Folded = tuple[ControlState, Verdict]


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
    """Turn the state into plain JSON values."""
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
        (ident, int(verdict.code), verdict.detail)
        for ident, verdict in state.recent.items()
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
        ident: Verdict(ResultCode(code), detail)
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
    """Make the body of the snapshot record that covers a state."""
    plain = dump_state(state)
    digest = canonical_digest(plain)
    return {'covers': state.offset, 'digest': digest, 'state': plain}


def restore_snapshot(record: SnapshotRecord) -> ControlState:
    """Rebuild a snapshot's state or raise ``record_malformed``."""
    if canonical_digest(record.state) != record.digest:
        raise WagtailforkError(ResultCode.record_malformed, 'snapshot digest')
    state = load_state(record.state)
    if state.offset != record.covers:
        raise WagtailforkError(ResultCode.record_malformed, 'snapshot offset')
    return state


@attrs.define
class LogReader:
    """Fold records in order, from a snapshot where the start is gone.

    ``state`` is None until a whole prefix is known. After a gap the reader
    keeps the last state, reports ``in_gap`` and moves on only by a snapshot
    that closes the gap.
    """

    state: ControlState | None = None
    _held: list[LogRecord] = attrs.field(factory=list)

    @property
    def in_gap(self) -> bool:
        """Tell whether records were read that can't be folded yet."""
        return bool(self._held)

    def next_offset(self) -> int:
        """Give the offset that the reader needs next."""
        if self._held:
            return self._held[-1].offset + 1
        return 0 if self.state is None else self.state.offset + 1

    def push(self, entry: LogRecord) -> Mapping[int, Folded]:
        """Take the next record and give the folds that it completed."""
        if self.state is None and entry.offset == 0:
            self.state = ControlState()
        if self.state is None:
            return self._hold(entry)
        if entry.offset > self.state.offset + 1:
            return self._hold(entry)
        return self._fold((entry,))

    def adopt(self, state: ControlState) -> Mapping[int, Folded]:
        """Take a peer's state if it is further on than this reader's."""
        if self.state is not None and state.offset <= self.state.offset:
            return {}
        self.state = state
        return self._release()

    def _hold(self, entry: LogRecord) -> Mapping[int, Folded]:
        if self._held and entry.offset != self._held[-1].offset + 1:
            self._held = []
        self._held.append(entry)
        start = self._usable_snapshot(entry)
        if start is None:
            return {}
        self.state = start
        return self._release()

    def _release(self) -> Mapping[int, Folded]:
        if self.state is None or not self._held:
            return {}
        if self._held[0].offset > self.state.offset + 1:
            return {}
        held = tuple(self._held)
        self._held = []
        return self._fold(held)

    def _usable_snapshot(self, entry: LogRecord) -> ControlState | None:
        try:
            _ident, body = parse_record(entry.record)
        except WagtailforkError:
            return None
        if not isinstance(body, SnapshotRecord):
            return None
        if body.covers + 1 < self._held[0].offset:
            return None
        try:
            return restore_snapshot(body)
        except WagtailforkError:
            return None

    def _fold(self, entries: tuple[LogRecord, ...]) -> Mapping[int, Folded]:
        folds: dict[int, Folded] = {}
        state = self.state or ControlState()
        for entry in entries:
            if entry.offset <= state.offset:
                continue
            folds[entry.offset] = fold_record(state, entry)
            state = folds[entry.offset][0]
        self.state = state
        return folds
