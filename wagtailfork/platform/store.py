"""A client of the platform's store, a log with keyed topics."""

import asyncio
import base64
import json
import math
import logging
import struct
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import urlencode

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..core.results import ResultCode
from ..fleet.position import Position
from ..http1.body import Body
from ..http1.headers import render_head
from ..http1.pool import ConnectionPool
from ..http1.responses import BackendResponse, RequestNotSent, ResponseError

_OK: Final = 200
_GONE: Final = 410
# For the head of a response. The store responds in 4 ms, or in 240 ms when it
# is slowed by a factor of 60.
_CALL_TIMEOUT_S: Final = 2.0
# Without any byte of a body. What arrives slowly is not given up: it would
# start again at zero. A segment that is lost twice is sent again within this.
_BODY_SILENCE_S: Final = 1.5
_READ_LIMIT_S: Final = 0.8  # of a read that does not wait for records
_MS_PER_S: Final = 1000
_MAX_RESPONSE_BYTES: Final = 67108864  # fits a listing of 14,000 servers
_ERA: Final = b'store-era'
_MAX_ERA: Final = 1000000000  # a larger one is an error
# The end offset and the first retained offset.
_OFFSETS: Final = struct.Struct('>QQ')
_LENGTH: Final = struct.Struct('>I')

_PAGE_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)

OnAnswer = Callable[[Body], None]

_logger = logging.getLogger(__name__)


def _ignore_answer(_body: Body) -> None:
    """Do nothing, for calls whose answer nobody waits for."""


class PositionLost(Exception):
    """Report that a topic cannot be read on from a position.

    Its records are no longer retained, or the store was restored since.
    """

    def __init__(self, detail: str, first: Position | None = None) -> None:
        """Store the first retained position, None if the store gave none."""
        super().__init__(detail)
        self.first = first


@attrs.frozen
class KeyedRecord:
    """Hold a record of a keyed topic; a None payload deletes the key."""

    key: str
    payload: bytes | None
    offset: int


@attrs.frozen
class Listing:
    """Hold the newest record of each key and the next position to read."""

    records: dict[str, bytes]
    end: Position


@attrs.frozen
class _Page:
    """Hold one page of a listing."""

    records: dict[str, bytes]
    end: Position
    has_more: bool


@attrs.frozen
class Reply:
    """Hold a response of the store and the era it was given in."""

    status: int
    payload: bytes
    era: int


