"""UDP transport between entry VMs."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from ..core.address import split_address
from ..core.errors import WagtailforkError
from ..core.logs import log_warning
from .messages import Message, decode, encode

_logger = logging.getLogger(__name__)


class Datagrams(asyncio.DatagramProtocol):
    """Send and receive messages; senders repeat what may be lost."""

    def __init__(self, receive: Callable[[Message], None]) -> None:
        """Set the callback for received messages."""
        self.sent_bytes = 0
        self._receive = receive
        self._transport: Any = None

    async def bind(self, address: str) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=split_address(address),
        )

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, raw: bytes, addr: Any) -> None:
        """Decode a message and pass it to the callback."""
        try:
            message = decode(raw)
        except WagtailforkError as exc:
            log_warning(_logger, 'datagram_unreadable', source=addr, error=exc)
            return
        self._receive(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors, as senders repeat their messages."""

    def send(self, message: Message, addresses: list[str]) -> None:
        """Send one message to several VMs."""
        if self._transport is None or not addresses:
            return
        raw = encode(message)
        for address in addresses:
            host, _, port = address.rpartition(':')
            self.sent_bytes += len(raw)
            self._transport.sendto(raw, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
