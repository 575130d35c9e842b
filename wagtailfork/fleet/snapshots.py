"""Fetch from another VM what it knows and this one does not."""

import asyncio
from typing import Any, Final
from urllib.parse import parse_qs, urlencode, urlsplit

import cbor2

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..http1.answers import AnswerFailed, NothingSent
from ..http1.backend import connect
from ..http1.request import CallerRequest
from ..http1.headers import render_head

_PATH: Final = '/snapshot'
_OK: Final = 200
FETCH_S: Final = 0.6  # five round trips between regions, and the transfer
MOST_BYTES: Final = 33554432
_SHOWN: Final = 99  # characters of a decoder's error in a message

Parts = tuple[bytes, int, dict[str, bytes]]


def answer_snapshot(req: CallerRequest, parts: Parts) -> None:
    """Answer a fetch with a configuration, a position and servers."""
    req.answer(_OK, [], cbor2.dumps(list(parts)))


def read_query(req: CallerRequest) -> tuple[int, int]:
    """Read the version and the position that the asker has."""
    query = parse_qs(urlsplit(req.target.decode('latin-1')).query)
    try:
        return int(query['version'][0]), int(query['position'][0])
    except (KeyError, ValueError) as exc:
        raise WagtailforkError(
            ResultCode.bad_request,
            req.target.decode('latin-1'),
        ) from exc


async def fetch_snapshot(address: str, version: int, position: int) -> Parts:
    """Fetch what is newer than a version and a position.

    Raises ``service_unreachable`` or ``frame_malformed``.
    """
    query = urlencode({'version': version, 'position': position})
    head = render_head(
        f'GET {_PATH}?{query} HTTP/1.1'.encode(),
        [(b'Host', address.encode()), (b'Connection', b'close')],
    )
    try:
        async with asyncio.timeout(FETCH_S):
            raw = await _fetch(address, head)
    except (TimeoutError, NothingSent, AnswerFailed) as exc:
        raise WagtailforkError(
            ResultCode.service_unreachable,
            f'{address}: {exc!r}',
        ) from exc
    return _parse(raw)


async def _fetch(address: str, head: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    conn = await connect(host, int(port), FETCH_S)
    try:
        answer = await conn.exchange(head)
        answer.body.keep_bytes = MOST_BYTES
        await answer.body.wait_filled()
    finally:
        conn.close()
    if answer.status != _OK or not answer.body.complete:
        raise AnswerFailed(f'status {answer.status}')
    return answer.body.whole()


def _read_parts(parts: Any) -> Parts:
    configuration, position, servers = parts
    table = {str(name): bytes(entry) for name, entry in servers.items()}
    return bytes(configuration), int(position), table


def _parse(raw: bytes) -> Parts:
    try:
        return _read_parts(cbor2.loads(raw))
    except Exception as exc:
        # Hostile bytes make the decoder fail in many ways.
        raise WagtailforkError(
            ResultCode.frame_malformed,
            repr(exc)[:_SHOWN],
        ) from exc
