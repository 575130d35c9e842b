"""Transfer of configuration and server table between VMs."""

import asyncio
import zlib
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import parse_qs, urlencode, urlsplit

import attrs
import cbor2

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..http1.backend import connect
from ..http1.headers import render_head
from ..http1.request import CallerRequest
from ..http1.responses import RequestNotSent, ResponseError

_PATH: Final = '/snapshot'
_OK: Final = 200
FETCH_TIMEOUT_S: Final = 0.6  # five round trips between regions plus transfer
MAX_SNAPSHOT_BYTES: Final = 33554432
_MAX_ERROR_CHARS: Final = 99  # of a decoder error


@attrs.frozen
class Change:
    """Hold one change of the server table; no entry means a removal."""

    name: str
    entry: bytes | None
    position: int  # after the change


@attrs.frozen(kw_only=True)
class Snapshot:
    """Hold the configuration, and the server table or its recent changes.

    The configuration is compressed, as many VMs fetch it at the same time.
    """

    packed_configuration: bytes = b''
    position: int = -1
    servers: Mapping[str, bytes] | None = None
    changes: tuple[Change, ...] = ()


def pack(raw: bytes) -> bytes:
    """Compress a configuration."""
    return zlib.compress(raw, 1)


def unpack(packed: bytes) -> bytes:
    """Decompress a configuration or raise ``frame_malformed``.

    It is malformed if it is cut short or larger than ``MAX_SNAPSHOT_BYTES``.

    >>> unpack(pack(b'abc')), unpack(b'')
    (b'abc', b'')
    """
    if not packed:
        return b''
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, MAX_SNAPSHOT_BYTES)
    except zlib.error as exc:
        raise WagtailforkError(
            ResultCode.frame_malformed, f'configuration: {exc}'
        ) from exc
    if not decompressor.eof:
        raise WagtailforkError(
            ResultCode.frame_malformed,
            f'configuration cut short, or over {MAX_SNAPSHOT_BYTES} bytes',
        )
    return raw


def send_snapshot(req: CallerRequest, snapshot: Snapshot) -> None:
    """Respond to a fetch with a snapshot."""
    req.respond(_OK, [], render_snapshot(snapshot))


def render_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    servers = snapshot.servers
    changes = [[one.name, one.entry, one.position] for one in snapshot.changes]
    return cbor2.dumps(
        [
            snapshot.packed_configuration,
            snapshot.position,
            None if servers is None else dict(servers),
            changes,
        ]
    )


def parse_snapshot(raw: bytes) -> Snapshot:
    """Decode a snapshot or raise ``frame_malformed``.

    >>> parse_snapshot(render_snapshot(Snapshot(position=4))).position
    4
    """
    try:
        return _parse_parts(cbor2.loads(raw))
    except Exception as exc:
        # Malformed input raises many types of exceptions in the decoder.
        raise WagtailforkError(
            ResultCode.frame_malformed,
            repr(exc)[:_MAX_ERROR_CHARS],
        ) from exc


def parse_query(req: CallerRequest) -> tuple[int, int]:
    """Return the version and the position that the requesting VM has."""
    query = parse_qs(urlsplit(req.target.decode('latin-1')).query)
    try:
        return int(query['version'][0]), int(query['position'][0])
    except (KeyError, ValueError) as exc:
        raise WagtailforkError(
            ResultCode.bad_request,
            req.target.decode('latin-1'),
        ) from exc


async def fetch_snapshot(address: str, version: int, position: int) -> Snapshot:
    """Fetch what is newer than a configuration version and a position.

    Raise ``service_unreachable`` or ``frame_malformed``.
    """
    query = urlencode({'version': version, 'position': position})
    head = render_head(
        f'GET {_PATH}?{query} HTTP/1.1'.encode(),
        [(b'Host', address.encode()), (b'Connection', b'close')],
    )
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            raw = await _fetch(address, head)
    except (TimeoutError, RequestNotSent, ResponseError) as exc:
        raise WagtailforkError(
            ResultCode.service_unreachable,
            f'{address}: {exc!r}',
        ) from exc
    return parse_snapshot(raw)


async def _fetch(address: str, head: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    conn = await connect(host, int(port), FETCH_TIMEOUT_S)
    try:
        response = await conn.exchange(head)
        response.body.replay_limit_bytes = MAX_SNAPSHOT_BYTES
        await response.body.wait_buffered()
    finally:
        conn.close()
    if response.status != _OK or not response.body.complete:
        raise ResponseError(f'status {response.status}')
    return response.body.payload()


def _parse_parts(parts: Any) -> Snapshot:
    packed, position, servers, changes = parts
    table = None
    if servers is not None:
        table = {str(name): bytes(entry) for name, entry in servers.items()}
    return Snapshot(
        packed_configuration=bytes(packed),
        position=int(position),
        servers=table,
        changes=tuple(_parse_change(row) for row in changes),
    )


def _parse_change(row: Any) -> Change:
    name, entry, position = row
    return Change(
        str(name),
        None if entry is None else bytes(entry),
        int(position),
    )
