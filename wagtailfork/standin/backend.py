"""A stand-in for a backend server with scripted behaviour."""

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

_CRASH_EXIT: Final = 3
_CRASH_HEADER: Final = 'x-crash'
_FOREVER_S: Final = 1e9
_HALF_ANSWER_S: Final = 0.1
_DEADLINE: Final = 'wagtailfork-deadline-ms'


@attrs.define(kw_only=True)
class BackendBehaviour:
    """Hold how the server behaves, as set over its control path."""

    slots: int = 4
    service_ms: float = 8.0
    sigma: float = 0.0  # of log-normal service times
    shed: bool = True  # answer 503 with the shed mark when all slots are busy
    queue_limit: int = 0  # requests that wait when all slots are busy
    fail_status: int = 0  # answer this at once
    draining: bool = False
    health_lies: bool = False
    reported_load: float = -1.0  # negative: the truth
    read_kb_per_s: int = 0  # slow reading of request bodies; 0: full speed
    drop: str = ''  # close the connection 'before', 'during' or 'after' the run
    answer_id: str = ''  # echoed in place of the request's own
    answer_bytes: int = 0  # size of the answer's padding


@attrs.define(kw_only=True)
class RunRecord:
    """Record one run of one request."""

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


class _Dropped(Exception):
    """Ask for the connection to be closed."""


@attrs.define(eq=False)
class BackendStandin:
    """Serve requests under a number of slots and record each run."""

    name: str
    may_exit: bool = True
    behaviour: BackendBehaviour = attrs.field(factory=BackendBehaviour)
    runs: list[RunRecord] = attrs.field(factory=list)
    sheds: int = 0
    probes: int = 0
    _busy: int = 0
    _waiting: int = 0
    _freed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _seen: set[Any] = attrs.field(factory=set)
    _silent: set[Any] = attrs.field(factory=set)
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
        self._seen.add(client)
        if client in self._silent:
            await asyncio.sleep(_FOREVER_S)
        path = scope['path']
        if path.startswith('/standin/'):
            await self._control(path, receive, send)
        elif path in {'/health', '/load'}:
            self.probes += 1
            await _answer(send, HTTPStatus.OK, self._health())
        else:
            await self._work(scope, receive, send)

    def _health(self) -> dict[str, Any]:
        is_well = not self.behaviour.draining or self.behaviour.health_lies
        load = self.behaviour.reported_load
        return {
            'healthy': is_well,
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
            self._silent |= self._seen
        elif path == '/standin/exit':
            os._exit(_CRASH_EXIT)
        await _answer(
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

    async def _work(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        if self.behaviour.fail_status:
            await _answer(send, self.behaviour.fail_status, {'failed': True})
            return
        if not await self._enter():
            self.sheds += 1
            await _answer(
                send,
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'shed': True},
                [(b'wagtailfork-shed', b'1')],
            )
            return
        try:
            await self._run(scope, headers, receive, send)
        except _Dropped:
            scope[TRANSPORT_KEY].abort()
        finally:
            await self._exit()

    async def _enter(self) -> bool:
        if self._busy < self.behaviour.slots:
            self._busy += 1
            return True
        if self._waiting >= self.behaviour.queue_limit and self.behaviour.shed:
            return False
        self._waiting += 1
        async with self._freed:
            await self._freed.wait_for(
                lambda: self._busy < self.behaviour.slots,
            )
            self._waiting -= 1
            self._busy += 1
        return True

    async def _exit(self) -> None:
        self._busy -= 1
        async with self._freed:
            self._freed.notify()

    async def _run(
        self,
        scope: Scope,
        headers: dict[str, str],
        receive: Receive,
        send: Send,
    ) -> None:
        drop = self.behaviour.drop
        if drop == 'before':
            raise _Dropped
        run = RunRecord(
            request_id=headers.get('x-request-id', ''),
            key=headers.get('idempotency-key', ''),
            customer=headers.get('wagtailfork-customer', ''),
            method=scope['method'],
            path=scope['path'],
            started_at=time.time(),
        )
        self.runs.append(run)
        await self._crash_if_asked(headers.get(_CRASH_HEADER, ''), send)
        await self._read_body(receive, run)
        if drop == 'during':
            run.outcome = 'dropped'
            raise _Dropped
        await self._serve_for(receive, headers, run)
        if drop == 'after':
            raise _Dropped
        await self._reply(send, headers, run)

    async def _crash_if_asked(self, when: str, send: Send) -> None:
        """Crash at once, ``after=MS``, or within the ``answer``."""
        if not when:
            return
        if when.startswith('after='):
            # The server goes down even when the caller has left by then.
            await asyncio.sleep(int(when.removeprefix('after=')) / 1000)
        if when == 'answer':
            await send(_half_answer_start())
            await send(_half_answer_body())
            await asyncio.sleep(_HALF_ANSWER_S)
        self._crash()
        raise _Dropped

    def _crash(self) -> None:
        if self.may_exit:
            os._exit(_CRASH_EXIT)

    async def _read_body(self, receive: Receive, run: RunRecord) -> None:
        digest = hashlib.sha256()
        more = True
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                run.outcome = 'cancelled'
                raise _Dropped
            chunk = message.get('body', b'')
            digest.update(chunk)
            run.body_bytes += len(chunk)
            more = message.get('more_body', False)
            if self.behaviour.read_kb_per_s:
                kb_per_s = self.behaviour.read_kb_per_s
                await asyncio.sleep(len(chunk) / 1024 / kb_per_s)
        run.body_digest = digest.hexdigest()

    async def _serve_for(
        self,
        receive: Receive,
        headers: dict[str, str],
        run: RunRecord,
    ) -> None:
        service_s = self.behaviour.service_ms / 1000
        if self.behaviour.sigma:
            service_s *= self._rng.lognormvariate(0, self.behaviour.sigma)
        limit_s = int(headers.get(_DEADLINE, '0')) / 1000 or _FOREVER_S
        gone = asyncio.ensure_future(receive())
        done, _rest = await asyncio.wait(
            (gone,),
            timeout=min(service_s, limit_s),
        )
        gone.cancel()
        run.ended_at = time.time()
        if done:
            run.outcome = 'cancelled'
            raise _Dropped
        run.outcome = 'ran' if service_s <= limit_s else 'deadline'

    async def _reply(
        self,
        send: Send,
        headers: dict[str, str],
        run: RunRecord,
    ) -> None:
        echoed = self.behaviour.answer_id or run.request_id
        extra = [(b'x-request-id', echoed.encode())]
        if self.behaviour.draining and not self.behaviour.health_lies:
            extra.append((b'wagtailfork-draining', b'1'))
        is_whole = run.outcome == 'ran'
        status = HTTPStatus.OK if is_whole else HTTPStatus.GATEWAY_TIMEOUT
        body: dict[str, Any] = {
            'backend': self.name,
            'request_id': run.request_id,
            'body_bytes': run.body_bytes,
            'body_digest': run.body_digest,
        }
        if self.behaviour.answer_bytes:
            body['padding'] = 'x' * self.behaviour.answer_bytes
        await _answer(send, status, body, extra)


def _half_answer_start() -> dict[str, Any]:
    return {
        'type': 'http.response.start',
        'status': HTTPStatus.OK.value,
        'headers': [(b'content-length', b'1000')],
    }


def _half_answer_body() -> dict[str, Any]:
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


async def _answer(
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
