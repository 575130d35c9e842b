"""The pure fold of log records into the state that every entry VM shares.

The verdict on a record depends on nothing but the records before it, so
every entry VM reaches the same one with no election.
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
MAX_RECENT: Final = 1024  # record identities remembered against repeats


@attrs.frozen
class StoredObject:
    """Keep an object's state with the ticket that set it."""

    ticket: int
    digest: str
    state: ControlObject | None


@attrs.frozen
class Verdict:
    """Say what the fold decided about a record."""

    code: ResultCode
    detail: str = ''


@attrs.frozen(kw_only=True)
class ControlState:
    """Hold all that the log's prefix up to ``offset`` says."""

    offset: int = NO_OFFSET
    objects: Mapping[ObjectId, StoredObject] = attrs.field(factory=dict)
    views: Mapping[str, View] = attrs.field(factory=dict)
    recent: Mapping[str, Verdict] = attrs.field(factory=dict)

    def find(self, kind: str, name: str) -> ControlObject | None:
        """Give the state of one object, or None."""
        stored = self.objects.get((kind, name))
        return stored.state if stored else None

    def all_of(self, kind: str) -> dict[str, Any]:
        """Give all present objects of one kind by name."""
        return {
            ident[1]: stored.state
            for ident, stored in self.objects.items()
            if ident[0] == kind and stored.state is not None
        }


@attrs.frozen(kw_only=True)
class LogRecord:
    """Hold one record as the log returns it."""

    offset: int
    time_ms: int
    record: Any


def fold_record(
    state: ControlState,
    entry: LogRecord,
) -> tuple[ControlState, Verdict]:
    """Fold the next record; a refused record changes nothing but the offset.

    >>> state, verdict = fold_record(
    ...     ControlState(), LogRecord(offset=0, time_ms=0, record='noise'))
    >>> (state.offset, verdict.code.name)
    (0, 'record_malformed')
    """
    if entry.offset != state.offset + 1:
        raise WagtailforkError(
            ResultCode.log_gap,
            f'at {state.offset}, next record {entry.offset}',
        )
    try:
        ident, change = parse_record(entry.record)
    except WagtailforkError as exc:
        refused = Verdict(exc.code, exc.detail)
        return attrs.evolve(state, offset=entry.offset), refused
    if ident in state.recent:
        repeated = state.recent[ident]
        return attrs.evolve(state, offset=entry.offset), repeated
    return _fold_change(state, entry, ident, change)


def _fold_change(
    state: ControlState,
    entry: LogRecord,
    ident: str,
    change: Any,
) -> tuple[ControlState, Verdict]:
    verdict = Verdict(ResultCode.ok)
    folded = state
    try:
        folded = apply_change(change, state, entry.time_ms)
    except WagtailforkError as exc:
        verdict = Verdict(exc.code, exc.detail)
    recent = dict(state.recent)
    recent[ident] = verdict
    if len(recent) > MAX_RECENT:
        recent.pop(next(iter(recent)))
    return attrs.evolve(folded, offset=entry.offset, recent=recent), verdict


@attrs.frozen(kw_only=True)
class SnapshotRecord:
    """Carry a state that covers the log up to one offset."""

    covers: int
    digest: str
    state: Any


@attrs.frozen(kw_only=True)
class _RawRecord:
    id: str  # noqa: WPS125
    kind: str
    body: Any


def parse_record(raw: Any) -> tuple[str, Ticket | ViewChange | SnapshotRecord]:
    """Parse a record into its identity and typed body, or raise."""
    record = parse_plain(raw, _RawRecord, ResultCode.record_malformed)
    if record.kind == 'ticket':
        return record.id, parse_ticket(record.body)
    if record.kind == 'view':
        body = parse_plain(record.body, ViewChange, ResultCode.record_malformed)
        return record.id, body
    if record.kind == 'snapshot':
        shot = parse_plain(
            record.body,
            SnapshotRecord,
            ResultCode.record_malformed,
        )
        return record.id, shot
    raise WagtailforkError(ResultCode.record_malformed, record.kind)


@singledispatch
def apply_change(
    change: object,
    state: ControlState,
    at_ms: int,
) -> ControlState:
    """Apply one typed change or raise with the refusing code."""
    raise WagtailforkError(ResultCode.record_malformed, repr(change))


@apply_change.register
def _apply_snapshot(
    change: SnapshotRecord,
    state: ControlState,
    at_ms: int,
) -> ControlState:
    # A reader that has folded this far already knows more than the snapshot.
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
    if _is_repeat(change, state):
        return state
    _check_numbers(change, state)
    objects = dict(state.objects)
    for ident, item in change.objects:
        objects[ident] = StoredObject(change.number, change.digest, item)
    _check_references(change, objects)
    return attrs.evolve(state, objects=objects)


def _is_repeat(ticket: Ticket, state: ControlState) -> bool:
    for ident, _item in ticket.objects:
        stored = state.objects.get(ident)
        if stored is None:
            return False
        if (stored.ticket, stored.digest) != (ticket.number, ticket.digest):
            return False
    return True


def _check_numbers(ticket: Ticket, state: ControlState) -> None:
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
    touched = {ident for ident, _item in ticket.objects}
    is_removing = any(item is None for _ident, item in ticket.objects)
    for ident, stored in objects.items():
        if stored.state is None:
            continue
        if is_removing or ident in touched:
            _check_present(ident, stored.state, objects)


def _check_present(
    ident: ObjectId,
    item: ControlObject,
    objects: Mapping[ObjectId, StoredObject],
) -> None:
    for needed in references(item):
        present = objects.get(needed)
        if present is not None and present.state is not None:
            continue
        raise WagtailforkError(
            ResultCode.ticket_dangling,
            f'{ident} needs {needed}',
        )
