"""Watch a server through its connections until its process ends."""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.backend import BackendConnection, connect
from ..http1.pool import ConnectionPool
from ..http1.responses import ConnectionRefused, RequestNotSent

CHECK_DELAY_S: Final = 0.05  # time for a crashed process to release its socket
CONNECT_TIMEOUT_S: Final = 0.4  # six round trips between regions
INTERVAL_S: Final = 0.5  # between two checks after losses


async def reach(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S
) -> BackendConnection | None:
    """Connect to a server; return None if that takes too long.

    Its queue may be full then, or the way to it be cut. Raise
    ``ConnectionRefused`` if nothing listens there.
    """
    host, _, port = address.rpartition(':')
    try:
        return await connect(host, int(port), timeout_s)
    except ConnectionRefused:
        raise
    except RequestNotSent:
        return None


@attrs.define(eq=False)
class ServerWatch:
    """Tell whether a server has ended.

    An idle connection of the pool is lost when the process ends. The watch
    opens one only if there is none, or to check the server after a loss.
    """

    pool: ConnectionPool
    address: str
    _conn: BackendConnection | None = None
    _lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    _checked_s: float = 0

    def record_lost(self) -> None:
        """Record that the server ended a connection."""
        self._lost.set()

    def close(self) -> None:
        """Close the connection of the watch."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def has_ended(self, limit_s: float) -> bool:
        """Wait for a loss at most so long; return whether the server ended."""
        limit_s = max(0, min(INTERVAL_S, limit_s))
        if not self._is_connected():
            if await self._is_refused():
                return True
            await asyncio.sleep(0 if self._is_connected() else limit_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._lost.wait()
        except TimeoutError:
            return False
        self._lost.clear()
        pause_s = max(CHECK_DELAY_S, self._checked_s + INTERVAL_S - now_s())
        await asyncio.sleep(pause_s)
        self._checked_s = now_s()
        return await self._is_refused()

    def _is_connected(self) -> bool:
        own = self._conn is not None and self._conn.reusable
        return own or self.pool.has_open(self.address)

    async def _is_refused(self) -> bool:
        self.close()
        try:
            self._conn = await reach(self.address)
        except ConnectionRefused:
            return True
        if self._conn is not None:
            self._conn.on_lost = self.record_lost
        return False
