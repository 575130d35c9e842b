"""Disruptions of gateways, servers and the store, in overlapping series."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..standin.keyed_store import KeyedStoreStandin
from .gateways import RESTART_DELAY_S, GatewayProcess
from .excuses import GRACE_S, Disruptions
from .record import Record
from .servers import SoakServer

MIN_SERIES: Final = 3  # of disruptions, which overlap
GATEWAYS_PER_SERIES: Final = 4
GAP_S: Final = 0.8  # mean, between two disruptions of a series
MAX_FREEZE_S: Final = 2.5
BRIEF_FREEZES: Final = 4
MAX_BRIEF_FREEZE_S: Final = 0.15
MAX_OUTAGE_S: Final = 3.0
HANG_SHARE: Final = 0.5  # of the outages; in the others the store refuses
LEAVING_S: Final = 6.0  # from a server's word that it leaves to its end
REUSE_S: Final = 2.0  # before an address gets another server
UNAVAILABLE: Final = 503

KINDS: Final = (
    'freeze',
    'freeze_briefly',
    'freeze_and_stop',
    'kill',
    'stop',
    'reload',
    'crash_server',
    'reuse_address',
    'drain_server',
    'store',
    'configuration',
)

Register = Callable[[SoakServer], None]
Play = Callable[[], Awaitable[None]]


@attrs.define(eq=False, kw_only=True)
class Disruptor:
    """Draw disruptions and undo each of them."""

    gateways: list[GatewayProcess]
    servers: list[SoakServer]
    store: KeyedStoreStandin
    record: Record
    rng: random.Random
    register: Register
    unregister: Register
    change_configuration: Callable[[], None]
    kinds: tuple[str, ...]  # empty: all
    store_disruptions: Disruptions
    # Of links and of customers, if the run has them.
    more_kinds: dict[str, Play]
    _busy: set[str] = attrs.field(factory=set)
    held: set[str] = attrs.field(factory=set)  # frozen until another resumes

    async def run(self, until_s: float) -> None:
        """Run all series until a time."""
        count = max(MIN_SERIES, len(self.gateways) // GATEWAYS_PER_SERIES)
        await asyncio.gather(*(self._series(until_s) for _ in range(count)))

    async def _series(self, until_s: float) -> None:
        kinds = {**self._kinds(), **self.more_kinds}
        names = self.kinds or (*KINDS, *self.more_kinds)
        while now_s() < until_s:
            await asyncio.sleep(self.rng.expovariate(1 / GAP_S))
            name = self.rng.choice(names)
            self.record.disruptions[name] += 1
            await kinds[name]()

    def _kinds(self) -> dict[str, Play]:
        return {
            'freeze': self._freeze,
            'freeze_briefly': self._freeze_briefly,
            'freeze_and_stop': self._freeze_and_stop,
            'kill': self._kill,
            'stop': self._stop,
            'reload': self._reload,
            'crash_server': self._crash_server,
            'reuse_address': self._reuse_address,
            'drain_server': self._drain_server,
            'store': self._disrupt_store,
            'configuration': self._change_configuration,
        }

    async def _freeze(self) -> None:
        await self._freeze_for(self.rng.random() * MAX_FREEZE_S)

    async def _freeze_briefly(self) -> None:
        for _ in range(BRIEF_FREEZES):
            await self._freeze_for(self.rng.random() * MAX_BRIEF_FREEZE_S)

    async def _freeze_for(self, seconds: float) -> None:
        gateway = self.rng.choice(self.gateways)
        if gateway.vm in self.held:
            return
        gateway.disruptions.add_trouble(now_s(), now_s() + seconds)
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)

    async def _freeze_and_stop(self) -> None:
        gateway = self._take_gateway()
        if gateway is None:
            return
        gateway.disruptions.add_trouble(now_s(), now_s() + 2 * GRACE_S)
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.random())
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(self.rng.random())
        gateway.send_signal(signal.SIGCONT)
        await self._start_again(gateway)

    async def _kill(self) -> None:
        gateway = self._take_gateway()
        if gateway is None:
            return
        gateway.disruptions.add_trouble(now_s(), now_s())
        gateway.send_signal(signal.SIGKILL)
        await self._start_again(gateway)

    async def _stop(self) -> None:
        gateway = self._take_gateway()
        if gateway is None:
            return
        gateway.send_signal(signal.SIGTERM)
        await self._start_again(gateway)

    async def _reload(self) -> None:
        self.rng.choice(self.gateways).send_signal(signal.SIGHUP)

    def _take_gateway(self) -> GatewayProcess | None:
        """Choose a gateway that no other series ends."""
        free = [one for one in self.gateways if one.vm not in self._busy]
        if len(free) <= len(self.gateways) // 2:
            return None
        gateway = self.rng.choice(free)
        self._busy.add(gateway.vm)
        return gateway

    async def _start_again(self, gateway: GatewayProcess) -> None:
        if not await gateway.wait_ended(GRACE_S):
            gateway.end()
        await asyncio.sleep(RESTART_DELAY_S)
        gateway.start()
        self._busy.discard(gateway.vm)

    async def _crash_server(self) -> None:
        server = self.rng.choice(self.servers)
        if server.name in self._busy:
            return
        self._busy.add(server.name)
        server.crash()
        await asyncio.sleep(self.rng.random())
        server.born += 1
        await server.start()
        self.register(server)
        self._busy.discard(server.name)

    async def _drain_server(self) -> None:
        """Let a server say that it leaves, serve on, end and start again."""
        server = self.rng.choice(self.servers)
        if server.name in self._busy:
            return
        self._busy.add(server.name)
        server.leaving_since_s = now_s()
        self.register(server)
        await asyncio.sleep(LEAVING_S)
        server.crash()
        self.unregister(server)
        await asyncio.sleep(REUSE_S)
        server.born += 1
        server.leaving_since_s = None
        await server.start()
        self.register(server)
        self._busy.discard(server.name)

    async def _reuse_address(self) -> None:
        """Let two servers of different services exchange their addresses."""
        one, other = self.rng.sample(self.servers, 2)
        if {one.name, other.name} & self._busy:
            return
        self._busy.update((one.name, other.name))
        for ended in (one, other):
            ended.crash()
            self.unregister(ended)
        await asyncio.sleep(REUSE_S)
        address = one.address
        one.address = other.address
        other.address = address
        for started in (one, other):
            started.born += 1
            await started.start()
            self.register(started)
        self._busy.difference_update((one.name, other.name))

    async def _disrupt_store(self) -> None:
        faults = self.store.faults
        outage_s = self.rng.random() * MAX_OUTAGE_S
        self.store_disruptions.add_trouble(now_s(), now_s() + outage_s)
        if self.rng.random() < HANG_SHARE:
            faults.hang = True
        else:
            faults.status = UNAVAILABLE
        await asyncio.sleep(outage_s)
        faults.hang = False
        faults.status = 0

    async def _change_configuration(self) -> None:
        self.change_configuration()
