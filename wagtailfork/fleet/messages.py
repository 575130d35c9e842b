"""Datagram messages between entry VMs, encoded as CBOR lists."""

import logging
from functools import singledispatch
from typing import Any, Final

import attrs
import cbor2

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import ResultCode
from .age_messages import AGE_PARSERS, AgeMessage
from .member import Member, MemberRow, MemberUpdate
from .placement_codec import PLACEMENT_PARSERS, render_placement
from .placement_messages import PlacementMessage
from .position import START, Edition, Position
from .spill_messages import SPILL_PARSERS, SpillMessage, render_spill
from .token_messages import TOKEN_PARSERS, TokenMessage, render_tokens
from .trial_messages import TRIAL_PARSERS, TrialMessage, render_trial
from .wire_values import as_address, as_count, as_text

_MAX_ERROR_CHARS: Final = 99  # of a decoder error
_HEARTBEAT_KIND: Final = 1
_HEARTBEAT_REQUEST_KIND: Final = 4
_MEMBER_NUMBERS: Final = slice(4, None)  # integer fields of a member row
_KNOWLEDGE_NUMBERS: Final = slice(3, None)  # of those, what the VM knows
# Fields of a row, without and with the position of the evacuations.
_MEMBER_FIELD_COUNTS: Final = (11, 13)
_UPDATE_FIELD_COUNTS: Final = (8, 10)
_READY_FLAG: Final = 1
_READING_FLAG: Final = 2
_DOWN_FLAG: Final = 4
_STALE_FLAG: Final = 8

_logger = logging.getLogger(__name__)


@attrs.frozen
class Heartbeat:
    """Carry membership rows, that of the sender first."""

    rows: list[MemberRow]


@attrs.frozen
class HeartbeatRequest:
    """Request a heartbeat; an unknown VM gets rows of other VMs as well."""

    member: Member


Message = (
    Heartbeat
    | HeartbeatRequest
    | PlacementMessage
    | AgeMessage
    | TokenMessage
    | SpillMessage
    | TrialMessage
)


@singledispatch
def encode(message: Any) -> bytes:
    """Encode one message as CBOR."""
    raise TypeError(f'no encoding for {type(message).__name__}')


@encode.register
def _(message: Heartbeat) -> bytes:
    return cbor2.dumps([_HEARTBEAT_KIND, *map(_render_row, message.rows)])


@encode.register
def _(message: HeartbeatRequest) -> bytes:
    return cbor2.dumps([_HEARTBEAT_REQUEST_KIND, _member_row(message.member)])


@encode.register
def _(message: PlacementMessage) -> bytes:
    return cbor2.dumps(render_placement(message))


@encode.register
def _(message: AgeMessage) -> bytes:
    return cbor2.dumps(message.render())


@encode.register
def _(message: TokenMessage) -> bytes:
    return cbor2.dumps(render_tokens(message))


@encode.register
def _(message: SpillMessage) -> bytes:
    return cbor2.dumps(render_spill(message))


@encode.register
def _(message: TrialMessage) -> bytes:
    return cbor2.dumps(render_trial(message))


def decode(raw: bytes) -> Message:
    r"""Decode a datagram or raise ``frame_malformed``.

    >>> from .trial_messages import Strike
    >>> decode(encode(Strike('00000005', 'a')))
    Strike(fingerprint='00000005', server='a', started_ms=0, trial=False)
    >>> decode(b'\x00')
    Traceback (most recent call last):
    ...
    wagtailfork.core.errors.WagtailforkError: code=7001 ...
    """
    try:
        kind, *parts = cbor2.loads(raw)
        return _DECODERS[kind](parts)
    except Exception as exc:
        # Malformed input raises many types of exceptions in the decoder.
        raise WagtailforkError(
            ResultCode.frame_malformed,
            repr(exc)[:_MAX_ERROR_CHARS],
        ) from exc


