"""The link between two regions, shared by all that is sent over it."""

import asyncio
from collections import Counter
from typing import Any, Final

import attrs

from .flow import Lane
from .links import Link

DELAY_S: Final = 0.01


class _DatagramWay(asyncio.DatagramProtocol):
    """Pass datagrams on in the order of the link; a cut loses them."""

    def __init__(self, lane: Lane, target: tuple[str, int]) -> None:
        """Set the lane and where datagrams go."""
        self.transport: Any = None
        self._lane = lane
        self._target = target

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, raw: bytes, addr: Any) -> None:
        """Send a datagram on its way."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now < self._lane.cut_until_s:
            self._lane.played['lost_datagrams'] += 1
            return
        self._lane.played['datagrams'] += 1
        due_s = self._lane.reserve(len(raw), now)
        loop.call_at(due_s, self._pass_on, raw)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens at the far end."""

    def _pass_on(self, raw: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(raw, self._target)


@attrs.define(eq=False, kw_only=True)
class RegionLinks:
    """Hold one lane each way, and the ways to addresses beyond them."""

    mbps: float
    played: Counter[str]
    # By the region that sends.
    lanes: dict[str, Lane] = attrs.field(factory=dict)
    _links: list[Link] = attrs.field(factory=list)
    _datagram_ways: list[_DatagramWay] = attrs.field(factory=list)

    async def open(self, address: str, region: str, far: str) -> str:
        """Return the address at which a far region finds one of a region."""
        host, _, port = address.rpartition(':')
        target = (host, int(port))
        up = self._lane(far)
        link = Link(
            target=target, up=up, down=self._lane(region), played=self.played
        )
        await link.open()
        self._links.append(link)
        way = _DatagramWay(up, target)
        near_host, _, near_port = link.address.rpartition(':')
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: way, local_addr=(near_host, int(near_port))
        )
        self._datagram_ways.append(way)
        return link.address

    def cut(self, seconds: float) -> None:
        """Hold back connections and lose datagrams, both ways."""
        until_s = asyncio.get_running_loop().time() + seconds
        for lane in self.lanes.values():
            lane.cut_until_s = until_s

    def close(self) -> None:
        """Close all ways."""
        for link in self._links:
            link.close()
        for way in self._datagram_ways:
            way.transport.close()

    def _lane(self, region: str) -> Lane:
        if region not in self.lanes:
            self.lanes[region] = Lane(
                delay_s=DELAY_S, mbps=self.mbps, played=self.played
            )
        return self.lanes[region]
