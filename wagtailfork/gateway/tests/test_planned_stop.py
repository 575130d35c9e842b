"""A planned stop under load, as callers and backend servers see it."""

import asyncio
import contextlib

import testtools

from ...http1.backend import connect
from ...http1.headers import render_head
from ...http1.responses import RequestNotSent, ResponseError
from ...standin.documents import make_route
from ...standin.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
    Writer,
    render_response,
    shed_request,
)
from ...tests.rig_tools import WINDOW_BYTES, open_narrow
from ..node import GatewayNode
from .rig import CONFIG_TOPIC, HOST, LIMIT_S, Rig, make_config, run_scenario

CONNECTIONS = 20  # kept open by callers, as long as the VM keeps them
SERVICE_S = 0.05
NEW_CALLS = 60  # on new connections, while they are still accepted
ACCEPTS_S = 0.6
GRACE_S = 2.4
LONG_SERVICE_S = 2.5  # longer than what is left of the grace
LATE_BODY = b'x'
LATE_HEAD = (
    f'POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: late\r\n'
    f'Request-Deadline-Ms: 9000\r\nContent-Length: 1\r\n\r\n'
).encode()
# It ends within the limit of the stop, however late it is sent.
SHORT_HEAD = LATE_HEAD.replace(b'Ms: 9000', b'Ms: 1200')


READERS = 8
BYTES_PER_S = 500000  # that each reader reads
READ_BYTES = 700000  # in 1.4 s, and some more for each further reader
STEP_BYTES = 6000
LONG_READ_BYTES = 950000  # 1.9 s, after the last traffic sums were appended


class TestStopUnderLoad(testtools.TestCase):
    """A stopping VM answers every request that it has read."""

    def test_no_accepted_request_is_cut_off(self) -> None:
        """Requests on kept and on new connections get their answers."""
        run_scenario(self._stop)

    async def _stop(self, rig: Rig) -> None:
        await rig.start(backends=4, gateways=0)
        for backend in rig.backends.values():
            backend.service_s = SERVICE_S
            backend.slots = 50
        for number in range(2):
            rig.add_gateway(f'vm{number}', stop_accepts_s=ACCEPTS_S)
        await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
        await rig.until(rig.all_connected)
        answered: set[str] = set()
        keepers = [
            asyncio.create_task(_keep_calling(rig, f'k{number}', answered))
            for number in range(CONNECTIONS)
        ]
        await asyncio.sleep(2 * SERVICE_S)
        rig.nodes[0].request_stop()
        statuses = []
        for number in range(NEW_CALLS):
            response = await rig.call('/pay/1', f'n{number}', b'x')
            statuses.append(response.status)
            if number % 10 == 0:
                await asyncio.sleep(0.01)
            if rig.nodes[0].callers.connections == set():
                break
        self.assertEqual({200}, set(statuses))
        await asyncio.wait_for(asyncio.gather(*keepers), LIMIT_S)
        ran = {name for name in rig.runs() if name.startswith('k')}
        self.assertEqual(set(), ran - answered)


class TestLateRequests(testtools.TestCase):
    """A request that cannot end before the process does is not sent."""

    def test_request_late_in_the_grace_is_refused(self) -> None:
        """It was sent, and cut off without an answer at the end."""
        run_scenario(self._send_late)

    def test_short_request_in_the_grace_is_answered(self) -> None:
        """Its deadline is before the end of the stop."""
        run_scenario(self._send_short)

    def test_refused_request_is_not_sent_again_late(self) -> None:
        """A server refuses it when the process accepts nothing any more."""
        run_scenario(self._refuse_late)

    async def _send_late(self, rig: Rig) -> None:
        node = await self._start(rig)
        for backend in rig.backends.values():
            backend.service_s = LONG_SERVICE_S
        answer = await self._call_late(rig, node, LATE_HEAD, ACCEPTS_S)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer[:40])
        self.assertEqual([], rig.runs())

    async def _send_short(self, rig: Rig) -> None:
        node = await self._start(rig)
        answer = await self._call_late(rig, node, SHORT_HEAD, ACCEPTS_S)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer[:40])
        self.assertEqual(['late'], rig.runs())

    async def _refuse_late(self, rig: Rig) -> None:
        node = await self._start(rig)
        for backend in rig.backends.values():
            backend.script = shed_late
        answer = await self._call_late(rig, node, LATE_HEAD, 0)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer[:40])
        arrived = [len(one.arrivals) for one in rig.backends.values()]
        self.assertEqual([0, 1], sorted(arrived))

    async def _start(self, rig: Rig) -> GatewayNode:
        await rig.start(backends=2, gateways=0)
        route = make_route(pathPrefix='/pay/', type='unsafe', timeoutMs=9000)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2, pay=route))
        rig.add_gateway('vm0', stop_accepts_s=ACCEPTS_S, stop_grace_s=GRACE_S)
        await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
        return rig.nodes[0]

    async def _call_late(
        self, rig: Rig, node: GatewayNode, head: bytes, pause_s: float
    ) -> bytes:
        """Send a head while the VM accepts requests, its body after a pause."""
        reader, writer = await open_connection(node.cfg.caller_address)
        node.request_stop()
        await asyncio.sleep(ACCEPTS_S / 2)
        answer = b''
        writer.write(head)
        await asyncio.sleep(pause_s)
        writer.write(LATE_BODY)
        end = asyncio.create_task(rig.end_process(node))
        with contextlib.suppress(ConnectionError):
            answer = await asyncio.wait_for(reader.read(), LIMIT_S)
        await end
        writer.close()
        return answer


