"""Client protocol that takes no reset for the end of a response."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler


class StrictHandler(ResponseHandler):
    """Complete a response without a length only at a trustworthy end.

    The client completes it at any loss of the connection. A server that does
    not read the whole request resets the connection when it closes it, and an
    end of the stream that arrives before the reset looks like a proper one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize the state of an unconnected protocol."""
        super().__init__(loop)
        # Whether a part of the request was not passed to the transport.
        self.is_sending: Callable[[], bool] | None = None
        self._ended_early = False

    def eof_received(self) -> None:
        """Abort the connection if the request is not written completely."""
        super().eof_received()
        transport = self.transport
        if transport is None:
            return
        sending = self.is_sending is not None and self.is_sending()
        if sending or transport.get_write_buffer_size():
            self._ended_early = True
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is not complete."""
        payload: Any = self._payload
        broken = exc is not None or self._ended_early
        if broken and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f'cut short: {exc!r}'))
            # Its parser would complete a response without a length.
            self._parser = None
        super().connection_lost(exc)
