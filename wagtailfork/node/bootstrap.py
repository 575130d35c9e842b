"""Fetch the control state from a peer while the log is unavailable."""

import asyncio
import random
from typing import Final

import attrs

from ..control.follower import Follower
from ..control.snapshots import load_state
from ..core.errors import WagtailforkError
from ..peers.link import PeerLink
from ..peers.mesh import Mesh
from ..peers.messages import StateReply, StateRequest

_CHECK_INTERVAL_S: Final = 0.5
_MAX_LOG_AGE_S: Final = 3.0
_CALL_TIMEOUT_S: Final = 5.0


@attrs.define
class Bootstrap:
    """Adopt a peer's newer state while the log is unavailable or has a gap."""

    _follower: Follower
    _mesh: Mesh

    async def run(self) -> None:
        """Check at intervals whether state is needed, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._needs_state():
                await self.fetch_state()

    async def fetch_state(self) -> bool:
        """Fetch a newer state from a peer; return whether it was adopted."""
        links = [link for link in self._mesh.up_links() if self._is_ahead(link)]
        if not links:
            return False
        link = random.choice(links)
        offset = self._offset()
        try:
            reply = await link.call(
                StateRequest(offset=offset),
                _CALL_TIMEOUT_S,
            )
            if not isinstance(reply, StateReply) or reply.state is None:
                return False
            return self._follower.adopt(load_state(reply.state))
        except WagtailforkError:
            return False

    def _needs_state(self) -> bool:
        if not self._follower.ready or self._follower.in_gap:
            return True
        return self._follower.age_s() > _MAX_LOG_AGE_S

    def _is_ahead(self, link: PeerLink) -> bool:
        return (
            link.last_heartbeat is not None
            and link.last_heartbeat.offset > self._offset()
        )

    def _offset(self) -> int:
        # -2 is below the -1 of an empty log: a VM that is not ready adopts even
        # the state of an empty log.
        return self._follower.state.offset if self._follower.ready else -2
