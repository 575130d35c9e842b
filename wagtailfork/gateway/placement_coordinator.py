"""Place requests of other VMs of the failure domain on backend servers.

In a large failure domain each VM sees too few requests to know the load of the
servers. One VM coordinates each service: it queues and places the requests of
all, so it knows what is in flight at each server. Its state is soft: a new
coordinator learns the loads from probes, and a slot whose return is lost
becomes free at the deadline of its request.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..fleet.load_rows import restore_report
from ..fleet.messages import Message
from ..fleet.placement_messages import (
    Outcome,
    Placed,
    PlacementDeclined,
    PlacementEnded,
    PlacementQueued,
    PlacementRequest,
)
from ..fleet.spill_messages import Referral, SpillWant
from ..routing.candidate import Candidate
from ..routing.late_binding import ServiceQueue
from ..routing.load import ServerLoad
from ..routing.queued_request import QueuedRequest, Refused
from ..routing.spill import unavailable
from .limit_recorder import LimitRecorder
from .spill_exchange import SpillExchange
from .token_spender import TokenSpender, UnlimitedSpender

QUEUED_NOTICE_S: Final = 0.01  # later than most placements
LEASE_MARGIN_S: Final = 0.5  # beyond the deadline of a request
# For a grant to a request of another domain: a probe, not a wait in a queue.
GRANT_LIMIT_S: Final = 0.05
ENDED_S: Final = 1.0  # for which a request that ended is known; many hops
MAX_PLACEMENTS: Final = 5000  # bounds the memory, at some 2 KB each
_MS: Final = 1000
_RESPONDED: Final = frozenset((Outcome.succeeded, Outcome.failed))

Send = Callable[[Message, list[str]], None]
_Key = tuple[str, int]  # address of the VM, number of the placement


@attrs.define(eq=False)
class _Placement:
    """Hold one placement; the candidate is set once a slot is granted."""

    queue: ServiceQueue
    expires_at_s: float
    task: 'asyncio.Task[None] | None' = None
    candidate: Candidate | None = None
    customer: str = ''  # whose token was spent
    spent_at_s: float = 0
    referral: Referral | None = None  # by which another domain sent it
    referred_to: str = ''  # coordinator that granted a slot


@attrs.define(eq=False)
class PlacementCoordinator:
    """Queue and place requests of other VMs, and take slots back."""

    queue_of: Callable[[str], ServiceQueue]
    send: Send
    is_live: Callable[[str], bool]  # whether an address is of a live VM
    limits: LimitRecorder
    quotas: TokenSpender = attrs.field(factory=UnlimitedSpender)
    spill: SpillExchange | None = None
    _placements: dict[_Key, _Placement] = attrs.field(factory=dict)
    # When requests ended, the oldest first.
    _ended_at_s: OrderedDict[_Key, float] = attrs.field(factory=OrderedDict)

    @property
    def size(self) -> int:
        """Count the placements that are queued or in use."""
        return len(self._placements)

    @property
    def remembered(self) -> int:
        """Count the ended requests that are known."""
        return len(self._ended_at_s)

    def handle_request(self, message: PlacementRequest) -> None:
        """Place a request, or repeat the response to it."""
        key = (message.sender, message.number)
        placement = self._placements.get(key)
        if key in self._ended_at_s:
            # A late copy: its sender would not use another slot.
            return
        if placement is None:
            self._start(key, message)
        elif placement.referred_to and self.spill is not None:
            self.spill.repeat(placement.referred_to, message)
        elif placement.candidate is None:
            self._notify(key, placement)
        else:
            self._send_grant(key, placement)

    def handle_want(self, message: SpillWant) -> None:
        """Record that another domain wants slots."""
        if self.spill is not None:
            self.spill.handle_want(message, self.count_guests)

    def count_guests(self, service: str) -> int:
        """Count the slots that requests of other domains use."""
        return sum(
            placement.referral is not None
            for placement in self._placements.values()
            if placement.queue.service == service
        )

    def handle_referral(self, message: Referral) -> None:
        """Grant a slot that is free now to another domain, or decline."""
        spill = self.spill
        request = message.request
        key = (request.sender, request.number)
        placement = self._placements.get(key)
        if spill is None or key in self._ended_at_s:
            return
        if placement is not None:
            if placement.candidate is not None:
                self._send_grant(key, placement)
                spill.answer(message, granted=True)
            return
        queue = self.queue_of(request.service)
        if not spill.can_grant(queue) or self.size >= MAX_PLACEMENTS:
            spill.answer(message, granted=False)
            return
        queued = _queued_request(request, now_s())
        queued.excluded |= unavailable(
            queue.table, spill.membership.me.failure_domain, now_s()
        )
        placement = self._add(key, queue, queued)
        placement.referral = message
        placement.task = asyncio.create_task(
            self._grant(key, placement, queued, message)
        )

    def handle_ended(self, message: PlacementEnded) -> None:
        """Take a slot back, or remove a request from the queue."""
        key = (message.sender, message.number)
        self._remember_ended(key, now_s())
        placement = self._placements.get(key)
        if placement is None:
            return
        candidate = placement.candidate
        if candidate is not None:
            now = now_s()
            if message.load is not None:
                candidate.load.record_report(restore_report(message.load, now))
            if message.outcome in _RESPONDED:
                candidate.has_responded = True
            if message.limit is not None:
                self.limits.record_row(candidate, message.limit)
            _record_outcome(candidate.load, message.outcome, now)
        if message.not_run:
            self._give_back(placement)
        self._release(key)

    def remove_expired(self, now: float) -> None:
        """Free the slots whose return was lost, and those of lost VMs."""
        expired = [
            key
            for key, placement in self._placements.items()
            if now >= placement.expires_at_s or not self.is_live(key[0])
        ]
        for key in expired:
            self._release(key)

    def _remember_ended(self, key: _Key, now: float) -> None:
        self._ended_at_s.setdefault(key, now)
        # A copy that comes late finds its own entry the oldest, and expired.
        while self._ended_at_s:
            if now - next(iter(self._ended_at_s.values())) < ENDED_S:
                break
            self._ended_at_s.popitem(last=False)

    def _start(self, key: _Key, message: PlacementRequest) -> None:
        sender = [message.sender]
        if len(self._placements) >= MAX_PLACEMENTS:
            self.send(
                PlacementDeclined(message.number, 'queue_full', 0), sender
            )
            return
        now = now_s()
        try:
            self.quotas.spend(message.customer, now)
        except Refused as exc:
            self._decline(key, exc)
            return
        queued = _queued_request(message, now)
        placement = self._add(key, self.queue_of(message.service), queued)
        placement.customer = message.customer
        placement.spent_at_s = now
        placement.task = asyncio.create_task(
            self._place(key, placement, queued, message)
        )

    def _add(
        self, key: _Key, queue: ServiceQueue, queued: QueuedRequest
    ) -> _Placement:
        placement = _Placement(queue, queued.deadline_at_s + LEASE_MARGIN_S)
        self._placements[key] = placement
        return placement

    async def _place(
        self,
        key: _Key,
        placement: _Placement,
        queued: QueuedRequest,
        message: PlacementRequest,
    ) -> None:
        notice = asyncio.get_running_loop().call_later(
            QUEUED_NOTICE_S, self._notify, key, placement
        )
        try:
            placement.referred_to = await self._refer(
                placement.queue, queued, message
            )
            if placement.referred_to:
                return
            candidate = await placement.queue.acquire(queued)
        except Refused as exc:
            # A probe may have shown that no slot was free.
            placement.referred_to = await self._refer(
                placement.queue, queued, message
            )
            if placement.referred_to:
                return
            if self._placements.pop(key, None) is placement:
                self._give_back(placement)
            self._decline(key, exc)
            return
        finally:
            notice.cancel()
        if self._placements.get(key) is not placement:
            # Ended while the server was being probed.
            placement.queue.release(candidate)
            return
        placement.candidate = candidate
        self._send_grant(key, placement)

    async def _refer(
        self,
        queue: ServiceQueue,
        queued: QueuedRequest,
        message: PlacementRequest,
    ) -> str:
        if self.spill is None:
            return ''
        return await self.spill.refer(message, queue, queued)

    async def _grant(
        self,
        key: _Key,
        placement: _Placement,
        queued: QueuedRequest,
        message: Referral,
    ) -> None:
        """Place a referred request if that takes no wait."""
        candidate = None
        try:
            async with asyncio.timeout(GRANT_LIMIT_S):
                candidate = await placement.queue.acquire(queued)
        except (Refused, TimeoutError):
            self._placements.pop(key, None)
        if candidate is not None and self._placements.get(key) is not placement:
            placement.queue.release(candidate)
            candidate = None
        placement.candidate = candidate
        if candidate is not None:
            self._send_grant(key, placement)
        if self.spill is not None:
            self.spill.answer(message, granted=candidate is not None)

    def _send_grant(self, key: _Key, placement: _Placement) -> None:
        if placement.candidate is None:
            return
        owner = ''
        if placement.referral is not None and self.spill is not None:
            owner = self.spill.membership.me.address
        sender, number = key
        self.send(Placed(number, placement.candidate.name, owner), [sender])

    def _decline(self, key: _Key, refusal: Refused) -> None:
        sender, number = key
        retry_ms = round(refusal.retry_after_s * _MS)
        declined = PlacementDeclined(number, refusal.reason, retry_ms)
        self.send(declined, [sender])

    def _give_back(self, placement: _Placement) -> None:
        self.quotas.give_back(placement.customer, placement.spent_at_s, now_s())

    def _notify(self, key: _Key, placement: _Placement) -> None:
        sender, number = key
        notice = PlacementQueued(number, placement.queue.waiting)
        self.send(notice, [sender])

    def _release(self, key: _Key) -> None:
        placement = self._placements.pop(key)
        if placement.candidate is not None:
            placement.queue.release(placement.candidate)
        elif placement.task is not None:
            placement.task.cancel()


def _queued_request(message: PlacementRequest, now: float) -> QueuedRequest:
    return QueuedRequest(
        rank=message.rank,
        objective_at_s=now + message.objective_ms / _MS,
        deadline_at_s=now + message.deadline_ms / _MS,
        service_s=message.service_ms / _MS,
        kilobytes=message.kilobytes,
        excluded=set(message.excluded),
        connected=frozenset(message.connected),
        customer=message.customer,
        regions=frozenset(message.regions),
        arrived_s=now - message.age_ms / _MS,
    )


def _record_outcome(load: ServerLoad, outcome: Outcome, now: float) -> None:
    if outcome is Outcome.unreachable:
        load.eject(now)
    elif outcome is not Outcome.unknown:
        load.record_outcome(now, failed=outcome is Outcome.failed)
