"""Find the other VMs of the fleet through the list in the store."""

import asyncio
import logging
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_fault
from ..fleet.members import Membership
from .adapter import Source
from .fleet_link import FleetLink

RETRY_S: Final = 0.5  # while the list cannot be written or read
RELIST_S: Final = 5.0  # while no other VM is heard

_logger = logging.getLogger(__name__)


@attrs.define(eq=False, kw_only=True)
class Discovery:
    """List this VM once, and greet those that are listed."""

    source: Source
    link: FleetLink
    membership: Membership
    _listed: bool = False

    async def run(self) -> None:
        """Discover for good."""
        while True:
            try:
                await self._step()
            except WagtailforkError as exc:
                log_fault(_logger, 'discovery_failed', error=exc)
                await asyncio.sleep(RETRY_S)
            else:
                await asyncio.sleep(RELIST_S)

    async def _step(self) -> None:
        if not self._listed:
            await self.source.list_me(self.membership.me)
            self._listed = True
            await self._greet()
            await asyncio.sleep(RETRY_S)
        if self.membership.count(now_s()) == 1:
            await self._greet()

    async def _greet(self) -> None:
        self.link.introduce(await self.source.list_vms())