@attrs.define(eq=False)
class StoreClient:
    """Call the store with a timeout on each call."""

    address: str
    pool: ConnectionPool = attrs.field(factory=ConnectionPool)
    era: int = 0  # the latest one that the store named
    calls: int = 0
    fastest_s: float = math.inf  # of the answered calls
    read_bytes: int = 0
    written_bytes: int = 0
    # End of each topic as of the last read; a read may stop before it.
    ends: dict[str, int] = attrs.field(factory=dict)

    async def list_newest(
        self, topic: str, on_answer: OnAnswer = _ignore_answer
    ) -> Listing:
        """Return the newest record of each key of a topic.

        ``on_answer`` is called when a page begins to arrive.
        """
        page = await self._newest_page(topic, None, on_answer)
        records = dict(page.records)
        end = page.end
        while page.has_more:
            after = next(reversed(records), None)
            page = await self._newest_page(topic, after, on_answer)
            if page.end.era != end.era:
                raise _unavailable(
                    f'{topic}: listed from {end} to era {page.end.era}'
                )
            if page.has_more and not page.records.keys() - records.keys():
                raise _unavailable(f'{topic}: no new key after {after!r}')
            records.update(page.records)
        return Listing(records, end)

    async def read_keyed(
        self,
        topic: str,
        start: Position,
        wait_s: float,
        on_answer: OnAnswer = _ignore_answer,
    ) -> tuple[list[KeyedRecord], Position]:
        """Wait for records from a position; return them and the next one.

        The caller limits the time until ``on_answer`` is called, when records
        begin to arrive. Raise ``PositionLost`` if the topic cannot be read on
        from there.
        """
        framed, end = await self._read_frames(topic, start, wait_s, on_answer)
        records = [_parse_keyed(record, offset) for offset, record in framed]
        return [parsed for parsed in records if parsed is not None], end

    async def read_log(
        self,
        topic: str,
        start: Position,
    ) -> tuple[list[bytes], Position]:
        """Read records from a position without waiting for new ones.

        Return them and the next position; raise ``PositionLost`` if the topic
        cannot be read on from there.
        """
        framed, end = await self._read_frames(
            topic, start, 0, limit_s=_READ_LIMIT_S
        )
        return [record for _, record in framed], end

    async def put_keyed(self, topic: str, key: str, payload: bytes) -> None:
        """Append one record to a keyed topic."""
        name = key.encode()
        await self.append(topic, bytes([len(name)]) + name + payload)

    async def append(self, topic: str, record: bytes) -> None:
        """Append one record to a topic."""
        raw = _LENGTH.pack(len(record)) + record
        query = urlencode({'topic': topic, 'part': 0})
        reply = await self._call('POST', f'/v1/log-append?{query}', raw)
        self.written_bytes += len(raw)
        _expect_ok(reply)

    def drop_idle(self) -> None:
        """Close idle connections, which may be silent like a lost one."""
        self.pool.drop(self.address)

    async def _read_frames(
        self,
        topic: str,
        start: Position,
        wait_s: float,
        on_answer: OnAnswer = _ignore_answer,
        limit_s: float | None = None,
    ) -> tuple[list[tuple[int, bytes]], Position]:
        query = {
            'topic': topic,
            'part': 0,
            'from': start.offset,
            'waitMs': round(wait_s * _MS_PER_S),
        }
        reply = await self._call(
            'GET',
            f'/v1/log-read?{urlencode(query)}',
            limit_s=limit_s,
            on_answer=on_answer,
        )
        if reply.status == _GONE:
            raise PositionLost(f'{topic} from {start}', _first(reply))
        payload = _expect_ok(reply)
        if reply.era != start.era:
            # The offset may exist again and mean another record.
            raise PositionLost(f'{topic} from {start} in era {reply.era}')
        framed, offset = _parse_frames(payload, start.offset)
        self.ends[topic] = _OFFSETS.unpack_from(payload)[0]
        return framed, Position(reply.era, offset)

    async def _newest_page(
        self,
        topic: str,
        after: str | None,
        on_answer: OnAnswer = _ignore_answer,
    ) -> _Page:
        query: dict[str, Any] = {'topic': topic, 'part': 0}
        if after is not None:
            query['after'] = after
        reply = await self._call(
            'GET', f'/v1/log-newest?{urlencode(query)}', on_answer=on_answer
        )
        raw = _expect_ok(reply)
        try:
            return _parse_page(json.loads(raw), reply.era)
        except _PAGE_ERRORS as exc:
            # The text of some errors is safe while their representation
            # holds the whole page.
            why = f'{type(exc).__name__}: {exc}'
            raise _unavailable(f'{topic}: malformed page: {why}') from exc

    async def _call(
        self,
        method: str,
        target: str,
        payload: bytes = b'',
        limit_s: float | None = _CALL_TIMEOUT_S,
        on_answer: OnAnswer = _ignore_answer,
    ) -> Reply:
        self.calls += 1
        headers = [(b'Host', self.address.encode())]
        body = None
        if method == 'POST':
            headers.append((b'Content-Length', b'%d' % len(payload)))
            body = Body()
            body.feed(payload)
            body.finish()
        head = render_head(f'{method} {target} HTTP/1.1'.encode(), headers)
        try:
            return await self._exchange_within(limit_s, head, body, on_answer)
        except TimeoutError as exc:
            self.drop_idle()
            why = f'no answer in {limit_s} s, or silence within it'
            raise _unavailable(f'{target}: {why}') from exc
        except (RequestNotSent, ResponseError) as exc:
            raise _unavailable(f'{target}: {exc}') from exc

    async def _exchange_within(
        self,
        limit_s: float | None,
        head: bytes,
        body: Body | None,
        on_answer: OnAnswer,
    ) -> Reply:
        """Limit the time until an answer begins to arrive."""
        async with asyncio.timeout(limit_s) as limit:

            def record_answer(response: BackendResponse) -> None:
                limit.reschedule(None)
                if response.status == _OK:
                    on_answer(response.body)

            return await self._exchange(head, body, record_answer)

    async def _exchange(
        self,
        head: bytes,
        body: Body | None,
        on_head: Callable[[BackendResponse], None],
    ) -> Reply:
        began_s = now_s()
        conn = await self.pool.acquire(self.address, once=False, timeout_s=1)
        try:
            response = await conn.exchange(head, body, request_id=None)
            self.fastest_s = min(self.fastest_s, now_s() - began_s)
            on_head(response)
            await _receive(response.body, began_s)
        except BaseException:
            conn.close()
            raise
        self.pool.release(self.address, conn)
        if response.body.truncated:
            raise ResponseError('answer cut short')
        self.read_bytes += response.body.size
        return Reply(
            response.status, response.body.payload(), self._update_era(response)
        )

    def _update_era(self, response: BackendResponse) -> int:
        """Return the era of a response; raise ``ResponseError`` if outdated."""
        text = response.find(_ERA)
        era = self.era if text is None else parse_era(text)
        if era is None:
            log_warning(_logger, 'store_era_unreadable', found=text)
            return self.era
        if era < self.era:
            raise ResponseError(f'era {era} after era {self.era}')
        if era > self.era:
            log_event(_logger, 'store_era', era=era, before=self.era)
            self.era = era
        return era


