"""Stand-ins of backend servers that are full, faulty, crash and move."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..standin.documents import describe_server
from .answers import Answer, make_body
from .carried import Carried
from .plays import PLAYS
from .record import Record, Visit
from .refusals import MISDIRECTED, copy_refusal
from .reply import reset
from .wire import Head, read_body, read_head

SLOTS: Final = 4
QUEUE: Final = 6  # requests beyond the slots
# Of health checks at an address with a stale name: those that bear no name.
NAMELESS_SHARE: Final = 0.8
CRASHING_PATH: Final = '/look/poison'  # crashes each server that begins it
MEAN_WORK_S: Final = 0.06
IDLE_CLOSE_SHARE: Final = 0.03  # of answers after which the server forgets
EARLY_SHARE: Final = 0.2  # of large uploads answered before their end
EARLY_BYTES: Final = 200000
_MS: Final = 1000


@attrs.define(eq=False)
class _Reply:
    server: 'SoakServer'
    head: Head
    request_id: str
    writer: asyncio.StreamWriter
    carried: Carried
    rng: random.Random
    ran: bool = False

    async def run(self) -> None:
        self.ran = True
        self.server.record.record_run(
            self.request_id, self.server.visit(self.head)
        )
        await asyncio.sleep(self.rng.expovariate(1 / MEAN_WORK_S))

    def sent(self, status: int, *, stated: bool, named: bool) -> None:
        if not self.ran and (stated or status == MISDIRECTED):
            self.carried.refused[self.request_id] = status
        self.server.record.count_answer(
            Answer(
                status=status,
                stated=stated,
                named=named,
                first=self.carried.requests == 1,
                ran=self.ran,
            )
        )

    def body(self) -> bytes:
        body = make_body(self.request_id, self.server.name)
        seen = self.server.record.requests.get(self.request_id)
        if seen is not None:
            seen.bodies.add(body)
        return body

    def start_of_answer(self) -> bytes:
        """Return the head and a part of the body of a success."""
        return (
            f'HTTP/1.1 200 OK\r\nRequest-Id: {self.request_id}\r\n'
            'Server-Signature: s.1\r\nContent-Length: 400\r\n\r\nrrrr'.encode()
        )

    def mark_endless(self) -> None:
        seen = self.server.record.requests.get(self.request_id)
        if seen is not None:
            seen.endless = True

    def load(self) -> str:
        return self.server.load()


@attrs.define(eq=False)
class SoakServer:
    """Serve on one loopback address with answers drawn by weight."""

    name: str
    service: str
    zone: str
    address: str
    record: Record
    rng: random.Random
    weights: dict[str, float]
    copies: bool = False  # whether it repeats refusals of ids that return
    born: int = 1
    sequence: int = 0
    leaving_since_s: float | None = None
    stale_names: set[str] = attrs.field(factory=set)  # at its address
    running: int = 0
    waiting: int = 0
    up: bool = False
    on_crashing_path: 'Callable[[SoakServer], None] | None' = None
    crashes_within: bool = False  # its answer, on the crashing path
    _slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(SLOTS)
    )
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _senders: set[tuple[str, str]] = attrs.field(factory=set)  # id, gateway

    async def start(self) -> None:
        """Listen on the address."""
        self.up = True
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port), reuse_address=True
        )

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def entry(self) -> dict[str, object]:
        """Return the registration entry."""
        self.sequence += 1
        return describe_server(
            service=self.service,
            address=self.address,
            domain=self.zone,
            slots=SLOTS,
            draining=self.leaving_since_s is not None,
            sequence=self.sequence,
            started_ms=self.born,
        )

    def visit(self, head: Head, *, misdirected: bool = False) -> Visit:
        """Return a visit of a request now.

        A misdirected one tells nothing of whether the server may be used.
        """
        since_s = None if misdirected else self.leaving_since_s
        return Visit(
            now_s(),
            self.name,
            self.service,
            since_s,
            zone='' if misdirected else self.zone,
            customer=head.headers.get('tenant', ''),
            keyed='x-api-key' in head.headers,
        )

    def load(self) -> str:
        """Return the header with the load."""
        return f'Server-Load: {self.running},{self.waiting},{SLOTS}\r\n'

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        carried = Carried()
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            while not writer.is_closing():
                head = await read_head(reader)
                await self._handle(head, reader, writer, carried)
                await writer.drain()
                if self.rng.random() < IDLE_CLOSE_SHARE:
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        carried: Carried,
    ) -> None:
        carried.requests += 1
        if head.target == '/health':
            writer.write(self._render_health())
            return
        request_id = head.headers.get('request-id', '')
        reply = _Reply(self, head, request_id, writer, carried, self.rng)
        early = self._answers_early(head)
        returned = self._record_arrival(head, carried)
        if not early:
            await read_body(reader, head)
        if returned and self.copies and request_id in carried.refused:
            await copy_refusal(reply, carried.refused[request_id])
        await self._answer(head, reply)
        if early:
            await read_body(reader, head)

    def _render_health(self) -> bytes:
        name = f'Instance-Id: {self.name}\r\n'
        if self.stale_names and self.rng.random() < NAMELESS_SHARE:
            name = ''
        return (
            f'HTTP/1.1 200 OK\r\n{name}{self.load()}'
            'Content-Length: 0\r\n\r\n'.encode()
        )

    def _is_misdirected(self, head: Head) -> bool:
        return head.headers.get('target-instance', self.name) != self.name

    def _record_arrival(self, head: Head, carried: Carried) -> bool:
        """Record an arrival; return whether its connection had carried it."""
        request_id = head.headers.get('request-id', '')
        if not request_id:
            return False
        seen = self.record.requests.get(request_id)
        visit = self.visit(head, misdirected=self._is_misdirected(head))
        self.record.record_arrival(request_id, visit)
        sender = (request_id, seen.gateway if seen else '')
        self.record.revisits += sender in self._senders
        self._senders.add(sender)
        returned = carried.add(request_id)
        self.record.returned_ids += returned
        return returned

    def _answers_early(self, head: Head) -> bool:
        if head.body_size is not None and head.body_size < EARLY_BYTES:
            return False
        return self.rng.random() < EARLY_SHARE

    async def _answer(self, head: Head, reply: _Reply) -> None:
        if self._is_misdirected(head):
            await PLAYS['misdirect'](reply)
            return
        if self.waiting >= QUEUE or not await self._wait_for_slot(head):
            await PLAYS['refuse'](reply)
            return
        self.running += 1
        try:
            await self._play(reply)
        finally:
            self.running -= 1
            self._slots.release()

    async def _wait_for_slot(self, head: Head) -> bool:
        """Wait for a slot; return false if the deadline passes first."""
        left_s = int(head.headers.get('request-deadline-ms', '1000')) / _MS
        self.waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await self._slots.acquire()
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        return True

    async def _play(self, reply: _Reply) -> None:
        if reply.head.target == CRASHING_PATH and self.on_crashing_path:
            if self.crashes_within:
                reply.writer.write(reply.start_of_answer())
            await reply.run()
            self.on_crashing_path(self)
            return
        names = list(self.weights)
        name = self.rng.choices(names, list(self.weights.values()))[0]
        self.record.plays[name] += 1
        await PLAYS[name](reply)
