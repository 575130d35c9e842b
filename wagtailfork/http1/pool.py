"""Pool of idle connections to backend servers."""

import functools
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from .backend import BackendConnection, connect

DEFAULT_IDLE_LIMIT_S: Final = 4.0  # below the idle limit of common servers, 5 s
KEEP_ALIVE_FRACTION: Final = 0.7  # of the server's limit; avoids close races
ONCE_IDLE_LIMIT_S: Final = 4.0  # initially; reduced after losses
# About the gap between requests of a busy VM.
MIN_ONCE_IDLE_LIMIT_S: Final = 0.25
MAX_IDLE_PER_ADDRESS: Final = 8


def _keep_most(_address: str) -> int:
    return MAX_IDLE_PER_ADDRESS


@attrs.define(eq=False)
class ConnectionPool:
    """Keep idle connections by address; close them before servers do."""

    # Called with the address of a server that ended a connection.
    on_lost: Callable[[str], None] | None = None
    # How many idle connections to an address may be kept.
    max_idle: Callable[[str], int] = _keep_most
    opened_count: int = 0
    # Connections replaced, as none that was idle could carry the request.
    repeated_ids: int = 0
    once_idle_limit_s: float = ONCE_IDLE_LIMIT_S
    _idle: dict[str, list[BackendConnection]] = attrs.field(factory=dict)

    def take_idle(
        self, address: str, *, once: bool, request_id: str | None = None
    ) -> BackendConnection | None:
        """Return the connection used last that may carry the request.

        One that has carried its id makes room for the connection that will be
        opened, so that an id that is used again costs no further connections.
        """
        idle = self._idle.get(address, [])
        _close_unusable(idle)
        for conn in reversed(idle):
            if once and now_s() - conn.idle_since > self.once_idle_limit_s:
                return None
            if conn.carried.may_carry(request_id):
                idle.remove(conn)
                return conn
        if idle:
            self.repeated_ids += 1
            idle.pop().close()
        return None

    def has_open(self, address: str) -> bool:
        """Return whether an idle connection to an address is open."""
        return any(conn.reusable for conn in self._idle.get(address, []))

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection is kept, maybe an expired one."""
        return bool(self._idle.get(address))

    async def acquire(
        self,
        address: str,
        *,
        once: bool,
        timeout_s: float,
        request_id: str | None = None,
    ) -> BackendConnection:
        """Return an idle or new connection, or raise ``RequestNotSent``."""
        conn = self.take_idle(address, once=once, request_id=request_id)
        if conn is not None:
            return conn
        host, _, port = address.rpartition(':')
        self.opened_count += 1
        conn = await connect(host, int(port), timeout_s)
        if self.on_lost is not None:
            conn.on_lost = functools.partial(self.on_lost, address)
        return conn

    def release(self, address: str, conn: BackendConnection) -> float:
        """Keep a reusable connection for another request, else close it.

        Return the time until which it may be reused, 0 if closed.
        """
        idle = self._idle.setdefault(address, [])
        wanted = len(idle) < self.max_idle(address) and not conn.carried.full
        if wanted and conn.reusable:
            idle.append(conn)
            return now_s() + _idle_limit_s(conn, DEFAULT_IDLE_LIMIT_S)
        conn.close()
        return 0

    def record_idle_loss(self, conn: BackendConnection) -> None:
        """Reduce ``once_idle_limit_s`` after a reused connection was lost.

        A server may close idle connections earlier than it announces. A
        request that may run only once cannot be retried after such a loss.
        """
        if conn.idle_duration_s > MIN_ONCE_IDLE_LIMIT_S:
            shortened_s = max(MIN_ONCE_IDLE_LIMIT_S, conn.idle_duration_s / 2)
            self.once_idle_limit_s = min(self.once_idle_limit_s, shortened_s)

    def drop(self, address: str) -> None:
        """Close all idle connections to an address."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def sweep(self) -> None:
        """Close idle connections that are past their limit."""
        for address, idle in tuple(self._idle.items()):
            _close_unusable(idle)
            if not idle:
                self._idle.pop(address)


def _close_unusable(idle: list[BackendConnection]) -> None:
    for conn in tuple(idle):
        if conn.reusable and not _is_expired(conn, DEFAULT_IDLE_LIMIT_S):
            continue
        idle.remove(conn)
        conn.close()


def _idle_limit_s(conn: BackendConnection, default_s: float) -> float:
    if conn.keep_alive_s is not None:
        return conn.keep_alive_s * KEEP_ALIVE_FRACTION
    return default_s


def _is_expired(conn: BackendConnection, default_s: float) -> bool:
    return now_s() - conn.idle_since > _idle_limit_s(conn, default_s)
