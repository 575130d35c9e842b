"""Send load reports of this failure domain's servers to other domains.

Only domains small enough for their VMs to share loads have these reports; in
larger domains a server is probed just before each send.
"""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.load_rows import LoadRow
from ..fleet.load_sharing import MAX_DATAGRAM_ROWS, make_row
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..fleet.messages import LoadUpdate
from .backend_registry import BackendRegistry, Topology
from .fleet_link import FleetLink

NEAR_INTERVAL_S: Final = 0.25  # to other domains of the region
FAR_INTERVAL_S: Final = 1.0  # to other regions, with round trips of 60 ms
_KEY: Final = 'speaker'


@attrs.define(eq=False, kw_only=True)
class LoadDigests:
    """Send load reports from one VM of this domain to one of each other."""

    membership: Membership
    backends: BackendRegistry
    topology: Topology
    link: FleetLink

    async def run(self) -> None:
        """Send load reports periodically, without end."""
        rounds = round(FAR_INTERVAL_S / NEAR_INTERVAL_S)
        turn = 0
        while True:
            await asyncio.sleep(NEAR_INTERVAL_S)
            turn += 1
            self._send_digest(far=turn % rounds == 0)

    def _send_digest(self, *, far: bool) -> None:
        now = now_s()
        me = self.membership.me
        local = self.membership.in_domain(me.failure_domain, now)
        if not self.link.shares_loads:
            return
        if rendezvous(_KEY, [one.address for one in local]) != me.address:
            return
        rows = self._rows(me.failure_domain, now)
        recipients = self._remote_recipients(now, far=far)
        for start in range(0, len(rows), MAX_DATAGRAM_ROWS):
            part = rows[start : start + MAX_DATAGRAM_ROWS]
            self.link.send(LoadUpdate(me.address, True, part), recipients)

    def _rows(self, domain: str, now: float) -> list[LoadRow]:
        rows = []
        for server, candidate in self.backends.candidates():
            report = candidate.load.report
            if server.failure_domain != domain or report is None:
                continue
            if now - report.at_s < FAR_INTERVAL_S:
                rows.append(make_row(server.name, candidate.load, now))
        return rows

    def _remote_recipients(self, now: float, *, far: bool) -> list[str]:
        recipients = []
        for domain, addresses in self.membership.other_domains(now).items():
            if not far and not self.topology.is_near(domain):
                continue
            recipient = rendezvous(_KEY, addresses)
            if recipient is not None:
                recipients.append(recipient)
        return recipients