async def _receive(body: Body, began_s: float) -> None:
    # Listings may exceed the default buffer limit of a body.
    body.replay_limit_bytes = _MAX_RESPONSE_BYTES
    try:
        await body.wait_buffered(_BODY_SILENCE_S)
    except (TimeoutError, asyncio.CancelledError) as exc:
        log_event(
            _logger,
            'store_answer_left',
            why=type(exc).__name__,
            received_bytes=body.size,
            ms=(now_s() - began_s) * _MS_PER_S,
        )
        raise


def parse_era(text: bytes) -> int | None:
    """Parse an era; None if it is no valid number.

    >>> parse_era(b'2'), parse_era(b'-1'), parse_era(b'x'), parse_era(b'9' * 99)
    (2, None, None, None)
    """
    if not text.isdigit() or len(text) > len(str(_MAX_ERA)):
        return None
    era = int(text)
    return era if era <= _MAX_ERA else None


def _parse_page(plain: Any, era: int) -> _Page:
    records = {
        str(row['key']): base64.b64decode(row['value'], validate=True)
        for row in plain['items']
    }
    end = Position(era, int(plain['end']))
    return _Page(records, end, bool(plain.get('hasMore')))


def _unavailable(detail: str) -> WagtailforkError:
    return WagtailforkError(ResultCode.log_unavailable, detail)


def _expect_ok(reply: Reply) -> bytes:
    if reply.status != _OK:
        raise _unavailable(f'status {reply.status}')
    return reply.payload


def _first(reply: Reply) -> Position | None:
    """Parse the first retained position, which a new listing does not need."""
    try:
        return Position(reply.era, int(json.loads(reply.payload)['first']))
    except _PAGE_ERRORS:
        return None


def _parse_frames(
    raw: bytes,
    start: int,
) -> tuple[list[tuple[int, bytes]], int]:
    """Parse length-prefixed records; return them and the next offset."""
    if len(raw) < _OFFSETS.size:
        raise _unavailable(f'log answer too short: {len(raw)} bytes')
    pos = _OFFSETS.size
    offset = start
    framed = []
    while pos + _LENGTH.size <= len(raw):
        size = _LENGTH.unpack_from(raw, pos)[0]
        pos += _LENGTH.size
        record = raw[pos : pos + size]
        if len(record) < size:
            break  # the store's size limit truncated the last record
        pos += size
        framed.append((offset, record))
        offset += 1
    return framed, offset


def _parse_keyed(record: bytes, offset: int) -> KeyedRecord | None:
    if not record:
        return None
    end = 1 + record[0]
    key = record[1:end].decode('utf-8', 'replace')
    return KeyedRecord(key, record[end:] or None, offset)
