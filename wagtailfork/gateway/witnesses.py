"""Connections to other servers that tell whether they fell beside a trial.

A trial is the only copy of its request under way. If another server of the
service or of the failure domain ends at the same moment, something else ended
both, and the trial proves nothing.
"""

import asyncio
import random
from collections import defaultdict
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.backend import BackendConnection
from ..http1.responses import ConnectionRefused
from .backend_registry import BackendRegistry
from .model import BackendServer
from .server_watch import CHECK_DELAY_S, reach

PER_DOMAIN: Final = 2  # beside the server of the trial, which may be one
MAX_WITNESSES: Final = 12
# A trial waits for its witnesses; most answer within a round trip.
OPEN_TIMEOUT_S: Final = 0.1
TOGETHER_S: Final = 0.5  # between the ends of servers that fall together


@attrs.define(eq=False)
class Witnesses:
    """Hold a connection to each of some servers while a trial runs."""

    _conns: dict[str, BackendConnection] = attrs.field(factory=dict)
    _lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    _lost_addresses: set[str] = attrs.field(factory=set)

    async def open(self, servers: list[BackendServer]) -> None:
        """Connect to the servers; those that can't be reached are left out."""
        await asyncio.gather(*(self._open(one.address) for one in servers))

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    async def has_fallen(self, server: str) -> bool:
        """Return whether one beside the server at an address has ended."""
        until_s = now_s() + TOGETHER_S
        self._lost_addresses.discard(server)
        while True:
            for address in tuple(self._lost_addresses):
                self._lost_addresses.discard(address)
                if address != server and await _is_refused(address):
                    return True
            self._lost.clear()
            try:
                async with asyncio.timeout(max(0, until_s - now_s())):
                    await self._lost.wait()
            except TimeoutError:
                return False
            await asyncio.sleep(CHECK_DELAY_S)

    async def _open(self, address: str) -> None:
        try:
            conn = await reach(address, OPEN_TIMEOUT_S)
        except ConnectionRefused:
            return
        if conn is None:
            return
        conn.on_lost = lambda: self._record_lost(address)
        self._conns[address] = conn

    def _record_lost(self, address: str) -> None:
        self._lost_addresses.add(address)
        self._lost.set()


def choose_witnesses(
    backends: BackendRegistry, service: str
) -> list[BackendServer]:
    """Return servers of the domains of a service, first those of the service.

    One more for each domain than is needed, as the trial may go to it.
    """
    own: dict[str, list[BackendServer]] = defaultdict(list)
    others: dict[str, list[BackendServer]] = defaultdict(list)
    for server, candidate in backends.candidates():
        if candidate.draining or now_s() < candidate.load.ejected_until_s:
            continue
        found = own if server.service == service else others
        found[server.failure_domain].append(server)
    chosen: list[BackendServer] = []
    for domain, servers in own.items():
        random.shuffle(servers)
        chosen.extend([*servers, *others[domain]][: PER_DOMAIN + 1])
    random.shuffle(chosen)
    return chosen[:MAX_WITNESSES]


async def _is_refused(address: str) -> bool:
    try:
        conn = await reach(address)
    except ConnectionRefused:
        return True
    if conn is not None:
        conn.close()
    return False
