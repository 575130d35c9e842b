"""Disruptions of links before servers and gateways."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .excuses import Disruptions
from .gateways import GatewayProcess
from .links import Link, Links
from .servers import SoakServer

GATEWAY_SHARE: Final = 0.25  # of the disruptions; the others are at servers
MAX_CUT_S: Final = 3.0

LINK_KINDS: Final = ('silence_link', 'cut_one_way', 'reset_link')


@attrs.define(eq=False, kw_only=True)
class LinkDisruptor:
    """Draw links and disrupt them."""

    links: Links
    gateways: list[GatewayProcess]
    servers: list[SoakServer]
    rng: random.Random
    excuses: dict[str, Disruptions]  # by the server behind the link
    busy: set[str]  # servers whose address may not change now

    def kinds(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what plays each kind."""
        if not self.links:
            return {}
        return dict(
            zip(
                LINK_KINDS,
                (self._silence, self._cut, self._reset),
                strict=True,
            )
        )

    async def _silence(self) -> None:
        link, excuse, _ = self._choose()
        excuse.add_trouble(now_s(), now_s())
        link.silence()

    async def _reset(self) -> None:
        link, excuse, _ = self._choose()
        excuse.add_trouble(now_s(), now_s())
        link.reset()

    async def _cut(self) -> None:
        link, excuse, name = self._choose()
        if name in self.busy:
            return
        self.busy.add(name)
        seconds = self.rng.random() * MAX_CUT_S
        excuse.add_trouble(now_s(), now_s() + seconds)
        link.cut(self.rng.choice((link.up, link.down)), seconds)
        await asyncio.sleep(seconds)
        self.busy.discard(name)

    def _used(self) -> list[SoakServer]:
        return [
            server
            for server in self.servers
            if self.links.before(server.address).connections
        ]

    def _choose(self) -> tuple[Link, Disruptions, str]:
        """Draw a link; return what it excuses and the name behind it."""
        if self.rng.random() < GATEWAY_SHARE:
            gateway = self.rng.choice(self.gateways)
            link = self.links.before(gateway.address)
            return link, gateway.disruptions, gateway.vm
        server = self.rng.choice(self._used() or self.servers)
        excuse = self.excuses.setdefault(server.name, Disruptions())
        return self.links.before(server.address), excuse, server.name
