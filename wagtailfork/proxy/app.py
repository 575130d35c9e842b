"""ASGI application that relays caller requests to backend servers."""

import asyncio
import json
import logging
import time
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any, Final

import attrs
from aiohttp import ClientError
from starlette.types import ASGIApp

from ..control.objects import Service
from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from ..core.outcomes import outcome_of
from ..core.results import ResultCode, http_status, result_class
from ..routing.upstream import BodyAbandoned
from ..traffic.ledger import FinishedRequest, Ledger, TrafficKey
from . import headers as hdrs
from .dispatcher import Dispatcher
from .exchange import EndReason, Exchange, Replay, classify_read_error
from .request import (
    BUFFERED_BODY_BYTES,
    Body,
    CallerRequest,
    RequestHead,
    parse_request_head,
)
from .sender import Sender

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_logger = logging.getLogger(__name__)

_SERVICE_PATH_PREFIX: Final = '/s/'
_NO_SERVER: Final = '-'


class CallerDisconnected(BodyAbandoned):
    """Report that the caller closed its connection or stalled."""


@attrs.define(eq=False)
class _Call:
    receive: Receive
    send: Send
    started_at: float
    stall_s: float
    bytes_in: int = 0
    bytes_out: int = 0
    request_id: str = ''
    customer: str = ''
    service: str = ''
    backend: str = _NO_SERVER
    failure_domain: str = _NO_SERVER
    response_started: bool = False
    disconnected: bool = False