async def shed_late(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Refuse the request once the VM accepts no others."""
    await asyncio.sleep(ACCEPTS_S)
    await shed_request(backend, req, writer)


async def send_sized(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Respond with as many bytes as the path says."""
    backend.runs.append(req)
    size = int(req.path.rpartition('/')[2])
    writer.write(render_response(req, bytes(size)))


class TestSlowReaders(testtools.TestCase):
    """A response is finished when its caller has read its last byte."""

    def test_response_that_is_read_slowly_is_whole(self) -> None:
        """Its end was in the process when its handler had ended."""
        run_scenario(lambda rig: self._read_slowly(rig, READ_BYTES))

    def test_response_is_whole_up_to_the_grace(self) -> None:
        """It is read until shortly before the process is killed."""
        run_scenario(lambda rig: self._read_slowly(rig, LONG_READ_BYTES))

    async def _read_slowly(self, rig: Rig, size: int) -> None:
        await rig.start(backends=1, gateways=0)
        rig.backends['b0'].script = send_sized
        rig.backends['b0'].slots = READERS
        rig.add_gateway('vm0', stop_accepts_s=0.2, stop_grace_s=GRACE_S)
        await rig.until(lambda: all(node.is_ready() for node in rig.nodes))
        node = rig.nodes[0]
        sizes = [size + STEP_BYTES * number for number in range(READERS)]
        streams = [await _request_sized(node, each) for each in sizes]
        node.request_stop()
        end = asyncio.create_task(rig.end_process(node))
        received = await asyncio.gather(
            *(_read_in_time(reader) for reader, _ in streams)
        )
        await end
        for _, writer in streams:
            writer.close()
        self.assertEqual(sizes, received)


async def _request_sized(
    node: GatewayNode, size: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Request a response over a narrow link; read its head."""
    reader, writer = await open_narrow(node.cfg.caller_address)
    head = (
        f'GET /look/{size} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: slow-{size}\r\nRequest-Deadline-Ms: 9000\r\n\r\n'
    )
    writer.write(head.encode())
    await reader.readuntil(b'\r\n\r\n')
    return reader, writer


async def _read_in_time(reader: asyncio.StreamReader) -> int:
    """Read evenly up to the end; return the size of the body."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    size = 0
    with contextlib.suppress(ConnectionError):
        while piece := await reader.read(WINDOW_BYTES):
            size += piece.count(0)  # of the body, not of its framing
            due_s = started_s + size / BYTES_PER_S
            await asyncio.sleep(max(0, due_s - loop.time()))
    return size


async def open_connection(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def _keep_calling(rig: Rig, name: str, answered: set[str]) -> None:
    """Send requests on one connection until the VM closes it."""
    address = rig.nodes[0].cfg.caller_address
    host, _, port = address.rpartition(':')
    conn = await connect(host, int(port), LIMIT_S)
    count = 0
    while conn.reusable:
        request_id = f'{name}-{count}'
        count += 1
        head = render_head(
            b'POST /pay/1 HTTP/1.1',
            [
                (b'Host', HOST.encode()),
                (b'Request-Id', request_id.encode()),
                (b'Content-Length', b'0'),
            ],
        )
        try:
            response = await conn.exchange(head, request_id=None)
            await response.body.wait_buffered()
        except (RequestNotSent, ResponseError):
            break
        if response.body.complete:
            answered.add(request_id)
    conn.close()
