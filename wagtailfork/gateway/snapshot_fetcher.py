"""Fetch newer configuration and servers from other VMs."""

import asyncio
import logging
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..fleet.member import Member, MemberRow, rendezvous_rank
from ..fleet.members import Membership
from ..fleet.position import START
from ..fleet.snapshots import SnapshotQuery, Transfer, fetch_snapshot
from .view import View

# For a neighbour to fetch the whole and to tell of it. The number of VMs of a
# domain that ask another domain doubles with each step.
FAR_STEP_S: Final = 0.3
# For a neighbour that has it already, but may be unreachable from here.
NEIGHBOUR_WAIT_S: Final = 2.0
_KEY: Final = 'whole-snapshot'

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class SnapshotFetcher:
    """Fetch snapshots from the senders of heartbeats, one at a time.

    Only direct senders are asked: VMs that they merely report may be
    unreachable from here, and the senders fetch from those. What is whole
    comes from another failure domain once, and spreads within this one.
    """

    membership: Membership
    view: View
    fetching: bool = False
    _far_since_s: float | None = None  # since another domain could be asked
    _tasks: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    def fetch_if_newer(self, sender: MemberRow) -> None:
        """Start a fetch from a VM that has a newer edition or position."""
        if self.fetching or not self._is_ahead(sender):
            return
        if not self._may_ask(sender):
            return
        self.fetching = True
        task = asyncio.create_task(self._fetch(sender.address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_ahead(self, member: MemberRow) -> bool:
        if member.address == self.membership.me.address:
            return False
        if self.view.evacuations.is_behind(member.evacuations):
            return True
        return self._has_newer(member)

    def _has_newer(self, member: MemberRow) -> bool:
        return member.edition > self.view.edition or member.position > max(
            START, self.view.position
        )

    def _may_ask(self, sender: MemberRow) -> bool:
        """Return whether the sender is near, or this VM's rank is due."""
        if self.view.complete and not self.view.wants_whole:
            # What is newer is small.
            self._far_since_s = None
            return True
        if self._is_near(sender):
            return True
        now = now_s()
        if self._far_since_s is None:
            self._far_since_s = now
        return now - self._far_since_s >= self._far_delay_s()

    def _is_near(self, sender: MemberRow) -> bool:
        near = self.membership.me.failure_domain
        if isinstance(sender, Member):
            return sender.failure_domain == near
        neighbours = self.membership.neighbours()
        return any(one.address == sender.address for one in neighbours)

    def _far_delay_s(self) -> float:
        neighbours = self.membership.neighbours()
        if any(self._has_newer(one) for one in neighbours):
            return NEIGHBOUR_WAIT_S
        addresses = [one.address for one in neighbours]
        me = self.membership.me.address
        rank = rendezvous_rank(_KEY, me, addresses)
        return rank.bit_length() * FAR_STEP_S

    async def _fetch(self, address: str) -> None:
        transfer = Transfer()
        query = SnapshotQuery(
            self.view.edition,
            self.view.position,
            deltas=not self.view.wants_whole,
        )
        try:
            snapshot = await fetch_snapshot(address, query, transfer)
            self.view.merge(snapshot, address)
        except WagtailforkError as exc:
            log_warning(
                _logger,
                'snapshot_failed',
                peer=address,
                error=exc,
                **transfer.describe(),
            )
        else:
            log_event(
                _logger,
                'snapshot_merged',
                peer=address,
                configuration=snapshot.form,
                **transfer.describe(),
            )
        finally:
            self.fetching = False
