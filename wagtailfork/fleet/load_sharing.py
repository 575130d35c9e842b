"""Batched load reports of backend servers for other VMs."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..routing.load import LoadReport, ServerLoad
from .load_rows import LoadRow
from .messages import LoadUpdate

BATCH_DELAY_S: Final = 0.008  # short next to a request; batches bursts
MAX_DATAGRAM_ROWS: Final = 24  # per datagram, to stay below 1,200 bytes
_MS: Final = 1000

Send = Callable[[LoadUpdate], None]


@attrs.define(eq=False)
class LoadBatcher:
    """Collect load changes and send them in batches."""

    sender: str
    send: Send
    _pending: dict[str, ServerLoad] = attrs.field(factory=dict)
    _silent: set[str] = attrs.field(factory=set)
    _timer: asyncio.TimerHandle | None = None

    def record_change(
        self, server: str, load: ServerLoad, *, silent: bool = False
    ) -> None:
        """Schedule the load of a server to be sent with the next batch."""
        self._pending[server] = load
        if silent:
            self._silent.add(server)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        now = now_s()
        rows = [
            make_row(name, load, now, silent=name in self._silent)
            for name, load in self._pending.items()
        ]
        self._pending.clear()
        self._silent.clear()
        for start in range(0, len(rows), MAX_DATAGRAM_ROWS):
            part = rows[start : start + MAX_DATAGRAM_ROWS]
            self.send(LoadUpdate(self.sender, False, part))


def make_row(
    name: str,
    load: ServerLoad,
    now: float,
    *,
    silent: bool = False,
) -> LoadRow:
    """Return the row for one server, with the age of its report at ``now``."""
    report = load.report
    if report is None or silent:
        return LoadRow(server=name, in_flight=load.own_in_flight, silent=silent)
    return LoadRow(
        server=name,
        in_flight=load.own_in_flight,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        slowness=report.slowness,
        age_ms=round((now - report.at_s) * _MS),
    )


def parse_report(row: LoadRow, now: float) -> LoadReport | None:
    """Return the load report of a row, if any, dated by its age."""
    if row.age_ms < 0:
        return None
    return LoadReport(
        row.running,
        row.waiting,
        row.slots,
        row.slowness,
        now - row.age_ms / _MS,
    )
