"""Time limits on idle connections and on heads that come slowly."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from ..core.clock import now_s
from .request import Limits

STEP_S: Final = 0.25  # resolution of the limits


class Watched(Protocol):
    """Name what is watched of a connection."""

    @property
    def reading(self) -> bool:
        """Tell whether a request is still arriving."""

    @property
    def reading_since_s(self) -> float | None:
        """Tell since when a head is being read."""

    @property
    def idle(self) -> bool:
        """Tell whether no request waits or arrives."""

    def expire(self) -> None:
        """End what took too long."""


class IdleWatch:
    """Check one connection now and then, without a timer for each byte."""

    def __init__(self, conn: Watched, limits: Callable[[], Limits]) -> None:
        """Prepare a watch that is started later."""
        self._conn = conn
        self._limits = limits
        self._active_at_s = now_s()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._wait_s(), self._check)

    def stop(self) -> None:
        """Watch no longer."""
        if self._timer is not None:
            self._timer.cancel()

    def note_activity(self) -> None:
        """Count idle time from now."""
        self._active_at_s = now_s()

    def _wait_s(self) -> float:
        limits = self._limits()
        if self._conn.reading:
            return STEP_S
        left_s = limits.idle_timeout_s - (now_s() - self._active_at_s)
        return max(STEP_S, min(left_s, limits.header_timeout_s))

    def _check(self) -> None:
        if self._is_over():
            self._conn.expire()
        self.start()

    def _is_over(self) -> bool:
        limits = self._limits()
        now = now_s()
        since_s = self._conn.reading_since_s
        if since_s is not None:
            return now - since_s > limits.header_timeout_s
        if not (self._conn.idle or self._conn.reading):
            return False
        return now - self._active_at_s > limits.idle_timeout_s
