"""Stand-in for a backend server with configurable behaviour."""

import asyncio
import hashlib
import json
import os
import random
import time
from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any, Final

import attrs

from ..core.results import ResultCode
from ..core.server import TRANSPORT_KEY
from ..core.structure import parse_plain

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_CRASH_EXIT_CODE: Final = 3
_CRASH_HEADER: Final = 'x-crash'
_FOREVER_S: Final = 1e9
_PARTIAL_RESPONSE_S: Final = 0.1
_DEADLINE_HEADER: Final = 'wagtailfork-deadline-ms'


@attrs.define(kw_only=True)
class BackendBehaviour:
    """Hold the behaviour of the server, as set over its control path."""

    slots: int = 4
    service_ms: float = 8.0
    sigma: float = 0.0  # of log-normal service times
    shed: bool = True  # respond 503 with the shed header if all slots are busy
    queue_limit: int = 0  # requests that may wait before others are shed
    fail_status: int = 0  # respond with this status at once; 0: no failure
    draining: bool = False
    health_lies: bool = False  # report healthy while draining
    reported_load: float = -1.0  # negative: the number of busy slots
    read_kb_per_s: int = 0  # read rate of request bodies; 0: unlimited
    drop: str = ''  # close the connection 'before', 'during' or 'after' the run
    answer_id: str = ''  # sent back instead of the request's own ID
    answer_bytes: int = 0  # size of the padding in the response


@attrs.define(kw_only=True)
class RunRecord:
    """Record one execution of a request."""

    request_id: str
    key: str
    customer: str
    method: str
    path: str
    started_at: float
    ended_at: float = 0
    outcome: str = 'running'
    body_bytes: int = 0
    body_digest: str = ''


class _ConnectionDropped(Exception):
    """Report that the connection must be aborted."""


