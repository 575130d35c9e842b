"""Links to all listed peers, and the server for the peers' links."""

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
from ..core.logs import log_event, log_warning
from ..core.results import ResultCode
from .codec import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from .link import PeerLink
from .messages import Ack, Hello, Message

Handler = Callable[[Message], Awaitable[Message]]
OneWayHandler = Callable[[str, Message], None]  # sender's incarnation, message

_CLOSE_TIMEOUT_S: Final = 1.0

_logger = logging.getLogger(__name__)


@attrs.define
class Mesh:
    """Keep an outgoing link to each peer and serve incoming links."""

    _hello: Hello
    _region: str
    _heartbeat_s: float
    _peer_timeout_s: float
    _links: dict[str, PeerLink] = attrs.field(factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _handler_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def links(self) -> tuple[PeerLink, ...]:
        """Return all outgoing links."""
        return tuple(self._links.values())

    def up_links(self) -> tuple[PeerLink, ...]:
        """Return the outgoing links that are up."""
        return tuple(link for link in self._links.values() if link.is_up)

    def by_incarnation(self, incarnation: str) -> PeerLink | None:
        """Return the link to an incarnation if it is up, else None."""
        for link in self._links.values():
            if not link.is_up or link.peer is None:
                continue
            if link.peer.incarnation == incarnation:
                return link
        return None

    def by_address(self, address: str) -> PeerLink | None:
        """Return the link to an address if it is up, else None."""
        link = self._links.get(address)
        return link if link is not None and link.is_up else None

    def reconcile(self, addresses: Iterable[str]) -> None:
        """Open links to new addresses and close links to removed ones."""
        wanted = set(addresses)
        for address in wanted - set(self._links):
            link = PeerLink(
                address,
                self._hello,
                self._region,
                self._heartbeat_s,
                self._peer_timeout_s,
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
        include_other_regions: bool = True,
    ) -> int:
        """Send a message to all peers that are up; count the ``Ack`` replies.

        Peers in other regions get it if ``include_other_regions`` is true.
        """
        links = [
            link
            for link in self.up_links()
            if include_other_regions or not link.is_cross_region
        ]
        calls = [link.call(message, timeout_s) for link in links]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return sum(isinstance(reply, Ack) for reply in replies)

    async def serve(
        self,
        sock: socket.socket,
        handler: Handler,
        on_one_way: OneWayHandler,
    ) -> None:
        """Serve incoming links until cancelled."""

        async def accept(conn: ServerConnection) -> None:  # noqa: WPS430
            await self._serve_connection(conn, handler, on_one_way)

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

    async def _serve_connection(
        self,
        conn: ServerConnection,
        handler: Handler,
        on_one_way: OneWayHandler,
    ) -> None:
        sender = ''
        try:
            async for raw in conn:
                frame = decode_frame(raw)
                if not frame.seq:
                    on_one_way(sender, frame.message)
                    continue
                if isinstance(frame.message, Hello):
                    sender = frame.message.incarnation
                task = asyncio.create_task(
                    self._send_reply(conn, frame, handler)
                )
                self._handler_tasks.add(task)
                task.add_done_callback(self._handler_tasks.discard)
        except WagtailforkError as exc:
            # A malformed frame is not applied and closes only its connection.
            log_warning(
                _logger, 'peer_frame', code=int(exc.code), why=exc.detail
            )
            await conn.close(
                code=CloseCode.PROTOCOL_ERROR, reason=f'code={exc.code.value}'
            )
        except (websockets.WebSocketException, OSError) as exc:
            log_event(_logger, 'peer_gone', why=repr(exc))

    async def _send_reply(
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
            log_warning(_logger, 'peer_handler', error=repr(exc))
            reply = Ack(code=int(ResultCode.bad_request))
        try:
            await conn.send(encode_frame(Frame(0, frame.seq, reply)))
        except (websockets.WebSocketException, OSError):
            return
