"""Take the folded state from a peer while the log can't give it."""

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

_CHECK_S: Final = 0.5
_STALE_S: Final = 3.0
_CALL_TIMEOUT_S: Final = 5.0


@attrs.define
class Bootstrap:
    """Ask a peer that is further on, while the log is away or has a gap."""

    _follower: Follower
    _mesh: Mesh

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S)
            if self._needs_help():
                await self.ask()

    async def ask(self) -> bool:
        """Ask one peer that is further on and adopt what it sends."""
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

    def _needs_help(self) -> bool:
        if not self._follower.ready or self._follower.reader.in_gap:
            return True
        return self._follower.age_s() > _STALE_S

    def _is_ahead(self, link: PeerLink) -> bool:
        return link.seen is not None and link.seen.offset > self._offset()

    def _offset(self) -> int:
        # A VM that knows nothing takes even an empty state from a peer.
        return self._follower.state.offset if self._follower.ready else -2
