"""One request on a connection of its own."""

import asyncio
from typing import Final

from ..core.clock import now_s
from .callers import Connection
from .plan import HOST
from .record import RequestRecord
from .wire import read_body, read_head

_MS: Final = 1000


async def ask_once(
    conn: Connection,
    seen: RequestRecord,
    path: str,
    leave_s: float | None = None,
) -> None:
    """Ask for a path, record the answer and close the connection.

    The caller leaves after ``leave_s``, or twice its deadline.
    """
    limit_s = 2 * seen.deadline_s if leave_s is None else leave_s
    conn.writer.write(
        f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {seen.request_id}\r\n'
        f'Request-Deadline-Ms: {round(seen.deadline_s * _MS)}\r\n\r\n'.encode()
    )
    try:
        async with asyncio.timeout(limit_s):
            head = await read_head(conn.reader)
            body = await read_body(conn.reader, head)
            seen.answered_s = now_s()
            seen.check_answer(head.status, head.headers, body)
    except TimeoutError:
        seen.left = True
    except (OSError, asyncio.IncompleteReadError):
        seen.cut_s = now_s()
    conn.writer.transport.abort()
