"""Fetch newer configuration and servers from other VMs."""

import asyncio
import logging
from typing import Any

import attrs

from ..core.errors import WagtailforkError
from ..core.logs import log_event, log_warning
from ..fleet.member import MemberRow
from ..fleet.position import START
from ..fleet.snapshots import SnapshotQuery, Transfer, fetch_snapshot
from .view import View

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class SnapshotFetcher:
    """Fetch snapshots from the senders of heartbeats, one at a time.

    Only direct senders are asked: VMs that they merely report may be
    unreachable from here, and the senders fetch from those.
    """

    me: str
    view: View
    fetching: bool = False
    _tasks: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    def fetch_if_newer(self, sender: MemberRow) -> None:
        """Start a fetch from a VM that has a newer edition or position."""
        if self.fetching or not self._is_ahead(sender):
            return
        self.fetching = True
        task = asyncio.create_task(self._fetch(sender.address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_ahead(self, member: MemberRow) -> bool:
        if member.address == self.me:
            return False
        if self.view.evacuations.is_behind(member.evacuations):
            return True
        return member.edition > self.view.edition or member.position > max(
            START, self.view.position
        )

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