@attrs.define(eq=False)
class ProxyApp:
    """Proxy requests under ``/s/SERVICE/``; pass other paths on."""

    _dispatcher: Dispatcher
    _sender: Sender
    _ledger: Ledger
    _fallback_app: ASGIApp
    _default_deadline_s: float
    is_serving: Callable[[], bool]
    _caller_stall_s: float
    in_flight: int = 0
    close_connections: bool = False  # send ``connection: close`` to callers

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI scope."""
        if scope['type'] != 'http':
            return
        if not scope['path'].startswith(_SERVICE_PATH_PREFIX):
            await self._fallback_app(scope, receive, send)
            return
        call = _Call(receive, send, time.monotonic(), self._caller_stall_s)
        self.in_flight += 1
        try:
            await self._handle_call(scope, call)
        finally:
            self.in_flight -= 1

    async def _handle_call(self, scope: Scope, call: _Call) -> None:
        result = 'ok'
        try:
            await self._process_call(scope, call)
        except WagtailforkError as exc:
            result = exc.code.name
            await self._send_error(call, exc)
        except CallerDisconnected:
            result = 'caller_gone'
        except Exception as exc:
            # The request may have reached a server, so its outcome is unknown.
            log_warning(_logger, 'request_failed', error=repr(exc))
            result = ResultCode.internal_error.name
            await self._send_error(call, exc)
        self._ledger.add(
            FinishedRequest(
                key=TrafficKey(
                    customer=call.customer,
                    service=call.service,
                    backend=call.backend,
                    failure_domain=call.failure_domain,
                    result=result,
                ),
                bytes_in=call.bytes_in,
                bytes_out=call.bytes_out,
                time_ms=(time.monotonic() - call.started_at) * 1000,
            ),
        )

    async def _process_call(self, scope: Scope, call: _Call) -> None:
        req = parse_request_head(
            _make_request_head(scope),
            self._default_deadline_s,
        )
        call.request_id = req.request_id
        service = await self._authorize(call, req)
        call.customer = req.customer
        call.service = req.service
        req = attrs.evolve(req, body=await _read_body(call))
        is_once = req.method in service.once_methods
        response = self._dispatcher.dispatch(req, service)
        if is_once or not req.body.is_complete:
            # An at-most-once request is not cancelled if its caller
            # disconnects: the response is stored for the next request with its
            # key. With a streamed body a disconnect is detected while the body
            # is read.
            result = await response
        else:
            result = await _await_unless_disconnected(call, response)
        if isinstance(result, Replay):
            await self._send_replay(call, result)
            return
        await self._relay_response(call, result)

    async def _authorize(self, call: _Call, req: CallerRequest) -> Service:
        if not self.is_serving():
            raise WagtailforkError(ResultCode.not_serving, 'starting')
        try:
            return self._dispatcher.authorize(req)
        except WagtailforkError as exc:
            whole_req = attrs.evolve(req, body=await _read_body(call))
            raise await self._dispatcher.resolve_refusal(
                whole_req,
                exc,
            ) from exc

    async def _send_replay(self, call: _Call, replay: Replay) -> None:
        headers = self._make_proxy_headers(call, ResultCode.replayed)
        headers.append(('content-type', replay.response.content_type))
        headers.append(('content-length', str(len(replay.response.body))))
        await _send_response_start(call, replay.response.status, headers)
        await _send_body(call, replay.response.body, more=False)

    async def _relay_response(
        self,
        call: _Call,
        exchange: Exchange,
    ) -> None:
        call.backend = exchange.endpoint.name
        call.failure_domain = exchange.endpoint.backend.failure_domain
        end_reason = EndReason.cancelled
        try:
            await self._stream_response(call, exchange)
            end_reason = EndReason.whole
        except (ClientError, OSError) as exc:
            end_reason = classify_read_error(exc)
            # The last body message is never sent, so the caller sees an
            # incomplete response.
            raise WagtailforkError(
                ResultCode.connection_lost,
                repr(exc),
            ) from exc
        finally:
            await self._sender.finish(exchange, end_reason)

    async def _stream_response(self, call: _Call, exchange: Exchange) -> None:
        response = exchange.response
        headers = hdrs.filter_response_headers(response.headers.items())
        headers.extend(self._make_proxy_headers(call, ResultCode.ok))
        headers.append((hdrs.BACKEND, exchange.endpoint.name))
        chunk = exchange.buffered
        if not chunk and not exchange.is_complete:
            chunk = await exchange.read_chunk()
        await _send_response_start(call, response.status, headers)
        while not (exchange.is_complete or response.content.at_eof()):
            await _send_body(call, chunk, more=True)
            chunk = await exchange.read_chunk()
        await _send_body(call, chunk, more=False)

    async def _send_error(self, call: _Call, exc: Exception) -> None:
        if call.response_started:
            return
        outcome = outcome_of(exc)
        code = outcome.code
        body = json.dumps(
            {
                'code': int(code),
                'result': code.name,
                'class': result_class(code),
                'detail': outcome.detail,
                'request_id': call.request_id,
            }
        ).encode()
        headers = self._make_proxy_headers(call, code)
        headers.append(('content-type', 'application/json'))
        headers.append(('content-length', str(len(body))))
        await _send_response_start(call, http_status(code), headers)
        await _send_body(call, body, more=False)

    def _make_proxy_headers(
        self,
        call: _Call,
        code: ResultCode,
    ) -> list[tuple[str, str]]:
        headers = [
            (hdrs.REQUEST_ID, call.request_id),
            (hdrs.RESULT, f'{code.value} {result_class(code)}'),
        ]
        if self.close_connections:
            headers.append(('connection', 'close'))
        return headers


def _make_request_head(scope: Scope) -> RequestHead:
    headers = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in scope['headers']
    ]
    return RequestHead(
        method=scope['method'],
        path=scope['raw_path'].decode('latin-1'),
        query=scope['query_string'].decode('latin-1'),
        headers=headers,
    )


async def _receive_message(call: _Call) -> MutableMapping[str, Any]:
    """Receive a body message; a stalled caller counts as disconnected."""
    try:
        async with asyncio.timeout(call.stall_s):
            message = await call.receive()
    except TimeoutError as exc:
        raise CallerDisconnected from exc
    if message['type'] == 'http.disconnect':
        raise CallerDisconnected
    return message


async def _read_body(call: _Call) -> Body:
    buffered = bytearray()
    more = True
    while more:
        message = await _receive_message(call)
        buffered.extend(message.get('body', b''))
        more = message.get('more_body', False)
        if len(buffered) > BUFFERED_BODY_BYTES:
            break
    call.bytes_in += len(buffered)
    return Body(
        buffered=bytes(buffered),
        remainder=_stream_remainder(call) if more else None,
    )


async def _stream_remainder(call: _Call) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await _receive_message(call)
        chunk = message.get('body', b'')
        call.bytes_in += len(chunk)
        more = message.get('more_body', False)
        if chunk:
            yield chunk


async def _await_unless_disconnected(
    call: _Call,
    response: Awaitable[Any],
) -> Any:
    task = asyncio.current_task()
    if task is None:
        return await response
    watcher = asyncio.create_task(_cancel_on_disconnect(call, task))
    try:
        return await response
    except asyncio.CancelledError:
        if not call.disconnected:
            raise
        task.uncancel()
        raise CallerDisconnected from None
    finally:
        watcher.cancel()


async def _cancel_on_disconnect(call: _Call, task: asyncio.Task[Any]) -> None:
    # The whole body was received, so the next message is a disconnect.
    await call.receive()
    call.disconnected = True
    task.cancel()


async def _send_response_start(
    call: _Call,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    call.response_started = True
    await call.send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (name.lower().encode('latin-1'), value.encode('latin-1'))
                for name, value in headers
            ],
        }
    )


async def _send_body(call: _Call, chunk: bytes, *, more: bool) -> None:
    call.bytes_out += len(chunk)
    await call.send(
        {
            'type': 'http.response.body',
            'body': chunk,
            'more_body': more,
        }
    )
