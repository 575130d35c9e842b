"""Client of the platform's append-only log service."""

import asyncio
import contextlib
import json
from typing import Any, Final

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from ..core.errors import WagtailforkError
from ..core.results import HTTP_OK, ResultCode
from ..core.structure import parse_plain
from .fold import LogRecord

CONTROL_STREAM: Final = 'control'
TRAFFIC_STREAM: Final = 'traffic'
_CLOSE_TIMEOUT_S: Final = 0.1
READ_LIMIT: Final = 500  # records in one answer


@attrs.frozen(kw_only=True)
class Page:
    """Hold one answer to a read: what is kept and the records from there."""

    earliest: int
    next: int  # noqa: WPS125
    records: list[LogRecord]


@attrs.frozen(kw_only=True)
class _Appended:
    offset: int


_FAILURES: Final = (
    AiosonicError,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    ValueError,
)


class LogClient:
    """Append to and read from streams, each call bounded in time."""

    def __init__(self, url: str, timeout_s: float) -> None:
        """Keep the service's base URL and the bound of each call, seconds."""
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._http = aiosonic.HTTPClient()
        self._closing: set[asyncio.Task[None]] = set()

    async def append(self, stream: str, record: Any) -> int:
        """Append one record and give its offset.

        Raise ``log_unavailable`` if no answer came; the record may still
        have been appended.
        """
        raw = await self._call('POST', f'/streams/{stream}/records', record, 0)
        return parse_plain(raw, _Appended, ResultCode.log_unavailable).offset

    async def read(self, stream: str, start: int, wait_s: float = 0) -> Page:
        """Read records from ``start`` on, waiting up to ``wait_s`` for one."""
        wait_ms = round(wait_s * 1000)
        path = (
            f'/streams/{stream}/records'
            f'?from={start}&limit={READ_LIMIT}&wait_ms={wait_ms}'
        )
        raw = await self._call('GET', path, None, wait_s)
        return parse_plain(raw, Page, ResultCode.log_unavailable)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.shutdown()

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        extra_s: float,
    ) -> Any:
        limit = self._timeout_s + extra_s
        http = self._http
        try:
            async with asyncio.timeout(limit):
                return await self._exchange(http, method, path, body, limit)
        except _FAILURES as exc:
            self._reconnect(http, limit)
            raise WagtailforkError(
                ResultCode.log_unavailable,
                repr(exc),
            ) from exc

    async def _exchange(
        self,
        http: aiosonic.HTTPClient,
        method: str,
        path: str,
        body: Any,
        limit: float,
    ) -> Any:
        sent = None if body is None else json.dumps(body)
        answer = await http.request(
            self._url + path,
            method=method,
            data=sent,
            headers={'content-type': 'application/json'},
            timeouts=Timeouts(sock_read=limit, request_timeout=limit),
        )
        text = await answer.content()
        if answer.status_code != HTTP_OK:
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'log answered {answer.status_code}',
            )
        return json.loads(text)

    def _reconnect(self, silent: aiosonic.HTTPClient, limit_s: float) -> None:
        # A connection may be silent for good: the next call opens anew.
        if self._http is not silent:
            return
        self._http = aiosonic.HTTPClient()
        closing = asyncio.create_task(_close_later(silent, limit_s))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)


async def _close_later(silent: aiosonic.HTTPClient, limit_s: float) -> None:
    # Other calls may still have their answers coming on it.
    await asyncio.sleep(limit_s)
    with contextlib.suppress(*_FAILURES):
        async with asyncio.timeout(_CLOSE_TIMEOUT_S):
            await silent.shutdown()
