"""VMs that fetch snapshots from each other, each behind a narrow link."""

import asyncio
import functools
import hashlib
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Final
from unittest import mock

import attrs

from ...core.clock import now_s
from ...fleet.member import Member
from ...fleet.members import HEARTBEAT_PERIOD_S, Membership
from ...fleet.position import START, Position
from ...fleet.telling import JOIN_OTHER_DOMAIN
from ...http1.request import Limits
from ...http1.server import CallerServer
from ...platform.documents import decode_configuration, decode_server
from ...standin.documents import make_route
from ...tests.relay import Relay
from ..heartbeats import RELAY_FANOUT
from ..side_handlers import PeerHandler
from ..snapshot_fetcher import SnapshotFetcher
from ..view import View
from .rig import free_address, make_config

ROUTES: Final = 1400
SENDERS: Final = 4  # to which each VM sends its heartbeats
STEP_S: Final = 0.01
_SEED: Final = 51


@functools.cache
def _decode(raw: bytes) -> Any:
    """Decode a document once for all VMs, which share one processor here."""
    return decode_configuration(raw)


@functools.cache
def make_large_config(version: int) -> bytes:
    """Return 1,400 routes that take some 60 KB packed; one route changes."""
    routes = {}
    for number in range(ROUTES):
        name = hashlib.sha256(b'%d' % number).hexdigest()
        routes[f'r{number}'] = make_route(pathPrefix=f'/{name}/')
    routes['changed'] = make_route(pathPrefix=f'/{version}/')
    return make_config(version, **routes)


@attrs.define(eq=False)
class Peer:
    """Hold what one VM has, serves and fetches."""

    membership: Membership
    view: View
    link: Relay
    fetcher: SnapshotFetcher
    handler: PeerHandler
    server: CallerServer

    def row(self) -> Member:
        """Return the row that its heartbeats carry."""
        self.membership.advance(
            edition=self.view.edition, position=max(START, self.view.position)
        )
        return self.membership.me


@attrs.define(eq=False)
class PeerScene:
    """Run VMs that tell each other what they have."""

    peers: list[Peer] = attrs.field(factory=list)
    _random: random.Random = attrs.field(factory=lambda: random.Random(_SEED))
    _tasks: list['asyncio.Task[Any]'] = attrs.field(factory=list)

    async def start(
        self, count: int, bytes_per_s: float = 0, domains: str = 'a'
    ) -> None:
        """Start VMs whose links carry so much in both directions together.

        Each letter is a failure domain, whose VMs know each other.
        """
        for domain in domains:
            for _ in range(count):
                await self._add(bytes_per_s, domain)
        for one in self.peers:
            rows = [peer.row() for peer in self.near(one)]
            one.membership.merge(list(rows), now_s())
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    def join(self, started: Iterable[Peer]) -> None:
        """Let VMs that start hear from some of each other domain."""
        for one in started:
            near = self.near(one)
            far = [peer for peer in self.peers if peer not in near]
            for sender in self._random.sample(far, JOIN_OTHER_DOMAIN):
                self._tell(sender, [one])

    def near(self, peer: Peer) -> list[Peer]:
        """Return the VMs of a failure domain."""
        domain = peer.membership.me.failure_domain
        return [
            one
            for one in self.peers
            if one.membership.me.failure_domain == domain
        ]

    def put(self, version: int) -> None:
        """Let the first VM read the store, and tell its domain."""
        first = self.peers[0]
        first.view.offer_configuration(make_large_config(version), 1, 'store')
        first.view.replace_servers({}, Position(1, version), 'store')
        self._tell(first, self.near(first))

    async def until_all_have(self, version: int, limit_s: float) -> None:
        """Wait for a version; raise ``TimeoutError`` after ``limit_s``."""
        async with asyncio.timeout(limit_s):
            while any(one.view.version != version for one in self.peers):
                await asyncio.sleep(STEP_S)

    def bytes_sent(self) -> int:
        """Return the bytes that all links have carried."""
        return sum(one.link.bytes_relayed for one in self.peers)

    async def stop(self) -> None:
        """End all VMs."""
        for task in self._tasks:
            task.cancel()
        for one in self.peers:
            one.server.stop_listening()
            await one.link.close()
            for conn in list(one.server.connections):
                conn.abort()

    async def _add(self, bytes_per_s: float, domain: str) -> None:
        view = View(_decode, decode_server)
        handler = PeerHandler(view, mock.Mock())
        server = CallerServer(handler.handle, Limits)
        host, _, port = free_address().rpartition(':')
        await server.listen(host, int(port))
        link = Relay(int(port))
        await link.start()
        link.bytes_per_s = bytes_per_s
        me = Member(
            address=f'127.0.0.1:{link.port}',
            caller_address='127.0.0.1:1',
            failure_domain=domain,
            region=domain,
            incarnation=1,
        )
        membership = Membership(me)
        fetcher = SnapshotFetcher(membership, view)
        peer = Peer(membership, view, link, fetcher, handler, server)
        view.on_change = functools.partial(self._relay, peer)
        self.peers.append(peer)

    def _relay(self, peer: Peer, source: str) -> None:
        if source != 'store':
            near = self.near(peer)
            self._tell(peer, self._random.sample(near, RELAY_FANOUT))

    def _tell(self, sender: Peer, receivers: Iterable[Peer]) -> None:
        row = sender.row()
        for one in receivers:
            one.membership.merge([row], now_s())
            one.fetcher.fetch_if_newer(row)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            for one in self.peers:
                near = self._random.sample(self.near(one), SENDERS)
                self._tell(one, [*near, self._random.choice(self.peers)])


def run_peers(scenario: Callable[[PeerScene], Awaitable[None]]) -> None:
    """Run a scenario on a scene of its own."""

    async def run_with_scene() -> None:
        scene = PeerScene()
        try:
            await scenario(scene)
        finally:
            await scene.stop()

    asyncio.run(run_with_scene())
