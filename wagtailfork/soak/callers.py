"""Callers that keep connections, upload in parts, wait and leave."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .customers import Customers
from .plan import HOST
from .record import Record, RequestRecord
from .wire import read_body, read_head

SHORTEST_DEADLINE_S: Final = 0.08
LONGEST_DEADLINE_S: Final = 6.5
PATIENCE_S: Final = 1.5  # beyond the deadline, for a gateway that was frozen
KEEP_SHARE: Final = 0.7  # of connections that are used again
AGAIN_SHARE: Final = 0.5  # of refused requests: sent again with their ids
LEAVE_SHARE: Final = 0.06
PAUSE_S: Final = 0.05  # mean, between two requests of a caller
CONNECT_TIMEOUT_S: Final = 1.0
MAX_SMALL_BYTES: Final = 900  # of a payment
MAX_UPLOAD_BYTES: Final = 1500000
CHUNKED_SHARE: Final = 0.5  # of uploads
PART_BYTES: Final = 65536
PART_PAUSE_S: Final = 0.01
_MS: Final = 1000
_KINDS: Final = {'look': 0.35, 'pay': 0.45, 'snap': 0.2}


@attrs.define(eq=False)
class Connection:
    """Hold a connection to a gateway."""

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def connect(address: str) -> Connection | None:
    """Connect to a gateway; return None if that fails."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return None
    return Connection(address, reader, writer)


@attrs.define(eq=False)
class Caller:
    """Send one request after the other to gateways chosen at random."""

    number: int
    record: Record
    rng: random.Random
    addresses: Callable[[], list[str]]  # of the gateways that are named now
    again_share: float = AGAIN_SHARE
    customers: Customers | None = None
    _sent: int = 0
    _again: RequestRecord | None = None  # refused, to be sent again
    _conn: Connection | None = None

    async def run(self, until_s: float) -> None:
        """Send requests until a time."""
        while now_s() < until_s:
            await self._send_one()
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
        self._close()

    async def _send_one(self) -> None:
        conn = await self._connect()
        if conn is None:
            return
        seen = self._make_request(conn.address)
        try:
            async with asyncio.timeout(seen.deadline_s + PATIENCE_S):
                await self._exchange(conn, seen)
        except TimeoutError:
            self._close()
        except (OSError, asyncio.IncompleteReadError):
            seen.cut_s = now_s()
            self._close()
        if seen.may_come_again and self.rng.random() < self.again_share:
            self._again = seen
            self._close()
        elif self.rng.random() > KEEP_SHARE:
            self._close()

    def _make_request(self, gateway: str) -> RequestRecord:
        self._sent += 1
        kind = self.rng.choices(list(_KINDS), list(_KINDS.values()))[0]
        request_id = f'{kind}-{self.number}-{self._sent}'
        key = self.customers.draw_key() if self.customers else ''
        if self._again is not None:
            kind, request_id = self._again.kind, self._again.request_id
            key = self._again.key
            self.record.set_aside(self._again)
            self._again = None
        low, high = math.log(SHORTEST_DEADLINE_S), math.log(LONGEST_DEADLINE_S)
        seen = RequestRecord(
            request_id=request_id,
            kind=kind,
            gateway=gateway,
            sent_s=now_s(),
            deadline_s=math.exp(self.rng.uniform(low, high)),
            key=key,
        )
        self.record.requests[seen.request_id] = seen
        return seen

    async def _exchange(self, conn: Connection, seen: RequestRecord) -> None:
        upload = asyncio.ensure_future(self._write(conn, seen))
        try:
            if self.rng.random() < LEAVE_SHARE:
                await asyncio.sleep(self.rng.random() * seen.deadline_s)
                seen.left = True
                self._close()
                return
            await self._read_answer(conn, seen)
        finally:
            upload.cancel()

    async def _read_answer(self, conn: Connection, seen: RequestRecord) -> None:
        head = await read_head(conn.reader)
        seen.answered_s = now_s()
        body = await read_body(conn.reader, head)
        seen.check_answer(head.status, head.headers, body)
        if head.headers.get('connection') == 'close':
            self._close()

    async def _write(self, conn: Connection, seen: RequestRecord) -> None:
        size = (
            0 if seen.kind == 'look' else self.rng.randrange(1, MAX_SMALL_BYTES)
        )
        if seen.kind == 'snap':
            size = int(MAX_UPLOAD_BYTES * self.rng.random() ** 3) + 1
        method = 'POST' if size else 'GET'
        chunked = seen.kind == 'snap' and self.rng.random() < CHUNKED_SHARE
        framing = f'Content-Length: {size}\r\n' if size else ''
        if chunked:
            framing = 'Transfer-Encoding: chunked\r\n'
        conn.writer.write(
            f'{method} /{seen.kind}/{seen.request_id} HTTP/1.1\r\n'
            f'Host: {HOST}\r\nRequest-Id: {seen.request_id}\r\n'
            f'Request-Deadline-Ms: {round(seen.deadline_s * _MS)}\r\n'
            f'{self._render_customer(seen)}{framing}\r\n'.encode()
        )
        while size:
            part = bytes(min(size, PART_BYTES))
            size -= len(part)
            frame = b'%x\r\n%b\r\n' % (len(part), part) if chunked else part
            conn.writer.write(frame)
            await conn.writer.drain()
            if size:
                await asyncio.sleep(PART_PAUSE_S * self.rng.random())
        if chunked:
            conn.writer.write(b'0\r\n\r\n')

    def _render_customer(self, seen: RequestRecord) -> str:
        if self.customers is None:
            return ''
        return self.customers.draw_headers(seen.key)

    async def _connect(self) -> Connection | None:
        if self._conn is not None and not self._conn.writer.is_closing():
            return self._conn
        self._conn = await connect(self.rng.choice(self.addresses()))
        return self._conn

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.writer.transport.abort()
            self._conn = None
