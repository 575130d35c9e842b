"""Transfer of configuration and server table between VMs."""

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any, Final, TypeVar
from urllib.parse import parse_qs, urlencode, urlsplit

import attrs
import cbor2

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import ResultCode
from ..http1.backend import connect
from ..http1.body import Body
from ..http1.headers import render_head
from ..http1.request import CallerRequest
from ..http1.responses import RequestNotSent, ResponseError
from .evacuation_rows import (
    EvacuationRows,
    parse_evacuations,
    render_evacuations,
)
from .position import NO_POSITION, Edition, Position
from .wire_values import as_bytes, as_count, as_name, as_number

_PATH: Final = '/snapshot'
_QUERY_NAMES: Final = ('version', 'config_era', 'era', 'offset')
_DELTAS: Final = 'deltas'  # VMs of older builds don't send it
_OK: Final = 200
ANSWER_LIMIT_S: Final = 0.6  # for a connection and a head: some round trips
SILENCE_LIMIT_S: Final = 1.0  # without a byte of the body
FETCH_LIMIT_S: Final = 3.0  # a slow sender keeps others from being asked
MAX_SNAPSHOT_BYTES: Final = 33554432
WHOLE: Final = 'whole'
DELTA: Final = 'delta'
NO_CONFIGURATION: Final = 'none'
_MS_PER_S: Final = 1000
_MAX_ERROR_CHARS: Final = 99  # of a decoder error

Row = TypeVar('Row')

_logger = logging.getLogger(__name__)


@attrs.frozen
class Change:
    """Hold one change of the server table; no entry means a removal."""

    name: str
    entry: bytes | None
    position: Position  # after the change


@attrs.frozen
class Departure:
    """Hold the last statement of a server that drains or was removed."""

    name: str
    started_ms: int
    sequence: int
    draining: bool


@attrs.frozen(kw_only=True)
class Snapshot:
    """Hold the configuration, and the server table or its recent changes.

    The configuration is compressed, as many VMs fetch it at the same time, or
    a delta. A table comes with newer entries that the sender could not use, and
    with the departures that an older copy of it may lack.
    """

    # Not in the representation, as they hold the keys of customers.
    packed_configuration: bytes = attrs.field(default=b'', repr=False)
    configuration_delta: bytes | None = attrs.field(default=None, repr=False)
    configuration_era: int = 0
    position: Position = NO_POSITION
    servers: Mapping[str, bytes] | None = None
    set_aside: Mapping[str, bytes] = attrs.field(factory=dict)
    changes: tuple[Change, ...] = ()
    departures: tuple[Departure, ...] = ()
    evacuations: EvacuationRows | None = None  # None if there never was one

    @property
    def form(self) -> str:
        """Return whether the configuration is whole, a delta or none.

        >>> Snapshot(configuration_delta=b'').form, Snapshot().form
        ('delta', 'none')
        """
        if self.configuration_delta is not None:
            return DELTA
        return WHOLE if self.packed_configuration else NO_CONFIGURATION


@attrs.frozen
class SnapshotQuery:
    """Say what a VM has, and whether it applies deltas."""

    edition: Edition
    position: Position
    deltas: bool = False

    def render(self) -> str:
        """Return the query of the URL.

        >>> SnapshotQuery(Edition(7, 2), Position(2, 40)).render()
        'version=7&config_era=2&era=2&offset=40'
        """
        edition, position = self.edition, self.position
        numbers = (edition.version, edition.era, position.era, position.offset)
        fields = dict(zip(_QUERY_NAMES, numbers, strict=True))
        if self.deltas:
            fields[_DELTAS] = 1
        return urlencode(fields)


def pack(raw: bytes) -> bytes:
    """Compress a configuration."""
    return zlib.compress(raw, 1)


def unpack(packed: bytes, limit_bytes: int | None = None) -> bytes:
    """Decompress a configuration or raise ``frame_malformed``.

    It is malformed if it is cut short or larger than ``limit_bytes``, by
    default ``MAX_SNAPSHOT_BYTES``.

    >>> unpack(pack(b'abc')), unpack(b'')
    (b'abc', b'')
    """
    if not packed:
        return b''
    limit_bytes = limit_bytes or MAX_SNAPSHOT_BYTES
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, limit_bytes)
    except zlib.error as exc:
        raise WagtailforkError(
            ResultCode.frame_malformed, f'configuration: {exc}'
        ) from exc
    if not decompressor.eof:
        raise WagtailforkError(
            ResultCode.frame_malformed,
            f'configuration cut short, or over {limit_bytes} bytes',
        )
    return raw


def send_snapshot(req: CallerRequest, snapshot: Snapshot) -> None:
    """Respond to a fetch with a snapshot."""
    req.respond(_OK, [], render_snapshot(snapshot))


def render_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    servers = snapshot.servers
    changes = [
        [one.name, one.entry, one.position.offset] for one in snapshot.changes
    ]
    parts = {
        'configuration': snapshot.packed_configuration,
        'configuration_era': snapshot.configuration_era,
        'era': snapshot.position.era,
        'offset': snapshot.position.offset,
        'servers': None if servers is None else dict(servers),
        'set_aside': dict(snapshot.set_aside),
        'changes': changes,
        'departures': [list(attrs.astuple(one)) for one in snapshot.departures],
    }
    if snapshot.configuration_delta is not None:
        parts['configuration_delta'] = snapshot.configuration_delta
    if snapshot.evacuations is not None:
        parts['evacuations'] = render_evacuations(snapshot.evacuations)
    return cbor2.dumps(parts)


