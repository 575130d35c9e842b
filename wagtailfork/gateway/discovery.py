"""Find the other VMs of the fleet through the list in the store."""

import asyncio
import logging
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_fault
from ..fleet.member import Member, rendezvous
from ..fleet.members import FORGET_S, Membership
from .adapter import Source
from .fleet_link import FleetLink

RETRY_DELAY_S: Final = 0.5  # while the list cannot be written or read
POLL_INTERVAL_S: Final = (
    5.0  # between looks at the list while no other VM is heard
)
# Between looks at the whole list. At 750 VMs of 100 bytes each, a look by one
# VM of each domain costs 250 bytes/s there.
PRUNE_INTERVAL_S: Final = 300.0
_KEY: Final = 'vm-list'

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class Discovery:
    """List this VM, greet those that are listed, and drop the long silent."""

    source: Source
    link: FleetLink
    membership: Membership
    started_s: float = attrs.field(factory=now_s)
    _registered: bool = False
    _pruned_s: float = attrs.field(factory=now_s)

    async def run(self) -> None:
        """Discover for good."""
        while True:
            try:
                await self._step()
            except WagtailforkError as exc:
                log_fault(_logger, 'discovery_failed', error=exc)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def prune(self, now: float) -> None:
        """Take VMs of the own domain off the list that are silent for good.

        5,000 VMs are replaced a day; their entries would pile up.
        """
        listed = await self.source.list_vms()
        me = self.membership.me
        if me.address not in {one.address for one in listed}:
            # Another VM took this one for dead, after a long cut.
            await self.source.list_me(me)
        for member in listed:
            if self._is_expired(member, now):
                await self.source.unlist(member.address)
                log_event(_logger, 'vm_unlisted', peer=member.address)

    async def _step(self) -> None:
        if not self._registered:
            await self.source.list_me(self.membership.me)
            self._registered = True
            await self._send_greetings()
            await asyncio.sleep(RETRY_DELAY_S)
        now = now_s()
        if self.membership.count(now) == 1:
            await self._send_greetings()
        if now - self._pruned_s > PRUNE_INTERVAL_S and self._is_pruner(now):
            self._pruned_s = now
            await self.prune(now)

    async def _send_greetings(self) -> None:
        listed = await self.source.list_vms()
        self.link.heartbeats.greet(listed)

    def _is_pruner(self, now: float) -> bool:
        me = self.membership.me
        here = self.membership.in_domain(me.failure_domain, now)
        return rendezvous(_KEY, [one.address for one in here]) == me.address

    def _is_expired(self, member: Member, now: float) -> bool:
        """Tell whether a VM was silent for as long as it takes to forget it.

        A VM that was never heard counts from this VM's start.
        """
        if member.failure_domain != self.membership.me.failure_domain:
            return False
        if self.membership.is_neighbour(member.address):
            return False
        silent_since_s = self.membership.silent_since_s(member.address)
        return now - max(silent_since_s, self.started_s) > FORGET_S
