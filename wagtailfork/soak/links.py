"""Links of loopback before listening addresses: delay, bandwidth, faults."""

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Final, cast

import attrs

from ..tests.rig_tools import free_port
from .flow import Flow, Lane, Mark

HOST: Final = '127.0.0.1'
# So that senders wait for the link and not for the kernel.
SOCKET_BYTES: Final = 65536
PIECE_BYTES: Final = 16384
_BACKLOG: Final = 1024  # of connections
_MS: Final = 1000
_NO_LINGER: Final = struct.pack('ii', 1, 0)
_ROUND_TRIP: Final = 2  # one-way delays; a new connection takes one


def _make_socket() -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    return sock


def _reset(transport: asyncio.Transport | None) -> None:
    if transport is None:
        return
    sock = transport.get_extra_info('socket')
    with contextlib.suppress(OSError):  # it has ended already
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


@attrs.define(eq=False)
class _End(asyncio.BufferedProtocol):
    """Read one end of a connection in pieces that interleave."""

    outgoing: Flow  # what is read here
    incoming: Flow  # what is written here
    changed: Callable[[], None]
    _buffer: bytearray = attrs.field(factory=lambda: bytearray(PIECE_BYTES))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect both flows to the transport."""
        opened = cast(asyncio.Transport, transport)
        self.outgoing.source = opened
        self.incoming.sink = opened
        self.incoming.pass_on()

    def get_buffer(self, sizehint: int) -> bytearray:  # noqa: WPS615
        """Return where the next piece goes."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Send a piece on its way."""
        self.outgoing.take(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool:
        """Pass on that nothing more comes; the other direction stays."""
        self.outgoing.take_mark(Mark.END)
        return not self.outgoing.silent

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on how the connection ended."""
        self.outgoing.take_mark(Mark.END if exc is None else Mark.RESET)
        self.changed()

    def pause_writing(self) -> None:
        """Hold back what the reader doesn't take."""
        self.incoming.blocked = True

    def resume_writing(self) -> None:
        """Go on."""
        self.incoming.blocked = False
        self.incoming.pass_on()


@attrs.define(eq=False)
class _Connection:
    """Carry one connection over a link."""

    link: 'Link'
    up: Flow = attrs.field(init=False)
    down: Flow = attrs.field(init=False)
    _ended: set[Flow] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Open both directions after the round trip of a new connection."""
        now = asyncio.get_running_loop().time()
        opened_s = now + _ROUND_TRIP * self.link.up.delay_s
        self.up = Flow(
            lane=self.link.up,
            opened_s=opened_s,
            ended=lambda mark: self._end(self.up, mark),
        )
        self.down = Flow(
            lane=self.link.down,
            opened_s=now,
            ended=lambda mark: self._end(self.down, mark),
        )

    def near_end(self) -> _End:
        """Return the protocol of the end that connected."""
        return _End(self.up, self.down, self._forget_if_over)

    async def connect(self) -> None:
        """Connect to the address behind the link."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.up.lane.delay_s)
        while self.up.lane.cut_until_s > loop.time():
            await asyncio.sleep(self.up.lane.cut_until_s - loop.time())
        if self.up.silent:
            return
        sock = _make_socket()
        try:
            await loop.sock_connect(sock, self.link.target)
            await loop.create_connection(self._far_end, sock=sock)
        except OSError:
            sock.close()
            self.link.played['refused'] += 1
            self.down.take_mark(Mark.RESET)

    def silence(self) -> None:
        """Pass on nothing any more, not even an end."""
        self.up.silent = True
        self.down.silent = True

    def reset(self) -> None:
        """Reset both ends."""
        for flow in (self.up, self.down):
            _reset(flow.source)
            flow.close()
        self.link.connections.discard(self)

    def _far_end(self) -> _End:
        return _End(self.down, self.up, self._forget_if_over)

    def _end(self, flow: Flow, mark: Mark) -> None:
        self._ended.add(flow)
        if mark is Mark.RESET:
            self.reset()
            return
        if len(self._ended) == 2:
            self._close()
            return
        try:
            self._write_end(flow)
        except OSError:  # the other end was reset, which nobody reads any more
            self.reset()

    def _write_end(self, flow: Flow) -> None:
        if flow.sink is not None and not flow.sink.is_closing():
            flow.sink.write_eof()

    def _close(self) -> None:
        for flow in (self.up, self.down):
            flow.close()
            if flow.source is not None:
                flow.source.close()
        self.link.connections.discard(self)

    def _forget_if_over(self) -> None:
        """Forget a silent connection that both ends have closed."""
        ends = (self.up.source, self.down.source)
        if all(end is None or end.is_closing() for end in ends):
            if self.up.silent:
                self.reset()


@attrs.define(eq=False, kw_only=True)
class Link:
    """Relay the connections to one address."""

    target: tuple[str, int]
    up: Lane
    down: Lane
    played: Counter[str]
    address: str = attrs.field(factory=lambda: f'{HOST}:{free_port()}')
    connections: set[_Connection] = attrs.field(factory=set)
    _server: asyncio.Server | None = None
    _connecting: 'set[asyncio.Task[None]]' = attrs.field(factory=set)

    async def open(self) -> None:
        """Listen on the address of the link."""
        sock = _make_socket()
        host, _, port = self.address.rpartition(':')
        sock.bind((host, int(port)))
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, sock=sock, backlog=_BACKLOG
        )

    def silence(self) -> None:
        """Silence all open connections for good; new ones work."""
        self.played['silenced'] += len(self.connections)
        for conn in self.connections:
            conn.silence()

    def reset(self) -> None:
        """Reset all open connections."""
        self.played['reset'] += len(self.connections)
        for conn in list(self.connections):
            conn.reset()

    def cut(self, lane: Lane, seconds: float) -> None:
        """Hold back all that goes one way, for a time."""
        lane.cut_until_s = asyncio.get_running_loop().time() + seconds
        self.played['cut_ms'] += round(seconds * _MS)

    def close(self) -> None:
        """End all connections and stop listening."""
        for task in self._connecting:
            task.cancel()
        for conn in list(self.connections):
            conn.reset()
        if self._server is not None:
            self._server.close()

    def _accept(self) -> _End:
        conn = _Connection(self)
        self.connections.add(conn)
        self.played['connections'] += 1
        task = asyncio.ensure_future(conn.connect())
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return conn.near_end()


@attrs.define(eq=False, kw_only=True)
class Links:
    """Hold the link before each address; without figures there is none."""

    delay_s: float = 0
    mbps: float = 0
    played: Counter[str] = attrs.field(factory=Counter)
    _by_target: dict[str, Link] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        """Return whether connections go over links."""
        return bool(self.delay_s or self.mbps)

    async def open(self, address: str) -> None:
        """Put a link before an address."""
        if not self:
            return
        host, _, port = address.rpartition(':')
        link = Link(
            target=(host, int(port)),
            up=self._make_lane(),
            down=self._make_lane(),
            played=self.played,
        )
        await link.open()
        self._by_target[address] = link

    def before(self, address: str) -> Link:
        """Return the link before an address."""
        return self._by_target[address]

    def reach(self, address: str) -> str:
        """Return the address at which others reach an address."""
        link = self._by_target.get(address)
        return address if link is None else link.address

    def close(self) -> None:
        """Close all links."""
        for link in self._by_target.values():
            link.close()

    def _make_lane(self) -> Lane:
        return Lane(delay_s=self.delay_s, mbps=self.mbps, played=self.played)
