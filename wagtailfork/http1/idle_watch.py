"""Timeouts of caller connections: idle connections and slow requests."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from ..core.clock import now_s
from .request import Limits

MIN_CHECK_DELAY_S: Final = 0.25  # resolution of the timeouts


class MonitoredConnection(Protocol):
    """State and action of a connection subject to timeouts."""

    @property
    def receiving(self) -> bool:
        """Return whether a request is incomplete."""

    @property
    def head_started_s(self) -> float | None:
        """Return when the incomplete head began to arrive, if any."""

    @property
    def idle(self) -> bool:
        """Return whether no request is incomplete or in progress."""

    @property
    def unread_bytes(self) -> int:
        """Return what was written and has not been sent."""

    @property
    def sent_bytes(self) -> int:
        """Return what has been sent since the start."""

    def abort_unread(self) -> None:
        """Abort the connection of a caller that does not read."""

    def expire(self) -> None:
        """Close an idle connection or reject a stalled request."""


class TimeoutMonitor:
    """Check one connection periodically instead of at each received byte."""

    def __init__(
        self, conn: MonitoredConnection, limits: Callable[[], Limits]
    ) -> None:
        """Initialize a monitor that is not started yet."""
        self._conn = conn
        self._limits = limits
        self._last_activity_s = now_s()
        self._sent_bytes = 0
        self._sent_s = now_s()  # when that was seen first
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next check."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._check_delay_s(), self._check)

    def stop(self) -> None:
        """Cancel the next check."""
        if self._timer is not None:
            self._timer.cancel()

    def record_activity(self) -> None:
        """Restart the idle timeout."""
        self._last_activity_s = now_s()

    def _check_delay_s(self) -> float:
        limits = self._limits()
        if self._conn.receiving:
            return MIN_CHECK_DELAY_S
        left_s = limits.idle_timeout_s - (now_s() - self._last_activity_s)
        return max(MIN_CHECK_DELAY_S, min(left_s, limits.header_timeout_s))

    def _check(self) -> None:
        if self._is_unread():
            self._conn.abort_unread()
            return
        if self._is_expired():
            self._conn.expire()
        self.start()

    def _is_unread(self) -> bool:
        """Return whether the caller has long taken nothing of a response."""
        sent_bytes = self._conn.sent_bytes
        if sent_bytes != self._sent_bytes or not self._conn.unread_bytes:
            self._sent_bytes = sent_bytes
            self._sent_s = now_s()
            return False
        active_s = max(self._sent_s, self._last_activity_s)
        return now_s() - active_s > self._limits().idle_timeout_s

    def _is_expired(self) -> bool:
        limits = self._limits()
        now = now_s()
        started_s = self._conn.head_started_s
        if started_s is not None:
            return now - started_s > limits.header_timeout_s
        if not (self._conn.idle or self._conn.receiving):
            return False
        return now - self._last_activity_s > limits.idle_timeout_s
