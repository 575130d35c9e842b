"""Stand-ins of backend servers that are full, faulty, crash and move."""

import asyncio
import contextlib
import random
from typing import Final

import attrs

from ..core.clock import now_s
from .answers import Answer, make_body
from .plays import PLAYS
from .record import Record, Visit
from .reply import reset
from .wire import Head, read_body, read_head

SLOTS: Final = 4
QUEUE: Final = 6  # requests beyond the slots
MEAN_WORK_S: Final = 0.06
IDLE_CLOSE_SHARE: Final = 0.03  # of answers after which the server forgets
EARLY_SHARE: Final = 0.2  # of large uploads answered before their end
EARLY_BYTES: Final = 200000
_MS: Final = 1000


@attrs.define(eq=False)
class _Reply:
    server: 'SoakServer'
    request_id: str
    writer: asyncio.StreamWriter
    first: bool
    rng: random.Random
    ran: bool = False

    async def run(self) -> None:
        self.ran = True
        self.server.record.record_run(self.request_id, self.server.visit())
        await asyncio.sleep(self.rng.expovariate(1 / MEAN_WORK_S))

    def sent(self, status: int, *, stated: bool, named: bool) -> None:
        self.server.record.count_answer(
            Answer(
                status=status,
                stated=stated,
                named=named,
                first=self.first,
                ran=self.ran,
            )
        )

    def body(self) -> bytes:
        body = make_body(self.request_id, self.server.name)
        seen = self.server.record.requests.get(self.request_id)
        if seen is not None:
            seen.bodies.add(body)
        return body

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
    born: int = 1
    sequence: int = 0
    leaving_since_s: float | None = None
    running: int = 0
    waiting: int = 0
    _slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(SLOTS)
    )
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on the address."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port), reuse_address=True
        )

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def entry(self) -> dict[str, object]:
        """Return the registration entry."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': SLOTS,
            'state': 'ready' if self.leaving_since_s is None else 'draining',
            'warmupLeftMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    def visit(self) -> Visit:
        """Return a visit of a request now."""
        return Visit(now_s(), self.name, self.service, self.leaving_since_s)

    def load(self) -> str:
        """Return the header with the load."""
        return f'Server-Load: {self.running},{self.waiting},{SLOTS}\r\n'

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        first = True
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            while not writer.is_closing():
                head = await read_head(reader)
                await self._handle(head, reader, writer, first=first)
                first = False
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
        *,
        first: bool,
    ) -> None:
        request_id = head.headers.get('request-id', '')
        reply = _Reply(self, request_id, writer, first, self.rng)
        if head.target == '/health':
            writer.write(
                f'HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n{self.load()}'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        if request_id:
            self.record.record_arrival(request_id, self.visit())
        early = self._answers_early(head)
        if not early:
            await read_body(reader, head)
        await self._answer(head, reply)
        if early:
            await read_body(reader, head)

    def _answers_early(self, head: Head) -> bool:
        if head.body_size is not None and head.body_size < EARLY_BYTES:
            return False
        return self.rng.random() < EARLY_SHARE

    async def _answer(self, head: Head, reply: _Reply) -> None:
        if head.headers.get('target-instance', self.name) != self.name:
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
        names = list(self.weights)
        name = self.rng.choices(names, list(self.weights.values()))[0]
        self.record.plays[name] += 1
        await PLAYS[name](reply)
