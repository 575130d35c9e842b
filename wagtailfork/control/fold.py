"""Fold the control log into the state that all entry VMs share.

Folding is deterministic: whether a record is accepted depends only on the
records before it. Every entry VM thus computes the same state without
electing a leader.
"""

from collections.abc import Mapping
from functools import singledispatch
from typing import Any, Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.structure import parse_plain
from .objects import ControlObject, references
from .tickets import ObjectId, Ticket, parse_ticket
from .views import View, ViewChange, apply_view_change

NO_OFFSET: Final = -1
MAX_RECENT_RECORDS: Final = 1024  # record ids kept to ignore repeated appends


@attrs.frozen
class StoredObject:
    """Hold an object's state and the number and digest of its last ticket."""

    ticket: int
    digest: str
    state: ControlObject | None


@attrs.frozen
class RecordResult:
    """Hold the result of folding one record."""

    code: ResultCode
    detail: str = ''


@attrs.frozen(kw_only=True)
class ControlState:
    """Hold the state computed from all records up to ``offset``."""

    offset: int = NO_OFFSET
    objects: Mapping[ObjectId, StoredObject] = attrs.field(factory=dict)
    views: Mapping[str, View] = attrs.field(factory=dict)
    recent: Mapping[str, RecordResult] = attrs.field(factory=dict)

    def get_object(self, kind: str, name: str) -> ControlObject | None:
        """Return the state of one object, or None if it does not exist."""
        stored = self.objects.get((kind, name))
        return stored.state if stored else None

    def objects_of_kind(self, kind: str) -> dict[str, Any]:
        """Return all existing objects of one kind by name."""
        return {
            ident[1]: stored.state
            for ident, stored in self.objects.items()
            if ident[0] == kind and stored.state is not None
        }


@attrs.frozen(kw_only=True)
class LogRecord:
    """Hold one record with its offset and time in the log."""

    offset: int
    time_ms: int
    record: Any


def fold_record(
    state: ControlState,
    entry: LogRecord,
) -> tuple[ControlState, RecordResult]:
    """Fold the next record; a rejected record only advances the offset.

    >>> state, result = fold_record(
    ...     ControlState(), LogRecord(offset=0, time_ms=0, record='noise'))
    >>> (state.offset, result.code.name)
    (0, 'record_malformed')
    """
    if entry.offset != state.offset + 1:
        raise WagtailforkError(
            ResultCode.log_gap,
            f'state at offset {state.offset}, next record at {entry.offset}',
        )
    try:
        ident, change = parse_record(entry.record)
    except WagtailforkError as exc:
        rejected = RecordResult(exc.code, exc.detail)
        return attrs.evolve(state, offset=entry.offset), rejected
    if ident in state.recent:
        earlier = state.recent[ident]
        return attrs.evolve(state, offset=entry.offset), earlier
    return _fold_change(state, entry, ident, change)


def _fold_change(
    state: ControlState,
    entry: LogRecord,
    ident: str,
    change: Any,
) -> tuple[ControlState, RecordResult]:
    result = RecordResult(ResultCode.ok)
    folded = state
    try:
        folded = apply_change(change, state, entry.time_ms)
    except WagtailforkError as exc:
        result = RecordResult(exc.code, exc.detail)
    recent = dict(state.recent)
    recent[ident] = result
    if len(recent) > MAX_RECENT_RECORDS:
        recent.pop(next(iter(recent)))
    return attrs.evolve(folded, offset=entry.offset, recent=recent), result


@attrs.frozen(kw_only=True)
class SnapshotRecord:
    """Hold a state that covers the log up to and including ``covers``."""

    covers: int
    digest: str
    state: Any


@attrs.frozen(kw_only=True)
class _RawRecord:
    id: str  # noqa: WPS125
    kind: str
    body: Any


def parse_record(raw: Any) -> tuple[str, Ticket | ViewChange | SnapshotRecord]:
    """Parse a record into its id and typed body.

    Raise ``record_malformed``, or ``ticket_malformed`` for a ticket's body.
    """
    record = parse_plain(raw, _RawRecord, ResultCode.record_malformed)
    if record.kind == 'ticket':
        return record.id, parse_ticket(record.body)
    if record.kind == 'view':
        body = parse_plain(record.body, ViewChange, ResultCode.record_malformed)
        return record.id, body
    if record.kind == 'snapshot':
        snapshot = parse_plain(
            record.body,
            SnapshotRecord,
            ResultCode.record_malformed,
        )
        return record.id, snapshot
    raise WagtailforkError(ResultCode.record_malformed, record.kind)


@singledispatch
def apply_change(
    change: object,
    state: ControlState,
    at_ms: int,
) -> ControlState:
    """Return the state after one change, or raise if it is rejected."""
    raise WagtailforkError(ResultCode.record_malformed, repr(change))


@apply_change.register
def _apply_snapshot(
    change: SnapshotRecord,
    state: ControlState,
    at_ms: int,
) -> ControlState:
    # The state already includes every record that the snapshot covers.
    return state


@apply_change.register
def _apply_view(
    change: ViewChange,
    state: ControlState,
    at_ms: int,
) -> ControlState:
    views = apply_view_change(state.views, change, at_ms)
    return attrs.evolve(state, views=views)


@apply_change.register
def _apply_ticket(
    change: Ticket,
    state: ControlState,
    at_ms: int,
) -> ControlState:
    if _is_already_applied(change, state):
        return state
    _check_ticket_number(change, state)
    objects = dict(state.objects)
    for ident, item in change.objects:
        objects[ident] = StoredObject(change.number, change.digest, item)
    _check_references(change, objects)
    return attrs.evolve(state, objects=objects)


def _is_already_applied(ticket: Ticket, state: ControlState) -> bool:
    for ident, _item in ticket.objects:
        stored = state.objects.get(ident)
        if stored is None:
            return False
        if (stored.ticket, stored.digest) != (ticket.number, ticket.digest):
            return False
    return True


def _check_ticket_number(ticket: Ticket, state: ControlState) -> None:
    for ident, _item in ticket.objects:
        stored = state.objects.get(ident)
        if stored is None or stored.ticket < ticket.number:
            continue
        same = stored.ticket == ticket.number
        code = ResultCode.ticket_conflict if same else ResultCode.ticket_stale
        kind, name = ident
        raise WagtailforkError(
            code,
            f'ticket {ticket.number}: {kind} {name} is at {stored.ticket}',
        )


def _check_references(
    ticket: Ticket,
    objects: Mapping[ObjectId, StoredObject],
) -> None:
    changed = {ident for ident, _item in ticket.objects}
    removes_objects = any(item is None for _ident, item in ticket.objects)
    for ident, stored in objects.items():
        if stored.state is None:
            continue
        if removes_objects or ident in changed:
            _check_references_exist(ident, stored.state, objects)


def _check_references_exist(
    ident: ObjectId,
    item: ControlObject,
    objects: Mapping[ObjectId, StoredObject],
) -> None:
    for reference in references(item):
        found = objects.get(reference)
        if found is not None and found.state is not None:
            continue
        raise WagtailforkError(
            ResultCode.ticket_dangling,
            f'{ident} needs {reference}',
        )
