"""Servers that left or drain, remembered against older copies of the table."""

from collections.abc import Iterable
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.snapshots import Departure
from .model import BackendServer

KEPT_S: Final = 120.0  # a store is restored from a copy some seconds old
MAX_KEPT: Final = 1024  # 40 KB in a snapshot


@attrs.define
class _Entry:
    departure: Departure
    recorded_at_s: float


@attrs.define(eq=False)
class Departures:
    """Remember the last statement of each server that drains or left.

    >>> gone = Departures()
    >>> gone.merge([Departure('a', started_ms=5, sequence=9, draining=True)])
    >>> gone.get('a').sequence, gone.get('b')
    (9, None)
    """

    _entries: dict[str, _Entry] = attrs.field(factory=dict)

    def record(self, server: BackendServer) -> None:
        """Remember a server that drains or was removed."""
        departure = Departure(
            server.name,
            server.started_ms,
            server.sequence,
            draining=server.draining,
        )
        self._keep(departure)

    def merge(self, departures: Iterable[Departure]) -> None:
        """Remember those of another VM that are newer."""
        for one in departures:
            known = self.get(one.name)
            if known is None or _age_order(one) > _age_order(known):
                self._keep(one)

    def get(self, name: str) -> Departure | None:
        """Return what is remembered of a server."""
        entry = self._entries.get(name)
        return entry.departure if entry else None

    def forget(self, name: str) -> None:
        """Forget a server that is in use again."""
        self._entries.pop(name, None)

    def remove_expired(self, now: float) -> None:
        """Forget what is older than ``KEPT_S``."""
        while self._entries:
            name, oldest = next(iter(self._entries.items()))
            if now - oldest.recorded_at_s <= KEPT_S:
                return
            self._entries.pop(name)

    def rows(self) -> tuple[Departure, ...]:
        """Return all that is remembered."""
        return tuple(entry.departure for entry in self._entries.values())

    def _keep(self, departure: Departure) -> None:
        self._entries.pop(departure.name, None)
        self._entries[departure.name] = _Entry(departure, now_s())
        if len(self._entries) > MAX_KEPT:
            self._entries.pop(next(iter(self._entries)))


def is_superseded(
    found: BackendServer, known: Departure, *, settling: bool
) -> bool:
    """Return whether an entry is older than the departure of its server.

    A process that drained does not come back. Of other entries this can only
    be told while a restored store settles, as its log decides afterwards.
    """
    if found.draining:
        return False
    same_process = found.started_ms == known.started_ms
    if known.draining and same_process and found.started_ms:
        return True
    return settling and found.age_order <= _age_order(known)


def _age_order(departure: Departure) -> tuple[int, int]:
    return departure.started_ms, departure.sequence
