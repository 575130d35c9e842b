"""Links to every peer of the live list, and the server for theirs."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import attrs
import websockets
from websockets import CloseCode
from websockets.asyncio.server import ServerConnection, serve

from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_fault
from ..core.results import ResultCode
from .codec import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from .link import PeerLink
from .messages import Ack, Hello, Message

Handler = Callable[[Message], Awaitable[Message]]
CastHandler = Callable[[str, Message], None]  # from which incarnation

_CLOSE_TIMEOUT_S: Final = 1.0

_logger = logging.getLogger(__name__)


@attrs.define
class Mesh:
    """Hold one link out to each peer and serve the peers' links in."""

    _hello: Hello
    _region: str
    _heartbeat_s: float
    _down_s: float
    _links: dict[str, PeerLink] = attrs.field(factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _handling: set[asyncio.Task[None]] = attrs.field(factory=set)

    def links(self) -> tuple[PeerLink, ...]:
        """Give all links."""
        return tuple(self._links.values())

    def up_links(self) -> tuple[PeerLink, ...]:
        """Give the links whose peer answers."""
        return tuple(link for link in self._links.values() if link.is_up)

    def by_incarnation(self, incarnation: str) -> PeerLink | None:
        """Find the link that is up to one incarnation."""
        for link in self._links.values():
            if not link.is_up or link.peer is None:
                continue
            if link.peer.incarnation == incarnation:
                return link
        return None

    def by_address(self, address: str) -> PeerLink | None:
        """Find the link to an address if it is up."""
        link = self._links.get(address)
        return link if link is not None and link.is_up else None

    def reconcile(self, addresses: Iterable[str]) -> None:
        """Open links to new addresses and drop those no longer named."""
        wanted = set(addresses)
        for address in wanted - set(self._links):
            link = PeerLink(
                address,
                self._hello,
                self._region,
                self._heartbeat_s,
                self._down_s,
            )
            self._links[address] = link
            self._tasks[address] = asyncio.create_task(
                link.run(),
            )
        for address in set(self._links) - wanted:
            self._links.pop(address)
            self._tasks.pop(address).cancel()

    async def broadcast(
        self,
        message: Message,
        timeout_s: float,
        *,
        far: bool = True,
    ) -> int:
        """Send to every peer that is up and count the replies.

        Peers of other regions are left out where ``far`` is false.
        """
        links = [link for link in self.up_links() if far or not link.is_far]
        calls = [link.call(message, timeout_s) for link in links]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return sum(isinstance(reply, Ack) for reply in replies)

    async def serve(
        self,
        sock: socket.socket,
        handler: Handler,
        on_cast: CastHandler,
    ) -> None:
        """Answer the peers' messages until cancelled."""

        async def accept(conn: ServerConnection) -> None:  # noqa: WPS430
            await self._answer(conn, handler, on_cast)

        server = await serve(
            accept,
            sock=sock,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            close_timeout=_CLOSE_TIMEOUT_S,
        )
        async with server:
            await server.serve_forever()

    async def _answer(
        self,
        conn: ServerConnection,
        handler: Handler,
        on_cast: CastHandler,
    ) -> None:
        sender = ''
        try:
            async for raw in conn:
                frame = decode_frame(raw)
                if not frame.seq:
                    on_cast(sender, frame.message)
                    continue
                if isinstance(frame.message, Hello):
                    sender = frame.message.incarnation
                task = asyncio.create_task(self._reply(conn, frame, handler))
                self._handling.add(task)
                task.add_done_callback(self._handling.discard)
        except WagtailforkError as exc:
            # One broken frame ends this connection only; nothing was applied.
            log_fault(_logger, 'peer_frame', code=int(exc.code), why=exc.detail)
            await conn.close(
                code=CloseCode.PROTOCOL_ERROR, reason=f'code={exc.code.value}'
            )
        except (websockets.WebSocketException, OSError) as exc:
            log_event(_logger, 'peer_gone', why=repr(exc))

    async def _reply(
        self,
        conn: ServerConnection,
        frame: Frame,
        handler: Handler,
    ) -> None:
        try:
            reply = await handler(frame.message)
        except WagtailforkError as exc:
            reply = Ack(code=int(exc.code))
        except Exception as exc:
            log_fault(_logger, 'peer_handler', error=repr(exc))
            reply = Ack(code=int(ResultCode.bad_request))
        try:
            await conn.send(encode_frame(Frame(0, frame.seq, reply)))
        except (websockets.WebSocketException, OSError):
            return
