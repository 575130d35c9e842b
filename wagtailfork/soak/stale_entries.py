"""Entries of names that are gone, at addresses where servers live."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from ..core.clock import now_s
from .record import Record
from .servers import SoakServer

STALE_S: Final = 1.0  # mean, until a stale entry is replaced


@attrs.define(eq=False, kw_only=True)
class StaleEntries:
    """Keep a second entry for some servers, each for a short time.

    A name that got a 421 is left alone for a while, so each entry has a new
    one, as with servers that are replaced all the time.
    """

    count: int  # at any time
    servers: list[SoakServer]
    record: Record
    rng: random.Random
    register: Callable[[str, dict[str, object]], None]
    unregister: Callable[[str], None]
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    async def run(self, until_s: float) -> None:
        """Keep the entries until a time."""
        await asyncio.gather(*(self._keep(until_s) for _ in range(self.count)))

    async def _keep(self, until_s: float) -> None:
        while now_s() < until_s:
            server = self.rng.choice(self.servers)
            name = f'{server.name}-was{next(self._numbers)}'
            server.stale_names.add(name)
            self.register(name, server.entry())
            self.record.disruptions['stale_entry'] += 1
            await asyncio.sleep(self.rng.expovariate(1 / STALE_S))
            self.unregister(name)
            server.stale_names.discard(name)
