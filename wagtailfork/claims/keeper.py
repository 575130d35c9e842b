"""Keep this VM's own key range fresh and shrink views past lost members."""

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
from .register import Register

_CHECK_S: Final = 0.25
_PUBLISH_WAIT_S: Final = 5.0
_RANGES_WANTED: Final = 2  # with different backups
_HEIRS: Final = 2
_STALE_S: Final = 3.0  # without the log, after which no view is proposed
_ALONE_WAIT_S: Final = 2.0  # before settling for a range with no backup

_logger = logging.getLogger(__name__)


@attrs.frozen
class _OwnRange:
    range_id: str
    made_at: float


@attrs.define
class RangeKeeper:
    """Create ranges for this incarnation and change views through the log.

    Two ranges with different backups are kept ready: while the log is away
    no view can change, and the second serves when the first's backup is lost.
    """

    _register: Register
    _follower: Follower
    _publisher: Publisher
    _mesh: Mesh
    _failure_domain: str
    _region: str
    _down_s: float
    _lifetime_s: float
    _made: int = 0
    _idle_since: dict[str, float] = attrs.field(factory=dict)
    _own: list[_OwnRange] = attrs.field(factory=list)
    _started_at: float = attrs.field(factory=time.monotonic)
    leaving: bool = False

    def prefix(self) -> str | None:
        """Give the key prefix to issue now, None while no range can decide."""
        for own in self._own:
            if self._is_usable(own.range_id):
                slot = self._register.current_slot(own.range_id)
                return format_prefix(own.range_id, slot)
        return None

    async def run(self) -> None:
        """Check the ranges at intervals until cancelled."""
        await self._follower.wait_ready()
        while True:
            await self.check()
            await asyncio.sleep(_CHECK_S)

    async def check(self) -> None:
        """Shrink views past lost members, then renew this VM's own range."""
        views = dict(self._follower.state.views)
        for range_id, view in views.items():
            await self._shrink(range_id, view)
        if not self.leaving:
            await self._renew()
            await self._retire()

    async def leave(self) -> None:
        """Hand every range over to its other members."""
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
                await self._hand_over(range_id, view)

    async def _hand_over(self, range_id: str, view: View) -> None:
        """Leave a range that nobody else holds to two other VMs."""
        targets: list[str] = []
        while len(targets) < _HEIRS:
            heir = self._choose_backup(set(targets))
            if heir is None:
                break
            targets.append(heir)
        heirs = await self._register.hand_over(range_id, targets)
        if heirs:
            await self._propose(
                range_id,
                view.number,
                tuple(heirs),
                handover=True,
            )

    async def _shrink(self, range_id: str, view: View) -> None:
        if self._register.incarnation not in view.members:
            return
        alive = tuple(name for name in view.members if not self._is_lost(name))
        if alive != view.members:
            await self._propose(range_id, view.number, alive)

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
            return now - link.seen_at > self._down_s + link.period_s()
        return True

    async def _renew(self) -> None:
        oldest = time.monotonic() - self._lifetime_s
        ready = [
            own
            for own in self._own
            if own.made_at > oldest and self._is_usable(own.range_id)
        ]
        backups = {
            name for own in ready for name in self._backups(own.range_id)
        }
        # While the log is away nothing replaces a range, however old, so it
        # stays until a newer one has its backup.
        self._own = [
            own
            for own in self._own
            if own.made_at > oldest
            or not ready
            or self._backups(own.range_id) - backups
        ]
        backup = self._choose_backup(backups)
        if backup is not None and len(backups) < _RANGES_WANTED:
            await self._make_range((self._register.incarnation, backup))
            return
        alone_s = time.monotonic() - self._started_at
        if not ready and backup is None and alone_s > _ALONE_WAIT_S:
            await self._make_range((self._register.incarnation,))

    async def _retire(self) -> None:
        """Close one range whose keys have all expired.

        Views would pile up otherwise, and each costs a record when a member
        is lost or leaves.
        """
        if self._follower.age_s() > _STALE_S:
            return
        now = time.monotonic()
        idle = self._idle_ranges()
        self._idle_since = {
            range_id: self._idle_since.get(range_id, now) for range_id in idle
        }
        for range_id, since in self._idle_since.items():
            is_over = now - since > self._register.key_life_s()
            if is_over and self._register.is_empty(range_id):
                await self._propose(range_id, idle[range_id].number, ())
                return

    def _idle_ranges(self) -> dict[str, View]:
        """Give the ranges that this VM decides and nobody issues keys of."""
        issued = {own.range_id for own in self._own}
        me = self._register.incarnation
        found: dict[str, View] = {}
        for range_id, view in self._follower.state.views.items():
            home = range_id.partition('-')[0]
            is_issued = range_id in issued or home in view.members[1:]
            if view.primary() == me and not is_issued:
                found[range_id] = view
        return found

    def _backups(self, range_id: str) -> set[str]:
        view = self._follower.state.views.get(range_id)
        return set(view.members[1:]) if view else set()

    def _is_usable(self, range_id: str) -> bool:
        view = self._follower.state.views.get(range_id)
        if view is None or not self._register.holds(range_id):
            return False
        others = view.members[1:]
        return not any(
            self._mesh.by_incarnation(name) is None or self._is_leaving(name)
            for name in others
        )

    def _is_leaving(self, incarnation: str) -> bool:
        link = self._mesh.by_incarnation(incarnation)
        if link is None or link.seen is None:
            return False
        return link.seen.phase != 'serving'

    async def _make_range(self, members: tuple[str, ...]) -> None:
        self._made += 1
        range_id = f'{self._register.incarnation}-{self._made}'
        if not await self._propose(range_id, 0, members):
            return
        made = _OwnRange(range_id, time.monotonic())
        # A range with a backup goes before one without.
        place = len(self._own) if len(members) == 1 else 0
        self._own.insert(place, made)

    def _choose_backup(self, used: set[str]) -> str | None:
        links = [link for link in self._mesh.up_links() if _is_serving(link)]
        random.shuffle(links)
        links.sort(key=self._distance)
        for link in links:
            if link.peer is not None and link.peer.incarnation not in used:
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
            _offset, verdict = await self._publisher.publish(
                'view',
                render_plain(change),
                _PUBLISH_WAIT_S,
            )
        except WagtailforkError:
            return False
        log_event(
            _logger,
            'view_change',
            range=range_id,
            members=','.join(members),
            result=verdict.code.name,
        )
        return verdict.code == ResultCode.ok


def _is_serving(link: PeerLink) -> bool:
    return link.seen is not None and link.seen.phase == 'serving'
