"""Creation of key ranges and maintenance of their views."""

import asyncio
import logging
import random
import time
from typing import Final

import attrs

from ..control.follower import Follower
from ..control.publisher import Publisher
from ..control.views import View, ViewChange
from ..core.errors import WagtailforkError
from ..core.logs import log_event
from ..core.results import ResultCode
from ..core.structure import render_plain
from ..peers.link import PeerLink
from ..peers.mesh import Mesh
from .keys import format_prefix
from .register import ClaimRegister

_CHECK_PERIOD_S: Final = 0.25
_PUBLISH_TIMEOUT_S: Final = 5.0
_BACKUP_COUNT: Final = 2  # own ranges kept ready, each with its own backup
_MAX_HANDOVER_TARGETS: Final = 2
# No view is proposed to close a range while the log has been unavailable for
# longer than this.
_MAX_LOG_AGE_S: Final = 3.0
# Time after the start before a range is created without a backup.
_BACKUP_WAIT_S: Final = 2.0

_logger = logging.getLogger(__name__)


@attrs.frozen
class _OwnRange:
    range_id: str
    created_at: float


@attrs.define
class RangeManager:
    """Create ranges for this incarnation and propose views to the log.

    Two ranges with different backups are kept ready: while the log is
    unavailable no view can change, so the second range is used if the backup
    of the first is lost.
    """

    _register: ClaimRegister
    _follower: Follower
    _publisher: Publisher
    _mesh: Mesh
    _failure_domain: str
    _region: str
    _down_s: float
    _lifetime_s: float
    _created_count: int = 0
    _idle_since: dict[str, float] = attrs.field(factory=dict)
    _own_ranges: list[_OwnRange] = attrs.field(factory=list)
    _started_at: float = attrs.field(factory=time.monotonic)
    leaving: bool = False

    def current_key_prefix(self) -> str | None:
        """Return the key prefix to issue now, None without a usable range."""
        for own in self._own_ranges:
            if self._is_usable(own.range_id):
                slot = self._register.current_slot(own.range_id)
                return format_prefix(own.range_id, slot)
        return None

    async def run(self) -> None:
        """Check the ranges periodically until cancelled."""
        await self._follower.wait_ready()
        while True:
            await self.check()
            await asyncio.sleep(_CHECK_PERIOD_S)

    async def check(self) -> None:
        """Remove lost members from views, then renew and close own ranges."""
        views = dict(self._follower.state.views)
        for range_id, view in views.items():
            await self._remove_lost_members(range_id, view)
        if not self.leaving:
            await self._renew_own_ranges()
            await self._close_idle_range()

    async def leave(self) -> None:
        """Leave all views; hand over ranges that have no other member."""
        self.leaving = True
        for range_id, view in dict(self._follower.state.views).items():
            if self._register.incarnation not in view.members:
                continue
            others = tuple(
                name
                for name in view.members
                if name != self._register.incarnation
            )
            if others or self._register.is_empty(range_id):
                await self._propose(range_id, view.number, others)
            else:
                await self._hand_over_range(range_id, view)

    async def _hand_over_range(self, range_id: str, view: View) -> None:
        """Hand over a range without other members to up to two VMs."""
        targets: list[str] = []
        while len(targets) < _MAX_HANDOVER_TARGETS:
            target = self._choose_backup(set(targets))
            if target is None:
                break
            targets.append(target)
        recipients = await self._register.hand_over(range_id, targets)
        if recipients:
            await self._propose(
                range_id,
                view.number,
                tuple(recipients),
                handover=True,
            )

    async def _remove_lost_members(self, range_id: str, view: View) -> None:
        if self._register.incarnation not in view.members:
            return
        remaining = tuple(
            name for name in view.members if not self._is_lost(name)
        )
        if remaining != view.members:
            await self._propose(range_id, view.number, remaining)

    def _is_lost(self, incarnation: str) -> bool:
        if incarnation == self._register.incarnation:
            return False
        if self._mesh.by_incarnation(incarnation) is not None:
            return False
        now = time.monotonic()
        if now - self._started_at < self._down_s:
            return False
        for link in self._mesh.links():
            if link.peer is None or link.peer.incarnation != incarnation:
                continue
            return (
                now - link.last_heartbeat_at
                > self._down_s + link.heartbeat_interval_s()
            )
        return True

    async def _renew_own_ranges(self) -> None:
        min_created_at = time.monotonic() - self._lifetime_s
        ready = [
            own
            for own in self._own_ranges
            if own.created_at > min_created_at and self._is_usable(own.range_id)
        ]
        backups = {
            name for own in ready for name in self._backups(own.range_id)
        }
        # While the log is unavailable no range can be created, so an old
        # range stays until a newer one has the same backup.
        self._own_ranges = [
            own
            for own in self._own_ranges
            if own.created_at > min_created_at
            or not ready
            or self._backups(own.range_id) - backups
        ]
        backup = self._choose_backup(backups)
        if backup is not None and len(backups) < _BACKUP_COUNT:
            await self._create_range((self._register.incarnation, backup))
            return
        elapsed_s = time.monotonic() - self._started_at
        if not ready and backup is None and elapsed_s > _BACKUP_WAIT_S:
            await self._create_range((self._register.incarnation,))

    async def _close_idle_range(self) -> None:
        """Close one range whose keys have all expired.

        Otherwise the number of views would grow without bound, and each view
        takes a log record when a member is lost or leaves.
        """
        if self._follower.age_s() > _MAX_LOG_AGE_S:
            return
        now = time.monotonic()
        idle = self._idle_ranges()
        self._idle_since = {
            range_id: self._idle_since.get(range_id, now) for range_id in idle
        }
        for range_id, idle_since in self._idle_since.items():
            is_expired = now - idle_since > self._register.key_lifetime_s()
            if is_expired and self._register.is_empty(range_id):
                await self._propose(range_id, idle[range_id].number, ())
                return

    def _idle_ranges(self) -> dict[str, View]:
        """Return the ranges of this primary that no VM issues keys for."""
        issued = {own.range_id for own in self._own_ranges}
        own_incarnation = self._register.incarnation
        found: dict[str, View] = {}
        for range_id, view in self._follower.state.views.items():
            owner = range_id.partition('-')[0]
            is_issued = range_id in issued or owner in view.members[1:]
            if view.primary() == own_incarnation and not is_issued:
                found[range_id] = view
        return found

    def _backups(self, range_id: str) -> set[str]:
        view = self._follower.state.views.get(range_id)
        return set(view.members[1:]) if view else set()

    def _is_usable(self, range_id: str) -> bool:
        view = self._follower.state.views.get(range_id)
        if view is None or not self._register.is_member(range_id):
            return False
        others = view.members[1:]
        return not any(
            self._mesh.by_incarnation(name) is None or self._is_leaving(name)
            for name in others
        )

    def _is_leaving(self, incarnation: str) -> bool:
        link = self._mesh.by_incarnation(incarnation)
        if link is None or link.last_heartbeat is None:
            return False
        return link.last_heartbeat.phase != 'serving'

    async def _create_range(self, members: tuple[str, ...]) -> None:
        self._created_count += 1
        range_id = f'{self._register.incarnation}-{self._created_count}'
        if not await self._propose(range_id, 0, members):
            return
        own = _OwnRange(range_id, time.monotonic())
        # Ranges with a backup are preferred over those without.
        position = len(self._own_ranges) if len(members) == 1 else 0
        self._own_ranges.insert(position, own)

    def _choose_backup(self, excluded: set[str]) -> str | None:
        links = [link for link in self._mesh.up_links() if _is_serving(link)]
        random.shuffle(links)
        links.sort(key=self._distance)
        for link in links:
            if link.peer is not None and link.peer.incarnation not in excluded:
                return link.peer.incarnation
        return None

    def _distance(self, link: PeerLink) -> int:
        peer = link.peer
        if peer is None or peer.region != self._region:
            return 2
        return int(peer.failure_domain == self._failure_domain)

    async def _propose(
        self,
        range_id: str,
        previous: int,
        members: tuple[str, ...],
        *,
        handover: bool = False,
    ) -> bool:
        change = ViewChange(
            range_id=range_id,
            previous=previous,
            proposer=self._register.incarnation,
            members=members,
            handover=handover,
        )
        try:
            _offset, outcome = await self._publisher.publish(
                'view',
                render_plain(change),
                _PUBLISH_TIMEOUT_S,
            )
        except WagtailforkError:
            return False
        log_event(
            _logger,
            'view_change',
            range=range_id,
            members=','.join(members),
            result=outcome.code.name,
        )
        return outcome.code == ResultCode.ok


def _is_serving(link: PeerLink) -> bool:
    return (
        link.last_heartbeat is not None
        and link.last_heartbeat.phase == 'serving'
    )
