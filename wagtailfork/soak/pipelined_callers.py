"""Callers that send several requests before the first answer."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .callers import LEAVE_SHARE, PATIENCE_S, Connection, connect
from .customers import Customers
from .plan import HOST
from .record import Record, RequestRecord
from .wire import read_body, read_head

MOST_AT_ONCE: Final = 6
MEAN_PAUSE_S: Final = 0.1
KEEP_SHARE: Final = 0.8  # of connections that are used again
MIN_DEADLINE_S: Final = 0.3
MAX_DEADLINE_S: Final = 4.0
# Of the requests: payments, which wait for the answers before them and do not
# run behind an answer that closes the connection.
PAY_SHARE: Final = 0.15
CLOSING_SHARE: Final = 0.05  # of the requests: ask to close the connection
_MS: Final = 1000


@attrs.define(eq=False, kw_only=True)
class PipelinedCaller:
    """Send series of requests, each at once; read the answers in order."""

    number: int
    record: Record
    rng: random.Random
    addresses: Callable[[], list[str]]
    customers: Customers | None = None
    _sent: int = 0
    _conn: Connection | None = None

    async def run(self, until_s: float) -> None:
        """Send series until a time."""
        while now_s() < until_s:
            await self._send_series()
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
        self._close()

    async def _send_series(self) -> None:
        conn = self._conn or await connect(self.rng.choice(self.addresses()))
        if conn is None:
            return
        self._conn = conn
        count = self.rng.randint(2, MOST_AT_ONCE)
        series = [self._make_request(conn.address) for _ in range(count)]
        heads = [self._render(seen) for seen in series]
        conn.writer.write(''.join(heads).encode())
        limit_s = PATIENCE_S + max(seen.deadline_s for seen in series)
        if self.rng.random() < LEAVE_SHARE:
            limit_s *= self.rng.random()
        try:
            async with asyncio.timeout(limit_s):
                await self._read_answers(conn, series)
        except TimeoutError:
            _mark_left(series)
            self._close()
        except (OSError, asyncio.IncompleteReadError):
            self._record_cut(series)
            self._close()
        if self.rng.random() > KEEP_SHARE:
            self._close()

    async def _read_answers(
        self, conn: Connection, series: list[RequestRecord]
    ) -> None:
        for index, seen in enumerate(series):
            head = await read_head(conn.reader)
            seen.answered_s = now_s()
            body = await read_body(conn.reader, head)
            seen.check_answer(head.status, head.headers, body)
            self.record.pipelined += index > 0
            if head.headers.get('connection') == 'close':
                self._close()
                for behind in series[index + 1 :]:
                    behind.unread = True
                return

    def _record_cut(self, series: list[RequestRecord]) -> None:
        """Record a connection that ended within the first missing answer.

        Those behind it count as not read.
        """
        missing = [seen for seen in series if not seen.status]
        missing[0].cut_s = now_s()
        _mark_left(missing[1:])

    def _make_request(self, gateway: str) -> RequestRecord:
        self._sent += 1
        kind = 'pay' if self.rng.random() < PAY_SHARE else 'look'
        seen = RequestRecord(
            request_id=f'{kind}-p{self.number}-{self._sent}',
            kind=kind,
            gateway=gateway,
            sent_s=now_s(),
            deadline_s=self.rng.uniform(MIN_DEADLINE_S, MAX_DEADLINE_S),
            key=self.customers.draw_key() if self.customers else '',
        )
        self.record.requests[seen.request_id] = seen
        return seen

    def _render(self, seen: RequestRecord) -> str:
        lines = self.customers.draw_headers(seen.key) if self.customers else ''
        closing = self.rng.random() < CLOSING_SHARE
        connection = 'Connection: close\r\n' if closing else ''
        method = 'GET' if seen.repeatable else 'POST'
        length = '' if seen.repeatable else 'Content-Length: 0\r\n'
        return (
            f'{method} /{seen.kind}/{seen.request_id} HTTP/1.1\r\n'
            f'Host: {HOST}\r\nRequest-Id: {seen.request_id}\r\n'
            f'Request-Deadline-Ms: {round(seen.deadline_s * _MS)}\r\n'
            f'{lines}{connection}{length}\r\n'
        )

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.writer.transport.abort()
            self._conn = None


def _mark_left(series: list[RequestRecord]) -> None:
    for seen in series:
        seen.left = seen.left or not seen.status