def _render_row(row: MemberRow) -> list[Any]:
    if isinstance(row, Member):
        return _member_row(row)
    return [
        row.address,
        row.incarnation,
        row.heartbeat_count,
        _READY_FLAG * row.ready
        | _READING_FLAG * row.reads_store
        | _STALE_FLAG * row.stale,
        *_knowledge(row),
    ]


def _knowledge(row: MemberRow) -> list[int]:
    return [
        row.edition.version,
        row.edition.era,
        row.position.era,
        row.position.offset,
        *_evacuation_numbers(row.evacuations),
    ]


def _evacuation_numbers(position: Position) -> list[int]:
    """Return the fields that rows have only if there was an evacuation."""
    return [position.era, position.offset] if position > START else []


def _parse_knowledge(numbers: list[int]) -> dict[str, Any]:
    """Return the fields of a row that say what its VM knows."""
    return {
        'edition': Edition(*numbers[:2]),
        'position': Position(*numbers[2:4]),
        'evacuations': Position(*numbers[4:]) if numbers[4:] else START,
    }


def _parse_heartbeat(parts: list[Any]) -> Heartbeat:
    """Parse the rows, which describe VMs other than the sender but the first.

    A malformed row is left out, except that of the sender.
    """
    rows = [_parse_row(row) for row in parts[:1]]
    for row in parts[1:]:
        try:
            rows.append(_parse_row(row))
        except (TypeError, ValueError) as exc:
            error = repr(exc)[:_MAX_ERROR_CHARS]
            log_warning(_logger, 'row_unreadable', error=error)
    return Heartbeat(rows)


def _parse_row(row: Any) -> MemberRow:
    if not isinstance(row, list):
        raise TypeError(f'row of type {type(row).__name__}')
    if len(row) not in _UPDATE_FIELD_COUNTS:
        return _parse_member(row)
    address = as_address(row[0])
    parts = [as_count(number) for number in row[1:]]
    flags = parts[2]
    return MemberUpdate(
        address=address,
        incarnation=parts[0],
        heartbeat_count=parts[1],
        ready=bool(flags & _READY_FLAG),
        reads_store=bool(flags & _READING_FLAG),
        stale=bool(flags & _STALE_FLAG),
        **_parse_knowledge(parts[_KNOWLEDGE_NUMBERS]),
    )


def _member_row(member: Member) -> list[Any]:
    return [
        member.address,
        member.caller_address.rpartition(':')[2],
        member.failure_domain,
        member.region,
        member.incarnation,
        member.heartbeat_count,
        _READY_FLAG * member.ready
        | _READING_FLAG * member.reads_store
        | _DOWN_FLAG * member.down
        | _STALE_FLAG * member.stale,
        *_knowledge(member),
    ]


def _parse_member(row: list[Any]) -> Member:
    if len(row) not in _MEMBER_FIELD_COUNTS:
        raise ValueError(f'row of {len(row)} fields')
    address = as_address(row[0])
    host = address.rpartition(':')[0]
    numbers = [as_count(part) for part in row[_MEMBER_NUMBERS]]
    flags = numbers[2]
    return Member(
        address=address,
        caller_address=as_address(f'{host}:{as_text(row[1])}'),
        failure_domain=as_text(row[2]),
        region=as_text(row[3]),
        incarnation=numbers[0],
        heartbeat_count=numbers[1],
        ready=bool(flags & _READY_FLAG),
        reads_store=bool(flags & _READING_FLAG),
        down=bool(flags & _DOWN_FLAG),
        stale=bool(flags & _STALE_FLAG),
        **_parse_knowledge(numbers[_KNOWLEDGE_NUMBERS]),
    )


_DECODERS: Final[dict[int, Any]] = {
    _HEARTBEAT_KIND: _parse_heartbeat,
    _HEARTBEAT_REQUEST_KIND: lambda parts: HeartbeatRequest(
        _parse_member(parts[0])
    ),
    **PLACEMENT_PARSERS,
    **AGE_PARSERS,
    **TOKEN_PARSERS,
    **SPILL_PARSERS,
    **TRIAL_PARSERS,
}
