"""The callers' side: an ASGI application that streams both ways."""

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
from ..core.logs import log_fault
from ..core.outcomes import outcome_of
from ..core.results import ResultCode, http_status, result_class
from ..routing.upstream import BodyAbandoned
from ..traffic.ledger import Ledger, Served, TrafficKey
from . import headers as names
from .dispatcher import Dispatcher
from .exchange import Ending, Exchange, Replay, ending_of
from .request import (
    BUFFERED_BODY_BYTES,
    Body,
    CallerRequest,
    Head,
    parse_head,
)
from .sender import Sender

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_logger = logging.getLogger(__name__)

_CALL_PREFIX: Final = '/s/'
_NO_BACKEND: Final = '-'


class CallerGone(BodyAbandoned):
    """Report that the caller closed its connection."""


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
    backend: str = _NO_BACKEND
    failure_domain: str = _NO_BACKEND
    answering: bool = False
    gone: bool = False


@attrs.define(eq=False)
class CallerFront:
    """Serve callers: requests under ``/s/SERVICE/`` and the directory."""

    _dispatcher: Dispatcher
    _sender: Sender
    _ledger: Ledger
    _others: ASGIApp
    _default_deadline_s: float
    is_serving: Callable[[], bool]
    _caller_stall_s: float
    in_flight: int = 0
    closing: bool = False  # tell callers not to reuse their connections

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI scope."""
        if scope['type'] != 'http':
            return
        if not scope['path'].startswith(_CALL_PREFIX):
            await self._others(scope, receive, send)
            return
        call = _Call(receive, send, time.monotonic(), self._caller_stall_s)
        self.in_flight += 1
        try:
            await self._serve(scope, call)
        finally:
            self.in_flight -= 1

    async def _serve(self, scope: Scope, call: _Call) -> None:
        result = 'ok'
        try:
            await self._answer(scope, call)
        except WagtailforkError as exc:
            result = exc.code.name
            await self._refuse(call, exc)
        except CallerGone:
            result = 'caller_gone'
        except Exception as exc:
            # Nobody knows how far the request came.
            log_fault(_logger, 'request_failed', error=repr(exc))
            result = ResultCode.internal_error.name
            await self._refuse(call, exc)
        self._ledger.add(
            Served(
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

    async def _answer(self, scope: Scope, call: _Call) -> None:
        req = parse_head(_head(scope), self._default_deadline_s)
        call.request_id = req.request_id
        service = await self._check(call, req)
        call.customer = req.customer
        call.service = req.service
        req = attrs.evolve(req, body=await _read_body(call))
        once = req.method in service.once_methods
        work = self._dispatcher.dispatch(req, service)
        if once or not req.body.is_whole:
            # A request that must not repeat runs on although its caller left:
            # the answer is kept for the next send of its key.
            result = await work
        else:
            result = await _unless_gone(call, work)
        if isinstance(result, Replay):
            await self._send_replay(call, result)
            return
        await self._pass_on(call, result)

    async def _check(self, call: _Call, req: CallerRequest) -> Service:
        if not self.is_serving():
            raise WagtailforkError(ResultCode.not_serving, 'starting')
        try:
            return self._dispatcher.service_of(req)
        except WagtailforkError as exc:
            whole = attrs.evolve(req, body=await _read_body(call))
            raise await self._dispatcher.refuse(whole, exc) from exc

    async def _send_replay(self, call: _Call, replay: Replay) -> None:
        headers = self._own_headers(call, ResultCode.replayed)
        headers.append(('content-type', replay.answer.content_type))
        headers.append(('content-length', str(len(replay.answer.body))))
        await _start(call, replay.answer.status, headers)
        await _send_body(call, replay.answer.body, more=False)

    async def _pass_on(
        self,
        call: _Call,
        exchange: Exchange,
    ) -> None:
        call.backend = exchange.endpoint.name
        call.failure_domain = exchange.endpoint.backend.failure_domain
        ending = Ending.cancelled
        try:
            await self._stream(call, exchange)
            ending = Ending.whole
        except (ClientError, OSError) as exc:
            ending = ending_of(exc)
            # Ending the call without its last part tells the caller that
            # the answer is not whole.
            raise WagtailforkError(
                ResultCode.connection_lost,
                repr(exc),
            ) from exc
        finally:
            await self._sender.finish(exchange, ending)

    async def _stream(self, call: _Call, exchange: Exchange) -> None:
        response = exchange.response
        headers = names.returned(response.headers.items())
        headers.extend(self._own_headers(call, ResultCode.ok))
        headers.append((names.BACKEND, exchange.endpoint.name))
        chunk = exchange.first
        if not chunk and not exchange.whole:
            chunk = await exchange.read_chunk()
        await _start(call, response.status, headers)
        while not (exchange.whole or response.content.at_eof()):
            await _send_body(call, chunk, more=True)
            chunk = await exchange.read_chunk()
        await _send_body(call, chunk, more=False)

    async def _refuse(self, call: _Call, exc: Exception) -> None:
        if call.answering:
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
        headers = self._own_headers(call, code)
        headers.append(('content-type', 'application/json'))
        headers.append(('content-length', str(len(body))))
        await _start(call, http_status(code), headers)
        await _send_body(call, body, more=False)

    def _own_headers(
        self,
        call: _Call,
        code: ResultCode,
    ) -> list[tuple[str, str]]:
        headers = [
            (names.REQUEST_ID, call.request_id),
            (names.RESULT, f'{code.value} {result_class(code)}'),
        ]
        if self.closing:
            headers.append(('connection', 'close'))
        return headers


def _head(scope: Scope) -> Head:
    pairs = [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in scope['headers']
    ]
    return Head(
        method=scope['method'],
        path=scope['raw_path'].decode('latin-1'),
        query=scope['query_string'].decode('latin-1'),
        headers=pairs,
    )


async def _receive(call: _Call) -> MutableMapping[str, Any]:
    """Wait for more of the body; a caller silent for long counts as gone."""
    try:
        async with asyncio.timeout(call.stall_s):
            message = await call.receive()
    except TimeoutError as exc:
        raise CallerGone from exc
    if message['type'] == 'http.disconnect':
        raise CallerGone
    return message


async def _read_body(call: _Call) -> Body:
    first = bytearray()
    more = True
    while more:
        message = await _receive(call)
        first.extend(message.get('body', b''))
        more = message.get('more_body', False)
        if len(first) > BUFFERED_BODY_BYTES:
            break
    call.bytes_in += len(first)
    return Body(first=bytes(first), rest=_read_rest(call) if more else None)


async def _read_rest(call: _Call) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await _receive(call)
        chunk = message.get('body', b'')
        call.bytes_in += len(chunk)
        more = message.get('more_body', False)
        if chunk:
            yield chunk


async def _unless_gone(call: _Call, work: Awaitable[Any]) -> Any:
    task = asyncio.current_task()
    if task is None:
        return await work
    watching = asyncio.create_task(_cancel_when_gone(call, task))
    try:
        return await work
    except asyncio.CancelledError:
        if not call.gone:
            raise
        task.uncancel()
        raise CallerGone from None
    finally:
        watching.cancel()


async def _cancel_when_gone(call: _Call, task: asyncio.Task[Any]) -> None:
    # The body is read to its end, so only a disconnect can come now.
    await call.receive()
    call.gone = True
    task.cancel()


async def _start(
    call: _Call,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    call.answering = True
    await call.send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (name.lower().encode('latin-1'), text.encode('latin-1'))
                for name, text in headers
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
