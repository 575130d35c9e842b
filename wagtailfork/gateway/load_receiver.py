"""Apply the loads of backend servers that other VMs report."""

import attrs

from ..core.clock import now_s
from ..fleet.load_rows import LoadRow
from ..fleet.load_sharing import parse_report
from ..fleet.members import Membership
from ..fleet.messages import LoadUpdate
from ..http1.pool import ConnectionPool
from ..routing.candidate import Candidate
from .backend_registry import BackendRegistry


@attrs.define(eq=False, kw_only=True)
class LoadReceiver:
    """Apply load rows to candidates and dispatch waiting requests."""

    membership: Membership
    backends: BackendRegistry
    pool: ConnectionPool

    def apply_update(self, message: LoadUpdate) -> None:
        """Apply one message."""
        now = now_s()
        touched = set()
        neighbour = self.membership.is_neighbour(message.sender)
        for row in message.rows:
            candidate = self.backends.candidate(row.server)
            if candidate is None:
                continue
            if neighbour:
                load = candidate.load
                load.record_neighbour(message.sender, row.in_flight, now)
            touched.add(self._apply_report(row, candidate, now))
        for service in touched:
            self.backends.queue(service).schedule_dispatch()

    def _apply_report(
        self,
        row: LoadRow,
        candidate: Candidate,
        now: float,
    ) -> str:
        load = candidate.load
        server = self.backends.server(row.server)
        report = parse_report(row, now)
        if report is not None:
            load.record_report(report)
        if row.silent:
            load.eject(now)
            self.pool.drop(candidate.address)
        elif report is not None and load.ejected_until_s > now:
            load.readmit()
        return server.service if server else ''
