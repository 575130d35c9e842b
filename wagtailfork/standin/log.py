"""Stand-in for the platform's append-only log service."""

import asyncio
import time
from http import HTTPStatus
from typing import Any, Final

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..core.results import ResultCode
from ..core.structure import parse_plain

_POLL_PERIOD_S: Final = 0.005


@attrs.define(kw_only=True)
class LogFaults:
    """Hold the faults of the log, as set over its control path."""

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0  # next appends that take effect but return an error
    hang: bool = False  # accept requests and never respond


@attrs.define
class _Stream:
    earliest: int = 0
    records: list[dict[str, Any]] = attrs.field(factory=list)

    @property
    def next_offset(self) -> int:
        return self.earliest + len(self.records)

    def append(self, record: Any) -> int:
        offset = self.next_offset
        self.records.append(
            {
                'offset': offset,
                'time_ms': round(time.time() * 1000),
                'record': record,
            }
        )
        return offset

    def trim(self, keep_count: int) -> None:
        excess = len(self.records) - keep_count
        if excess > 0:
            self.records = self.records[excess:]
            self.earliest += excess


@attrs.define
class LogStandin:
    """Store streams of records in memory and inject scripted faults."""

    faults: LogFaults = attrs.field(factory=LogFaults)
    _streams: dict[str, _Stream] = attrs.field(factory=dict)
    appends: int = 0

    def app(self) -> Starlette:
        """Return the HTTP application."""
        path = '/streams/{stream}/records'
        return Starlette(
            routes=[
                Route(path, self._read, methods=['GET']),
                Route(path, self._append, methods=['POST']),
                Route('/control', self._control, methods=['POST']),
                Route('/trim/{stream}', self._trim, methods=['POST']),
                Route('/stats', self._stats),
            ],
        )

    async def _append(self, req: Request) -> Response:
        record = await req.json()
        await self._apply_delay()
        if self.faults.outage:
            return _unavailable()
        self.appends += 1
        offset = self._stream(req).append(record)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _unavailable()
        return JSONResponse({'offset': offset})

    async def _read(self, req: Request) -> Response:
        await self._apply_delay()
        if self.faults.outage:
            return _unavailable()
        stream = self._stream(req)
        start = int(req.query_params.get('from', '0'))
        limit = int(req.query_params.get('limit', '500'))
        wait_ms = int(req.query_params.get('wait_ms', '0'))
        deadline = time.monotonic() + wait_ms / 1000
        while stream.next_offset <= start and time.monotonic() < deadline:
            await asyncio.sleep(_POLL_PERIOD_S)
        if self.faults.outage:
            return _unavailable()
        first = max(0, start - stream.earliest)
        return JSONResponse(
            {
                'earliest': stream.earliest,
                'next': stream.next_offset,
                'records': stream.records[first : first + limit],
            }
        )

    async def _control(self, req: Request) -> Response:
        raw = await req.json()
        self.faults = parse_plain(raw, LogFaults, ResultCode.bad_request)
        return JSONResponse({'ok': True})

    async def _trim(self, req: Request) -> Response:
        raw = await req.json()
        stream = self._stream(req)
        stream.trim(int(raw['keep']))
        return JSONResponse({'earliest': stream.earliest})

    async def _stats(self, req: Request) -> Response:
        return JSONResponse({'appends': self.appends})

    def _stream(self, req: Request) -> _Stream:
        return self._streams.setdefault(req.path_params['stream'], _Stream())

    async def _apply_delay(self) -> None:
        while self.faults.hang:
            await asyncio.sleep(_POLL_PERIOD_S)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)


def _unavailable() -> Response:
    return JSONResponse(
        {'error': 'unavailable'}, status_code=HTTPStatus.SERVICE_UNAVAILABLE
    )
