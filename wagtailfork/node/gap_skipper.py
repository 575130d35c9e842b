"""Continue after records that retention removed before any VM read them."""

import asyncio
import logging
import time
from typing import Final

import attrs

from ..control.follower import Follower
from ..control.publisher import Publisher
from ..control.snapshots import snapshot_body
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..peers.mesh import Mesh
from .vm_list import ListedVm, VmListFollower

_CHECK_INTERVAL_S: Final = 0.5
_PUBLISH_TIMEOUT_S: Final = 2.0

_logger = logging.getLogger(__name__)


@attrs.define
class GapSkipper:
    """Append a snapshot that covers a gap which no VM can fill.

    Only the first VM of the list does, while every listed VM is up and none
    is ahead, so that no record which a VM has folded is lost.
    """

    _vm: str
    _follower: Follower
    _publisher: Publisher
    _mesh: Mesh
    _vm_list: VmListFollower
    # Longer than a peer's read from before the gap, and its next heartbeat.
    _wait_s: float

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        since = time.monotonic()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if not self.may_skip():
                since = time.monotonic()
                continue
            if time.monotonic() - since > self._wait_s:
                await self._skip()

    def may_skip(self) -> bool:
        """Return whether this VM should skip a gap."""
        follower = self._follower
        if not follower.ready or not follower.in_gap:
            return False
        listed = self._vm_list.listing.entries()
        first = min((vm.name for vm in listed), default='')
        if first != self._vm:
            return False
        return not any(
            self._may_be_ahead(vm) for vm in listed if vm.name != self._vm
        )

    def _may_be_ahead(self, vm: ListedVm) -> bool:
        link = self._mesh.by_address(vm.peer_address)
        if link is None or link.last_heartbeat is None:
            return True
        return link.last_heartbeat.offset > self._follower.state.offset

    async def _skip(self) -> None:
        state = self._follower.state
        last_lost = self._follower.first_retained() - 1
        body = snapshot_body(attrs.evolve(state, offset=last_lost))
        try:
            await self._publisher.publish('snapshot', body, _PUBLISH_TIMEOUT_S)
        except WagtailforkError as exc:
            log_warning(_logger, 'gap_not_skipped', error=exc.detail)
            return
        log_event(
            _logger, 'gap_skipped', first=state.offset + 1, last=last_lost
        )
