"""Stand-in for the platform's store: topics on a log, with faults."""

import asyncio
import base64
import copy
import struct
from http import HTTPStatus
from typing import Any, Final

import attrs
from starlette.applications import Starlette
from starlette.datastructures import MutableHeaders
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

_LENGTH: Final = struct.Struct('>I')
_OFFSETS: Final = struct.Struct('>QQ')  # end and first offset
_POLL_PERIOD_S: Final = 0.005
_FOREVER_S: Final = 3600.0
_MS_PER_S: Final = 1000
_KEYED_PREFIX: Final = 'keyed.'
_PAGE_ITEMS: Final = 50  # small, so that tests read several pages


@attrs.define(kw_only=True)
class StoreFaults:
    """Hold the faults of the store."""

    status: int = 0  # respond with this status at once; 0: no fault
    hang: bool = False  # accept calls and never respond
    delay_s: float = 0


@attrs.define
class _Topic:
    keyed: bool
    first: int = 0
    records: list[bytes] = attrs.field(factory=list)
    newest: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def item(self, key: str) -> dict[str, Any]:
        payload, offset = self.newest[key]
        text = base64.b64encode(payload).decode()
        return {'key': key, 'value': text, 'offset': offset}

    def append(self, record: bytes) -> None:
        if self.keyed:
            self._update_newest(record)
        self.records.append(record)

    def _update_newest(self, record: bytes) -> None:
        end = 1 + record[0]
        key = record[1:end].decode()
        payload = record[end:]
        if payload:
            self.newest[key] = (payload, self.end)
        else:
            self.newest.pop(key, None)


@attrs.define(eq=False)
class KeyedStoreStandin:
    """Store topics in memory and inject faults."""

    faults: StoreFaults = attrs.field(factory=StoreFaults)
    era: int = 1
    calls: int = 0
    _topics: dict[str, _Topic] = attrs.field(factory=dict)

    def put(self, topic: str, key: str, payload: bytes) -> None:
        """Append one record, as operators and backend servers do."""
        name = key.encode()
        self._topic(topic).append(bytes([len(name)]) + name + payload)

    def delete_key(self, topic: str, key: str) -> None:
        """Delete a key by appending a record without a value."""
        self.put(topic, key, b'')

    def truncate(self, topic: str) -> None:
        """Delete all records but keep the newest value of each key."""
        topic_log = self._topic(topic)
        topic_log.first = topic_log.end
        topic_log.records.clear()

    def keys(self, topic: str) -> set[str]:
        """Return the keys of a topic that have a record."""
        return set(self._topic(topic).newest)

    def end(self, topic: str) -> int:
        """Return the offset that the next record of a topic gets."""
        return self._topic(topic).end

    def copy_topics(self) -> 'dict[str, _Topic]':
        """Return a copy of all topics, to restore the store from."""
        return copy.deepcopy(self._topics)

    def restore(self, topics: 'dict[str, _Topic]') -> None:
        """Go back to a copy, in a new era."""
        self._topics = copy.deepcopy(topics)
        self.era += 1

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route('/v1/log-append', self._append, methods=['POST']),
            Route('/v1/log-read', self._read),
            Route('/v1/log-newest', self._newest),
        ]
        return Starlette(
            routes=routes, middleware=[Middleware(_EraHeader, store=self)]
        )

    def _topic(self, name: str) -> _Topic:
        keyed = name.startswith(_KEYED_PREFIX)
        return self._topics.setdefault(name, _Topic(keyed))

    async def _inject_fault(self) -> Response | None:
        self.calls += 1
        if self.faults.hang:
            await asyncio.sleep(_FOREVER_S)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            return Response(status_code=self.faults.status)
        return None

    async def _append(self, req: Request) -> Response:
        raw = await req.body()
        fault = await self._inject_fault()
        if fault is not None:
            return fault
        topic = self._topic(req.query_params['topic'])
        offset = topic.end
        position = 0
        while position < len(raw):
            size = _LENGTH.unpack_from(raw, position)[0]
            position += _LENGTH.size
            topic.append(raw[position : position + size])
            position += size
        return JSONResponse({'offset': offset, 'end': topic.end})

    async def _read(self, req: Request) -> Response:
        fault = await self._inject_fault()
        if fault is not None:
            return fault
        name = req.query_params['topic']
        start = int(req.query_params['from'])
        left_s = float(req.query_params.get('waitMs', 0)) / _MS_PER_S
        topic = self._topic(name)
        while start == topic.end and left_s > 0:
            await asyncio.sleep(_POLL_PERIOD_S)
            left_s -= _POLL_PERIOD_S
            topic = self._topic(name)
        if not topic.first <= start <= topic.end:
            return JSONResponse(
                {'first': topic.first},
                status_code=HTTPStatus.GONE,
            )
        framed = [
            _LENGTH.pack(len(record)) + record
            for record in topic.records[start - topic.first :]
        ]
        return Response(
            _OFFSETS.pack(topic.end, topic.first) + b''.join(framed),
        )

    async def _newest(self, req: Request) -> Response:
        fault = await self._inject_fault()
        if fault is not None:
            return fault
        topic = self._topic(req.query_params['topic'])
        after = req.query_params.get('after', '')
        keys = [key for key in sorted(topic.newest) if key > after]
        page = [topic.item(key) for key in keys[:_PAGE_ITEMS]]
        more = len(keys) > len(page)
        return JSONResponse({'items': page, 'hasMore': more, 'end': topic.end})


@attrs.frozen
class _EraHeader:
    """Name the store's era in all responses."""

    app: ASGIApp
    store: KeyedStoreStandin

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Respond to one request."""

        async def send_with_era(message: Message) -> None:
            if message['type'] == 'http.response.start':
                headers = MutableHeaders(scope=message)
                headers['Store-Era'] = str(self.store.era)
            await send(message)

        await self.app(scope, receive, send_with_era)
