"""HTTP server for the connections of callers."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from .caller import CallerConnection
from .read_ahead import ReadAhead
from .request import CallerRequest, Limits
from .unread import UnreadTotal

Handler = Callable[[CallerRequest], Awaitable[None]]


async def _respond_rejected(req: CallerRequest) -> None:
    req.respond(req.rejected_with or HTTPStatus.BAD_REQUEST, [])


def _overlap_none(_req: CallerRequest) -> bool:
    return False


class CallerServer:
    """Accept and track the connections to one listening address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        may_overlap: Callable[[CallerRequest], bool] = _overlap_none,
        reject: Handler = _respond_rejected,
    ) -> None:
        """Initialize a server that does not listen yet.

        Pipelined requests for which ``may_overlap`` holds run side by side.
        Those that cannot be read are responded to by ``reject``.
        """
        self.handler = handler
        self.reject = reject
        self.may_overlap = may_overlap
        self.limits = limits
        self.draining = False
        self.read_ahead = ReadAhead()
        self.unread = UnreadTotal()
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=1024,
        )

    def port(self) -> int:
        """Return the listening port, 0 before ``listen``."""
        if self._server is None:
            return 0
        number: int = self._server.sockets[0].getsockname()[1]
        return number

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def busy(self) -> int:
        """Count connections with a request or unsent bytes of a response."""
        return sum(1 for conn in self.connections if not conn.finished)
