"""A link to one peer: calls and heartbeats over an outgoing websocket."""

import asyncio
import logging
import time
from typing import Final

import websockets
from websockets.asyncio.client import ClientConnection, connect

from ..core.errors import WagtailforkError
from ..core.lifecycle import Lifecycle, Transition
from ..core.logs import log_event
from ..core.results import ResultCode
from .codec import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from .messages import Heartbeat, HeartbeatReply, Hello, HelloReply, Message

# Heartbeats are rarer between regions, where traffic is paid by volume.
CROSS_REGION_FACTOR: Final = 4
_RECONNECT_S: Final = 0.2
_OPEN_TIMEOUT_S: Final = 2.0

_logger = logging.getLogger(__name__)

_LIFECYCLE: Final = Lifecycle(
    ('down', 'up', 'closed'),
    (
        Transition('open', ('down', 'up'), 'up'),
        Transition('lose', ('up', 'down'), 'down'),
        Transition('close', ('up', 'down', 'closed'), 'closed'),
    ),
)


class PeerLink:
    """Keep one outgoing link to a peer open and send messages over it."""

    def __init__(
        self,
        address: str,
        hello: Hello,
        region: str,
        heartbeat_s: float,
        peer_timeout_s: float,
    ) -> None:
        """Configure a link to ``address``; ``run`` opens it."""
        self.address = address
        self.peer: HelloReply | None = None
        self.last_heartbeat: HeartbeatReply | None = None
        self.last_heartbeat_at = time.monotonic()
        self._hello = hello
        self._heartbeat_s = heartbeat_s
        self._region = region
        self._peer_timeout_s = peer_timeout_s
        self._conn: ClientConnection | None = None
        self._seq = 0
        self._outbox: list[Message] = []
        self._outbox_ready = asyncio.Event()
        self._pending_calls: dict[int, asyncio.Future[Message]] = {}
        self.state = _LIFECYCLE.initial

    @property
    def is_up(self) -> bool:
        """Return whether the link is open and the peer replied to ``Hello``."""
        return self.state == 'up'

    @property
    def is_cross_region(self) -> bool:
        """Return whether the peer is in another region."""
        return self.peer is not None and self.peer.region != self._region

    def heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval, which is longer across regions."""
        if self.is_cross_region:
            return self._heartbeat_s * CROSS_REGION_FACTOR
        return self._heartbeat_s

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message; return the reply or raise ``range_unreachable``."""
        conn = self._conn
        if conn is None:
            raise WagtailforkError(ResultCode.range_unreachable, self.address)
        self._seq += 1
        seq = self._seq
        fut = asyncio.get_running_loop().create_future()
        self._pending_calls[seq] = fut
        try:
            async with asyncio.timeout(timeout_s):
                await conn.send(encode_frame(Frame(seq, 0, message)))
                return await fut
        except (TimeoutError, websockets.WebSocketException, OSError) as exc:
            raise WagtailforkError(
                ResultCode.range_unreachable,
                f'{self.address}: {exc!r}',
            ) from exc
        finally:
            self._pending_calls.pop(seq, None)

    def send_one_way(self, message: Message) -> None:
        """Send a message without waiting for a reply; it may be lost."""
        self._outbox.append(message)
        self._outbox_ready.set()

    async def run(self) -> None:
        """Keep the link open and send heartbeats until cancelled."""
        try:
            while True:
                await self._run_session()
                await asyncio.sleep(_RECONNECT_S)
        finally:
            _LIFECYCLE.fire(self, 'close')

    async def _run_session(self) -> None:
        try:
            conn = await self._connect()
        except (TimeoutError, websockets.WebSocketException, OSError):
            return
        reader = asyncio.create_task(self._receive(conn))
        sender = asyncio.create_task(self._send_outbox(conn))
        try:
            await self._send_hello()
            await self._send_heartbeats()
        except WagtailforkError as exc:
            log_event(_logger, 'link_lost', peer=self.address, why=exc.detail)
        finally:
            self._conn = None
            _LIFECYCLE.fire(self, 'lose')
            reader.cancel()
            sender.cancel()
            self._outbox = []
            self._fail_pending_calls()
            # The peer may not respond: skip the closing handshake.
            conn.transport.abort()

    async def _connect(self) -> ClientConnection:
        conn = await connect(
            f'ws://{self.address}/',
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=_OPEN_TIMEOUT_S,
            ping_interval=None,
            proxy=None,
        )
        self._conn = conn
        return conn

    async def _send_hello(self) -> None:
        reply = await self.call(self._hello, self._peer_timeout_s)
        if not isinstance(reply, HelloReply):
            raise WagtailforkError(ResultCode.frame_unknown_type, repr(reply))
        self.peer = reply
        self.last_heartbeat_at = time.monotonic()
        _LIFECYCLE.fire(self, 'open')
        log_event(
            _logger,
            'link_up',
            peer=reply.vm,
            incarnation=reply.incarnation,
        )

    async def _send_heartbeats(self) -> None:
        while True:
            reply = await self.call(Heartbeat(), self._peer_timeout_s)
            if isinstance(reply, HeartbeatReply):
                self.last_heartbeat = reply
                self.last_heartbeat_at = time.monotonic()
            await asyncio.sleep(self.heartbeat_interval_s())

    async def _receive(self, conn: ClientConnection) -> None:
        try:
            async for raw in conn:
                frame = decode_frame(raw)
                fut = self._pending_calls.get(frame.reply_to)
                if fut is not None and not fut.done():
                    fut.set_result(frame.message)
        except (websockets.WebSocketException, OSError) as exc:
            log_event(_logger, 'link_read', peer=self.address, why=repr(exc))
        except WagtailforkError as exc:
            log_event(_logger, 'link_frame', peer=self.address, why=str(exc))
        self._fail_pending_calls()
        conn.transport.abort()

    async def _send_outbox(self, conn: ClientConnection) -> None:
        while True:
            await self._outbox_ready.wait()
            self._outbox_ready.clear()
            messages = self._outbox
            self._outbox = []
            try:
                for message in messages:
                    await conn.send(encode_frame(Frame(0, 0, message)))
            except (websockets.WebSocketException, OSError):
                return

    def _fail_pending_calls(self) -> None:
        for fut in self._pending_calls.values():
            if not fut.done():
                fut.set_exception(ConnectionError('link lost'))
        self._pending_calls = {}