def parse_snapshot(raw: bytes) -> Snapshot:
    """Decode a snapshot or raise ``frame_malformed``.

    >>> parse_snapshot(render_snapshot(Snapshot(position=Position(1, 4))))
    ... # doctest: +ELLIPSIS
    Snapshot(..., position=Position(era=1, offset=4), ...)
    """
    try:
        return _parse_parts(cbor2.loads(raw))
    except Exception as exc:
        # Malformed input raises many types of exceptions in the decoder.
        raise WagtailforkError(
            ResultCode.frame_malformed,
            repr(exc)[:_MAX_ERROR_CHARS],
        ) from exc


def parse_query(req: CallerRequest) -> SnapshotQuery:
    """Return what the requesting VM has."""
    query = parse_qs(urlsplit(req.target.decode('latin-1')).query)
    try:
        version, config_era, era, offset = (
            int(query[name][0]) for name in _QUERY_NAMES
        )
    except (KeyError, ValueError) as exc:
        raise WagtailforkError(
            ResultCode.bad_request,
            req.target.decode('latin-1'),
        ) from exc
    return SnapshotQuery(
        Edition(version, config_era),
        Position(era, offset),
        deltas=query.get(_DELTAS) == ['1'],
    )


@attrs.define
class Transfer:
    """Measure a fetch, also one that fails."""

    began_s: float = attrs.field(factory=now_s)
    body: Body | None = None

    def describe(self) -> dict[str, Any]:
        """Return the fields of a log line."""
        return {
            'ms': (now_s() - self.began_s) * _MS_PER_S,
            'received_bytes': self.body.size if self.body else 0,
        }


async def fetch_snapshot(
    address: str, query: SnapshotQuery, transfer: Transfer
) -> Snapshot:
    """Fetch what is newer than what this VM has.

    Raise ``service_unreachable`` or ``frame_malformed``.
    """
    head = render_head(
        f'GET {_PATH}?{query.render()} HTTP/1.1'.encode(),
        # Not to be closed by the sender, which counts a transfer until then.
        [(b'Host', address.encode())],
    )
    try:
        async with asyncio.timeout(FETCH_LIMIT_S):
            raw = await _fetch(address, head, transfer)
    except (TimeoutError, RequestNotSent, ResponseError) as exc:
        raise WagtailforkError(
            ResultCode.service_unreachable,
            f'{address}: {exc!r}',
        ) from exc
    return parse_snapshot(raw)


async def _fetch(address: str, head: bytes, transfer: Transfer) -> bytes:
    host, _, port = address.rpartition(':')
    due_s = asyncio.get_running_loop().time() + ANSWER_LIMIT_S
    conn = await connect(host, int(port), ANSWER_LIMIT_S)
    with contextlib.closing(conn):
        async with asyncio.timeout_at(due_s):
            response = await conn.exchange(head, request_id=None)
        transfer.body = response.body
        response.body.replay_limit_bytes = MAX_SNAPSHOT_BYTES
        await response.body.wait_buffered(SILENCE_LIMIT_S)
    if response.status != _OK or not response.body.complete:
        raise ResponseError(f'status {response.status}')
    return response.body.payload()


def _parse_parts(parts: Any) -> Snapshot:
    position = Position(as_count(parts['era']), as_number(parts['offset']))
    servers = parts['servers']
    table = None
    if servers is not None:
        table = _parse_table(servers)
    return Snapshot(
        packed_configuration=as_bytes(parts['configuration']),
        configuration_era=as_count(parts['configuration_era']),
        configuration_delta=_parse_delta(parts.get('configuration_delta')),
        position=position,
        servers=table,
        # VMs of older builds don't send it.
        set_aside=_parse_table(parts.get('set_aside', {})),
        changes=tuple(
            _parse_rows(
                partial(_parse_change, era=position.era), parts['changes']
            )
        ),
        departures=tuple(_parse_rows(_parse_departure, parts['departures'])),
        evacuations=parse_evacuations(parts.get('evacuations')),
    )


def _parse_delta(found: Any) -> bytes | None:
    """Return an empty delta, which can't be applied, for a malformed one."""
    if found is None or isinstance(found, bytes):
        return found
    return b''


def _parse_rows(
    parse_row: Callable[[Any], Row], rows: Iterable[Any]
) -> list[Row]:
    """Parse rows; leave out malformed ones."""
    parsed = []
    for row in rows:
        try:
            parsed.append(parse_row(row))
        except (TypeError, ValueError) as exc:
            error = repr(exc)[:_MAX_ERROR_CHARS]
            log_warning(_logger, 'row_unreadable', error=error)
    return parsed


def _parse_table(table: Any) -> dict[str, bytes]:
    return dict(_parse_rows(_parse_entry, table.items()))


def _parse_entry(row: Any) -> tuple[str, bytes]:
    name, entry = row
    return as_name(name), as_bytes(entry)


def _parse_change(row: Any, era: int) -> Change:
    name, entry, offset = row
    return Change(
        as_name(name),
        None if entry is None else as_bytes(entry),
        Position(era, as_count(offset)),
    )


def _parse_departure(row: Any) -> Departure:
    name, started_ms, sequence, draining = row
    return Departure(
        as_name(name), as_count(started_ms), as_count(sequence), bool(draining)
    )
