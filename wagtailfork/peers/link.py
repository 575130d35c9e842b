"""The link to one peer: calls out over a websocket that is watched."""

import asyncio
import logging
import time
from typing import Final

import websockets
from websockets.asyncio.client import ClientConnection, connect

from ..core.errors import WagtailforkError
from ..core.lifecycle import Lifecycle, Step
from ..core.logs import log_event
from ..core.results import ResultCode
from .codec import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from .messages import Heartbeat, HeartbeatReply, Hello, HelloReply, Message

FAR_FACTOR: Final = 4  # the link between regions is paid by volume
_RECONNECT_S: Final = 0.2
_OPEN_TIMEOUT_S: Final = 2.0

_logger = logging.getLogger(__name__)

_LIFECYCLE: Final = Lifecycle(
    ('down', 'up', 'closed'),
    (
        Step('open', ('down', 'up'), 'up'),
        Step('lose', ('up', 'down'), 'down'),
        Step('close', ('up', 'down', 'closed'), 'closed'),
    ),
)


class PeerLink:
    """Keep one outgoing link to a peer and call it."""

    def __init__(
        self,
        address: str,
        hello: Hello,
        region: str,
        heartbeat_s: float,
        down_s: float,
    ) -> None:
        """Prepare a link to ``address``; ``run`` keeps it open."""
        self.address = address
        self.peer: HelloReply | None = None
        self.seen: HeartbeatReply | None = None
        self.seen_at = time.monotonic()
        self._hello = hello
        self._heartbeat_s = heartbeat_s
        self._region = region
        self._down_s = down_s
        self._conn: ClientConnection | None = None
        self._seq = 0
        self._outbox: list[Message] = []
        self._has_mail = asyncio.Event()
        self._waiting: dict[int, asyncio.Future[Message]] = {}
        self.state = _LIFECYCLE.initial

    @property
    def is_up(self) -> bool:
        """Tell whether the peer answers."""
        return self.state == 'up'

    @property
    def is_far(self) -> bool:
        """Tell whether the peer is in another region."""
        return self.peer is not None and self.peer.region != self._region

    def period_s(self) -> float:
        """Give the time between heartbeats, longer to another region."""
        if self.is_far:
            return self._heartbeat_s * FAR_FACTOR
        return self._heartbeat_s

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and give the reply, or raise ``range_unreachable``."""
        conn = self._conn
        if conn is None:
            raise WagtailforkError(ResultCode.range_unreachable, self.address)
        self._seq += 1
        seq = self._seq
        fut = asyncio.get_running_loop().create_future()
        self._waiting[seq] = fut
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
            self._waiting.pop(seq, None)

    def cast(self, message: Message) -> None:
        """Send a message without waiting for a reply; it may be lost."""
        self._outbox.append(message)
        self._has_mail.set()

    async def run(self) -> None:
        """Keep the link open, beating, until cancelled."""
        try:
            while True:
                await self._session()
                await asyncio.sleep(_RECONNECT_S)
        finally:
            _LIFECYCLE.fire(self, 'close')

    async def _session(self) -> None:
        try:
            conn = await self._open()
        except (TimeoutError, websockets.WebSocketException, OSError):
            return
        reader = asyncio.create_task(self._read(conn))
        poster = asyncio.create_task(self._post(conn))
        try:
            await self._greet()
            await self._beat()
        except WagtailforkError as exc:
            log_event(_logger, 'link_lost', peer=self.address, why=exc.detail)
        finally:
            self._conn = None
            _LIFECYCLE.fire(self, 'lose')
            reader.cancel()
            poster.cancel()
            self._outbox = []
            self._fail_waiting()
            # The peer may be silent: don't wait for its closing handshake.
            conn.transport.abort()

    async def _open(self) -> ClientConnection:
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

    async def _greet(self) -> None:
        reply = await self.call(self._hello, self._down_s)
        if not isinstance(reply, HelloReply):
            raise WagtailforkError(ResultCode.frame_unknown_type, repr(reply))
        self.peer = reply
        self.seen_at = time.monotonic()
        _LIFECYCLE.fire(self, 'open')
        log_event(
            _logger,
            'link_up',
            peer=reply.vm,
            incarnation=reply.incarnation,
        )

    async def _beat(self) -> None:
        while True:
            reply = await self.call(Heartbeat(), self._down_s)
            if isinstance(reply, HeartbeatReply):
                self.seen = reply
                self.seen_at = time.monotonic()
            await asyncio.sleep(self.period_s())

    async def _read(self, conn: ClientConnection) -> None:
        try:
            async for raw in conn:
                frame = decode_frame(raw)
                fut = self._waiting.get(frame.reply_to)
                if fut is not None and not fut.done():
                    fut.set_result(frame.message)
        except (websockets.WebSocketException, OSError) as exc:
            log_event(_logger, 'link_read', peer=self.address, why=repr(exc))
        except WagtailforkError as exc:
            log_event(_logger, 'link_frame', peer=self.address, why=str(exc))
        self._fail_waiting()
        conn.transport.abort()

    async def _post(self, conn: ClientConnection) -> None:
        while True:
            await self._has_mail.wait()
            self._has_mail.clear()
            messages = self._outbox
            self._outbox = []
            try:
                for message in messages:
                    await conn.send(encode_frame(Frame(0, 0, message)))
            except (websockets.WebSocketException, OSError):
                return

    def _fail_waiting(self) -> None:
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(ConnectionError('link lost'))
        self._waiting = {}
