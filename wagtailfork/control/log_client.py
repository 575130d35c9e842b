"""Client of the platform's append-only log service."""

import asyncio
import contextlib
import json
import logging
from typing import Any, Final

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.results import HTTP_OK, ResultCode
from ..core.structure import parse_plain
from .fold import LogRecord

CONTROL_STREAM: Final = 'control'
TRAFFIC_STREAM: Final = 'traffic'
_CLOSE_TIMEOUT_S: Final = 0.1
MAX_READ_RECORDS: Final = 500  # records in one response

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Page:
    """Hold one response to a read.

    ``earliest`` is the first offset that the log retains, ``next`` the one
    that the next appended record will get.
    """

    earliest: int
    next: int  # noqa: WPS125
    records: list[LogRecord]


@attrs.frozen(kw_only=True)
class _AppendResponse:
    offset: int


_CALL_ERRORS: Final = (
    AiosonicError,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    ValueError,
)


class LogClient:
    """Append to and read from streams, with a timeout for each call."""

    def __init__(self, url: str, timeout_s: float) -> None:
        """Store the service's base URL and the timeout of each call."""
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._http = aiosonic.HTTPClient()
        self._close_tasks: set[asyncio.Task[None]] = set()

    async def append(self, stream: str, record: Any) -> int:
        """Append one record and return its offset.

        Raise ``log_unavailable`` on any failure; the record may have been
        appended all the same.
        """
        raw = await self._call('POST', f'/streams/{stream}/records', record, 0)
        return parse_plain(
            raw, _AppendResponse, ResultCode.log_unavailable
        ).offset

    async def read(self, stream: str, start: int, wait_s: float = 0) -> Page:
        """Read records from offset ``start``; wait up to ``wait_s`` for one.

        A record that is nested too deeply to be read is null in the page.
        """
        skipped: list[LogRecord] = []
        limit = MAX_READ_RECORDS
        while True:
            offset = start + len(skipped)
            path = f'/streams/{stream}/records?from={offset}&limit={limit}'
            try:
                page = await self._read_page(path, wait_s)
            except RecursionError:
                if limit == 1:
                    log_warning(_logger, 'record_unreadable', offset=offset)
                    skipped.append(
                        LogRecord(offset=offset, time_ms=0, record=None)
                    )
                limit = 1
                continue
            return attrs.evolve(page, records=[*skipped, *page.records])

    async def _read_page(self, path: str, wait_s: float) -> Page:
        wait_ms = round(wait_s * 1000)
        raw = await self._call('GET', f'{path}&wait_ms={wait_ms}', None, wait_s)
        return parse_plain(raw, Page, ResultCode.log_unavailable)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        wait_s: float,
    ) -> Any:
        timeout_s = self._timeout_s + wait_s
        http = self._http
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send_request(
                    http, method, path, body, timeout_s
                )
        except _CALL_ERRORS as exc:
            self._replace_client(http, timeout_s)
            raise WagtailforkError(
                ResultCode.log_unavailable,
                repr(exc),
            ) from exc

    async def _send_request(
        self,
        http: aiosonic.HTTPClient,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
    ) -> Any:
        payload = None if body is None else json.dumps(body)
        response = await http.request(
            self._url + path,
            method=method,
            data=payload,
            headers={'content-type': 'application/json'},
            timeouts=Timeouts(sock_read=timeout_s, request_timeout=timeout_s),
        )
        text = await response.content()
        if response.status_code != HTTP_OK:
            raise WagtailforkError(
                ResultCode.log_unavailable,
                f'log service returned status {response.status_code}',
            )
        return json.loads(text)

    def _replace_client(
        self, old_client: aiosonic.HTTPClient, timeout_s: float
    ) -> None:
        # A connection may never respond again: the next call opens a new one.
        if self._http is not old_client:
            return
        self._http = aiosonic.HTTPClient()
        task = asyncio.create_task(_close_later(old_client, timeout_s))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


async def _close_later(
    old_client: aiosonic.HTTPClient, timeout_s: float
) -> None:
    # Other calls on the old client may still receive their responses.
    await asyncio.sleep(timeout_s)
    with contextlib.suppress(*_CALL_ERRORS):
        async with asyncio.timeout(_CLOSE_TIMEOUT_S):
            await old_client.aclose()
