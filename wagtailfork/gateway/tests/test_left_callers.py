"""Callers that leave while their uploads wait for a server."""

import asyncio
from typing import Final

import testtools

from ...http1.body import HIGH_WATER_BYTES, Body
from ...http1.read_ahead import ReadAhead
from ...standin.documents import make_route
from .rig import CONFIG_TOPIC, HOST, Rig, make_config, run_scenario

UPLOAD_BYTES: Final = 1000000  # more than one connection buffers by itself
SERVICE_S: Final = 0.4
LEAVE_S: Final = 0.1
GONE_S: Final = 0.5  # the users' bound, after the caller has left
UPLOADS: Final = 6
ROUTE: Final = make_route(
    pathPrefix='/up/', type='upload', timeoutMs=6000, targetLatencyMs=4000
)


class TestLeftCallers(testtools.TestCase):
    """An upload is not passed on once its caller has left."""

    def test_upload_of_left_caller_is_not_sent(self) -> None:
        """It waits for a slot, and not all of it was read."""
        run_scenario(self._leave)

    async def _leave(self, rig: Rig) -> None:
        await rig.start(backends=1)
        rig.store.put(CONFIG_TOPIC, 'config', make_config(2, up=ROUTE))
        server = rig.backends['b0']
        server.service_s = SERVICE_S
        await rig.until(lambda: rig.nodes[0].view.version == 2)
        stay = [
            asyncio.create_task(rig.call('/up/1', f's{n}', b'x', 0, 6000))
            for n in range(server.slots)
        ]
        await rig.until(lambda: len(server.runs) == server.slots)
        writers = [await _upload(rig, number) for number in range(UPLOADS)]
        await asyncio.sleep(LEAVE_S)
        for writer in writers:
            writer.close()
        await asyncio.gather(*stay)
        await asyncio.sleep(SERVICE_S + GONE_S)
        late = [name for name in rig.runs() if name.startswith('left')]
        self.assertEqual([], late)
        shared = rig.nodes[0].callers.read_ahead
        self.assertEqual(ReadAhead().left_bytes, shared.left_bytes)


async def _upload(rig: Rig, number: int) -> asyncio.StreamWriter:
    host, _, port = rig.nodes[0].cfg.caller_address.rpartition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    head = (
        f'POST /up/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: left{number}\r\n'
        f'Request-Deadline-Ms: 6000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n'
    )
    writer.write(head.encode() + bytes(UPLOAD_BYTES))
    return writer


class TestSharedBuffer(testtools.TestCase):
    """What all bodies buffer beyond their own limit is bounded."""

    def test_used_up_buffer_pauses_the_source(self) -> None:
        """A body that takes the last bytes pauses its source."""
        paused: list[bool] = []
        body = Body(
            replay_limit_bytes=0,
            pause_source=lambda *, pause: paused.append(pause),
            read_ahead=ReadAhead(1000),
        )
        body.feed(bytes(HIGH_WATER_BYTES))
        body.feed(bytes(1000))
        self.assertEqual(([], 0), (paused, body.read_ahead.left_bytes))
        body.feed(b'x')
        self.assertEqual([True], paused)
        body.release()
        self.assertEqual(1000, body.read_ahead.left_bytes)
