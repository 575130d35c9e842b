"""Discover the other VMs of the fleet through the list in the store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..fleet.member import Member, rendezvous
from ..fleet.members import MEMBER_EXPIRY_S, Membership
from .adapter import Source
from .fleet_link import FleetLink

RETRY_DELAY_S: Final = 0.5  # while the list cannot be read or written
POLL_INTERVAL_S: Final = 5.0  # the list is read while no other VM is alive
# For removing expired entries, which reads the whole list. With 750 VMs of
# 100 bytes each, this costs one VM of each domain 250 bytes/s.
PRUNE_INTERVAL_S: Final = 300.0
# When the whole fleet starts: all VMs start within 0.3 s of each other.
FIRST_LIST_DELAY_S: Final = 0.4
FIRST_LIST_SPREAD_S: Final = 0.8
_KEY: Final = 'vm-list'

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class Discovery:
    """Register this VM, contact registered VMs and remove expired ones."""

    source: Source
    link: FleetLink
    membership: Membership
    era: Callable[[], int]  # of the store
    first_start: bool = False  # of the whole fleet
    started_s: float = attrs.field(factory=now_s)
    listed: bool = False  # whether the list was read, or others were heard
    _registered: bool = False
    _checked_era: int = 0  # in which the list is known to be complete
    _pruned_s: float = attrs.field(factory=now_s)

    async def run(self) -> None:
        """Discover other VMs periodically, without end."""
        while True:
            try:
                await self._step()
            except WagtailforkError as exc:
                log_warning(_logger, 'discovery_failed', error=exc)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def prune(self, now: float) -> None:
        """Complete the list for this failure domain; remove expired VMs.

        5,000 VMs are replaced per day; their entries would accumulate. An
        entry is missing if the store was restored, or if another VM removed it
        during a long network partition.
        """
        listed = await self.source.list_vms()
        addresses = {one.address for one in listed}
        domain = self.membership.me.failure_domain
        for running in self.membership.in_domain(domain, now):
            if running.address not in addresses:
                await self.source.register_vm(running)
                log_event(_logger, 'vm_listed_again', peer=running.address)
        for member in listed:
            if self._is_expired(member, now):
                await self.source.deregister_vm(member.address)
                log_event(_logger, 'vm_unlisted', peer=member.address)

    async def _step(self) -> None:
        if not self._registered:
            await self.source.register_vm(self.membership.me)
            self._registered = True
            self._checked_era = self.source.usage.era
            await self._contact_first()
            await asyncio.sleep(RETRY_DELAY_S)
        now = now_s()
        if self.membership.count(now) == 1:
            await self._contact_listed()
        if self._is_due(now) and self._is_pruner(now):
            era = self.era()
            await self.prune(now)
            self._pruned_s = now
            self._checked_era = era

    def _is_due(self, now: float) -> bool:
        """Return whether the list may have changed without this VM."""
        restored = self.era() > self._checked_era
        return restored or now - self._pruned_s > PRUNE_INTERVAL_S

    async def _contact_first(self) -> None:
        """Contact the registered VMs, unless one of them was faster.

        If all VMs start at once, those that read the list late contact the
        others, which need not read it.
        """
        if self.first_start:
            delay_s = random.uniform(0, FIRST_LIST_SPREAD_S)  # noqa: S311
            await asyncio.sleep(FIRST_LIST_DELAY_S + delay_s)
            if self.membership.count(now_s()) > 1:
                self.listed = True
                return
        await self._contact_listed()

    async def _contact_listed(self) -> None:
        listed = await self.source.list_vms()
        self.link.heartbeats.request_heartbeats(listed)
        self.listed = True

    def _is_pruner(self, now: float) -> bool:
        me = self.membership.me
        local = self.membership.in_domain(me.failure_domain, now)
        return rendezvous(_KEY, [one.address for one in local]) == me.address

    def _is_expired(self, member: Member, now: float) -> bool:
        """Return whether a VM has sent nothing for ``MEMBER_EXPIRY_S``.

        For a VM that never sent anything, the time counts from this VM's start.
        """
        if member.failure_domain != self.membership.me.failure_domain:
            return False
        if self.membership.is_neighbour(member.address):
            return False
        last_update_s = self.membership.last_update_or_zero_s(member.address)
        return now - max(last_update_s, self.started_s) > MEMBER_EXPIRY_S
