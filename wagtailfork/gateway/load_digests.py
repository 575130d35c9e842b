"""Tell other failure domains how busy this one's backend servers are.

Only domains whose VMs share loads know it; VMs of larger ones ask a server
just before they send.
"""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.load_sharing import ROWS, render_row
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..fleet.messages import LoadRow, Loads
from .fleet_link import FleetLink
from .backend_registry import Topology, BackendRegistry

NEAR_INTERVAL_S: Final = 0.25  # between reports to the region's other domains
FAR_INTERVAL_S: Final = 1.0  # to other regions, whose trips take 60 ms
_KEY: Final = 'speaker'


@attrs.define(eq=False, kw_only=True)
class LoadDigests:
    """Let one VM of the domain speak to one VM of each other domain."""

    membership: Membership
    backends: BackendRegistry
    topology: Topology
    link: FleetLink

    async def run(self) -> None:
        """Tell for good."""
        rounds = round(FAR_INTERVAL_S / NEAR_INTERVAL_S)
        turn = 0
        while True:
            await asyncio.sleep(NEAR_INTERVAL_S)
            turn += 1
            self._send_digest(far=turn % rounds == 0)

    def _send_digest(self, *, far: bool) -> None:
        now = now_s()
        me = self.membership.me
        here = self.membership.in_domain(me.failure_domain, now)
        if not self.link.shares_loads:
            return
        if rendezvous(_KEY, [one.address for one in here]) != me.address:
            return
        rows = self._rows(me.failure_domain, now)
        recipients = self._remote_recipients(now, far=far)
        for start in range(0, len(rows), ROWS):
            part = rows[start : start + ROWS]
            self.link.send(Loads(me.address, True, part), recipients)

    def _rows(self, domain: str, now: float) -> list[LoadRow]:
        rows = []
        for server, candidate in self.backends.candidates():
            report = candidate.load.report
            if server.failure_domain != domain or report is None:
                continue
            if now - report.at_s < FAR_INTERVAL_S:
                rows.append(render_row(server.name, candidate.load, now))
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
