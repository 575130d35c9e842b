"""All that goes from one region to the other shares one bandwidth."""

import asyncio
from collections import Counter
from typing import Final

import testtools

from ...tests.rig_tools import HOST, free_port
from ..region_links import RegionLinks

MBPS: Final = 8.0
LOAD_BYTES: Final = 200000  # 0.2 s at this bandwidth
LIMIT_S: Final = 10.0
CUT_S: Final = 0.3


class _Sink(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, raw: bytes, addr: object) -> None:
        self.received.put_nowait(raw)


async def _send_load(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readexactly(1)
    writer.write(bytes(LOAD_BYTES))
    await writer.drain()
    writer.close()


async def _load(address: str) -> float:
    """Return how long a load took."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'x')
    await reader.readexactly(LOAD_BYTES)
    writer.close()
    return loop.time() - begun_s


class TestRegionLinks(testtools.TestCase):
    """Two addresses in one region, reached from the other."""

    def setUp(self) -> None:
        """Make a link without addresses."""
        super().setUp()
        self.played: Counter[str] = Counter()
        self.links = RegionLinks(mbps=MBPS, played=self.played)

    def test_connections_share_the_bandwidth(self) -> None:
        """Loads from two addresses take as long as one of both sizes."""

        async def scene() -> list[float]:
            addresses = [f'{HOST}:{free_port()}' for _ in range(2)]
            servers = [
                await asyncio.start_server(_send_load, HOST, _port(address))
                for address in addresses
            ]
            ways = [
                await self.links.open(address, 'south', 'north')
                for address in addresses
            ]
            async with asyncio.timeout(LIMIT_S):
                took_s = await asyncio.gather(*(_load(way) for way in ways))
            self.links.close()
            for server in servers:
                server.close()
            return list(took_s)

        took_s = asyncio.run(scene())
        self.assertGreaterEqual(max(took_s), 0.4)
        self.assertGreaterEqual(min(took_s), 0.3)

    def test_datagrams_wait_behind_bytes(self) -> None:
        """A datagram comes after what was sent before; a cut loses it."""

        async def scene() -> float:
            loop = asyncio.get_running_loop()
            address = f'{HOST}:{free_port()}'
            transport, sink = await loop.create_datagram_endpoint(
                _Sink, local_addr=(HOST, _port(address))
            )
            way = await self.links.open(address, 'south', 'north')
            self.links.lanes['north'].reserve(LOAD_BYTES, loop.time())
            sender, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=(HOST, _port(way))
            )
            begun_s = loop.time()
            async with asyncio.timeout(LIMIT_S):
                sender.sendto(b'first')
                self.assertEqual(b'first', await sink.received.get())
                took_s = loop.time() - begun_s
                self.links.cut(CUT_S)
                sender.sendto(b'second')
                await asyncio.sleep(CUT_S)
                sender.sendto(b'third')
                self.assertEqual(b'third', await sink.received.get())
            for each in (sender, transport):
                each.close()
            self.links.close()
            return took_s

        self.assertGreaterEqual(asyncio.run(scene()), 0.2)
        self.assertEqual(1, self.played['lost_datagrams'])


def _port(address: str) -> int:
    return int(address.rpartition(':')[2])