@attrs.define(eq=False)
class BackendStandin:
    """Serve requests with a limited number of slots and record each run."""

    name: str
    may_exit: bool = True
    behaviour: BackendBehaviour = attrs.field(factory=BackendBehaviour)
    runs: list[RunRecord] = attrs.field(factory=list)
    sheds: int = 0
    probes: int = 0
    _busy: int = 0
    _waiting: int = 0
    _slot_freed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _clients: set[Any] = attrs.field(factory=set)
    _silenced_clients: set[Any] = attrs.field(factory=set)
    _rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI scope."""
        if scope['type'] != 'http':
            return
        client = tuple(scope['client'] or ())
        self._clients.add(client)
        if client in self._silenced_clients:
            await asyncio.sleep(_FOREVER_S)
        path = scope['path']
        if path.startswith('/standin/'):
            await self._control(path, receive, send)
        elif path in {'/health', '/load'}:
            self.probes += 1
            await _respond(send, HTTPStatus.OK, self._health())
        else:
            await self._serve_request(scope, receive, send)

    def _health(self) -> dict[str, Any]:
        is_healthy = not self.behaviour.draining or self.behaviour.health_lies
        load = self.behaviour.reported_load
        return {
            'healthy': is_healthy,
            'load': self._busy if load < 0 else load,
        }

    async def _control(self, path: str, receive: Receive, send: Send) -> None:
        body = await _read_all(receive)
        if path == '/standin/behaviour':
            self.behaviour = parse_plain(
                json.loads(body),
                BackendBehaviour,
                ResultCode.bad_request,
            )
        elif path == '/standin/silence':
            self._silenced_clients |= self._clients
        elif path == '/standin/exit':
            os._exit(_CRASH_EXIT_CODE)
        await _respond(
            send,
            HTTPStatus.OK,
            {
                'name': self.name,
                'busy': self._busy,
                'sheds': self.sheds,
                'probes': self.probes,
                'runs': [attrs.asdict(run) for run in self.runs],
            },
        )

    async def _serve_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        if self.behaviour.fail_status:
            await _respond(send, self.behaviour.fail_status, {'failed': True})
            return
        if not await self._acquire_slot():
            self.sheds += 1
            await _respond(
                send,
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'shed': True},
                [(b'wagtailfork-shed', b'1')],
            )
            return
        try:
            await self._run_request(scope, headers, receive, send)
        except _ConnectionDropped:
            scope[TRANSPORT_KEY].abort()
        finally:
            await self._release_slot()

    async def _acquire_slot(self) -> bool:
        if self._busy < self.behaviour.slots:
            self._busy += 1
            return True
        if self._waiting >= self.behaviour.queue_limit and self.behaviour.shed:
            return False
        self._waiting += 1
        async with self._slot_freed:
            await self._slot_freed.wait_for(
                lambda: self._busy < self.behaviour.slots,
            )
            self._waiting -= 1
            self._busy += 1
        return True

    async def _release_slot(self) -> None:
        self._busy -= 1
        async with self._slot_freed:
            self._slot_freed.notify()

    async def _run_request(
        self,
        scope: Scope,
        headers: dict[str, str],
        receive: Receive,
        send: Send,
    ) -> None:
        drop = self.behaviour.drop
        if drop == 'before':
            raise _ConnectionDropped
        run = RunRecord(
            request_id=headers.get('x-request-id', ''),
            key=headers.get('idempotency-key', ''),
            customer=headers.get('wagtailfork-customer', ''),
            method=scope['method'],
            path=scope['path'],
            started_at=time.time(),
        )
        self.runs.append(run)
        await self._crash_if_requested(headers.get(_CRASH_HEADER, ''), send)
        await self._read_body(receive, run)
        if drop == 'during':
            run.outcome = 'dropped'
            raise _ConnectionDropped
        await self._simulate_service(receive, headers, run)
        if drop == 'after':
            raise _ConnectionDropped
        await self._send_result(send, headers, run)

    async def _crash_if_requested(self, when: str, send: Send) -> None:
        """Crash at once, after ``after=MS``, or mid-response for ``answer``."""
        if not when:
            return
        if when.startswith('after='):
            # The server crashes even if the caller disconnects during the wait.
            await asyncio.sleep(int(when.removeprefix('after=')) / 1000)
        if when == 'answer':
            await send(_partial_response_start())
            await send(_partial_response_body())
            await asyncio.sleep(_PARTIAL_RESPONSE_S)
        self._crash()
        raise _ConnectionDropped

    def _crash(self) -> None:
        if self.may_exit:
            os._exit(_CRASH_EXIT_CODE)

    async def _read_body(self, receive: Receive, run: RunRecord) -> None:
        digest = hashlib.sha256()
        more = True
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                run.outcome = 'cancelled'
                raise _ConnectionDropped
            chunk = message.get('body', b'')
            digest.update(chunk)
            run.body_bytes += len(chunk)
            more = message.get('more_body', False)
            if self.behaviour.read_kb_per_s:
                kb_per_s = self.behaviour.read_kb_per_s
                await asyncio.sleep(len(chunk) / 1024 / kb_per_s)
        run.body_digest = digest.hexdigest()

    async def _simulate_service(
        self,
        receive: Receive,
        headers: dict[str, str],
        run: RunRecord,
    ) -> None:
        service_s = self.behaviour.service_ms / 1000
        if self.behaviour.sigma:
            service_s *= self._rng.lognormvariate(0, self.behaviour.sigma)
        deadline_s = (
            int(headers.get(_DEADLINE_HEADER, '0')) / 1000 or _FOREVER_S
        )
        disconnect = asyncio.ensure_future(receive())
        done, _rest = await asyncio.wait(
            (disconnect,),
            timeout=min(service_s, deadline_s),
        )
        disconnect.cancel()
        run.ended_at = time.time()
        if done:
            run.outcome = 'cancelled'
            raise _ConnectionDropped
        run.outcome = 'ran' if service_s <= deadline_s else 'deadline'

    async def _send_result(
        self,
        send: Send,
        headers: dict[str, str],
        run: RunRecord,
    ) -> None:
        returned_id = self.behaviour.answer_id or run.request_id
        extra = [(b'x-request-id', returned_id.encode())]
        if self.behaviour.draining and not self.behaviour.health_lies:
            extra.append((b'wagtailfork-draining', b'1'))
        is_complete = run.outcome == 'ran'
        status = HTTPStatus.OK if is_complete else HTTPStatus.GATEWAY_TIMEOUT
        body: dict[str, Any] = {
            'backend': self.name,
            'request_id': run.request_id,
            'body_bytes': run.body_bytes,
            'body_digest': run.body_digest,
        }
        if self.behaviour.answer_bytes:
            body['padding'] = 'x' * self.behaviour.answer_bytes
        await _respond(send, status, body, extra)


def _partial_response_start() -> dict[str, Any]:
    return {
        'type': 'http.response.start',
        'status': HTTPStatus.OK.value,
        'headers': [(b'content-length', b'1000')],
    }


def _partial_response_body() -> dict[str, Any]:
    return {
        'type': 'http.response.body',
        'body': b'half',
        'more_body': True,
    }


async def _read_all(receive: Receive) -> bytes:
    body = b''
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return body


async def _respond(
    send: Send,
    status: int,
    body: dict[str, Any],
    extra: list[tuple[bytes, bytes]] | None = None,
) -> None:
    raw = json.dumps(body).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(raw)).encode()),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers + (extra or []),
        }
    )
    await send({'type': 'http.response.body', 'body': raw})
