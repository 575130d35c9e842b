"""The point of order of each key: claim before dispatch, settle after."""

import asyncio
import logging
import time
from typing import Final

import attrs

from ..control.follower import Follower
from ..control.fold import ControlState
from ..control.views import View
from ..core.errors import WagtailforkError
from ..core.logs import log_fault
from ..core.results import ResultCode
from ..peers.mesh import Mesh
from ..peers.messages import (
    Ack,
    ClaimReply,
    ClaimRequest,
    Message,
    Replicate,
    Settle,
)
from .handover import HeldRange, IncomingTables, split_table
from .orders import ClaimOrder
from .settlements import Settlements
from .table import Answer, ClaimState, ClaimTable, Decision

KEPT_SLOTS: Final = 15
_POLL_S: Final = 0.02

_logger = logging.getLogger(__name__)


@attrs.define
class Register:
    """Decide claims as a range's primary and keep them as its member."""

    incarnation: str
    _follower: Follower
    _mesh: Mesh
    _slot_s: float
    _timeout_s: float
    _ranges: dict[str, HeldRange] = attrs.field(factory=dict)
    _dropped: set[str] = attrs.field(factory=set)
    incoming: IncomingTables = attrs.field(init=False)
    _handed_to: dict[str, list[str]] = attrs.field(factory=dict)
    settlements: Settlements = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Take tables that are addressed to this incarnation."""
        self.incoming = IncomingTables(self.incarnation)
        self.settlements = Settlements(self._deliver, self._timeout_s)

    def on_state(self, state: ControlState) -> None:
        """Hold a table for just the ranges whose view names this VM.

        An empty table is right at first sight: no claim was ever granted
        without this member's acknowledgement. After a handover only the
        table that was handed over is right.
        """
        mine = {
            range_id: view
            for range_id, view in state.views.items()
            if self.incarnation in view.members
        }
        for range_id, view in mine.items():
            held = self._ranges.get(range_id)
            if held is None or held.handovers != view.handovers:
                self._open(range_id, view)
        for gone in set(self._ranges) - set(mine):
            self._drop(gone)

    def _open(self, range_id: str, view: View) -> None:
        if view.handovers:
            handed = self.incoming.take(range_id, view.handovers)
            if handed is None:
                self._drop(range_id)
            else:
                self._ranges[range_id] = handed
            return
        if range_id not in self._dropped:
            now = time.monotonic()
            self._ranges[range_id] = HeldRange(ClaimTable(), 0, now)

    def _drop(self, range_id: str) -> None:
        self._ranges.pop(range_id, None)
        # A birth record appended again late must not open it anew.
        self._dropped.add(range_id)

    async def hand_over(self, range_id: str, targets: list[str]) -> list[str]:
        """Send a range's table to its next members; name those that have it.

        This VM never grants a key of the range again, whatever comes of it.
        """
        held = self._ranges[range_id]
        self._handed_to[range_id] = []
        slot_now = held.slot(self._slot_s)
        for target in targets:
            try:
                for part in split_table(target, range_id, held, slot_now):
                    await self._call(target, part)
            except WagtailforkError as exc:
                log_fault(_logger, 'hand_over', to=target, error=exc.detail)
                continue
            self._handed_to[range_id].append(target)
        return self._handed_to[range_id]

    def current_slot(self, range_id: str) -> int:
        """Give the slot for a prefix issued now."""
        held = self._ranges[range_id]
        return held.slot(self._slot_s)

    def is_empty(self, range_id: str) -> bool:
        """Tell whether no key of a range is on record here."""
        held = self._ranges.get(range_id)
        if held is None:
            return True
        held.table.raise_floor(held.slot(self._slot_s) - KEPT_SLOTS)
        return len(held.table) == 0

    def key_life_s(self) -> float:
        """Give the seconds for which an issued key can be claimed."""
        return (KEPT_SLOTS + 1) * self._slot_s

    def holds(self, range_id: str) -> bool:
        """Tell whether this VM is a member of the range."""
        return range_id in self._ranges

    def sizes(self) -> dict[str, int]:
        """Count the keys held for each range."""
        return {name: len(held.table) for name, held in self._ranges.items()}

    async def claim(self, order: ClaimOrder, deadline: float) -> ClaimReply:
        """Ask the key's primary, again if the answer is lost, and reply.

        ``deadline`` is a monotonic time in seconds. Raise an unknown-class
        error when no decision was heard.
        """
        until = min(deadline, time.monotonic() + 2 * self._timeout_s)
        while True:
            try:
                return await self._claim_once(order)
            except WagtailforkError as exc:
                if time.monotonic() + _POLL_S >= until:
                    raise _as_unknown(exc) from exc
            await asyncio.sleep(_POLL_S)

    async def _claim_once(self, order: ClaimOrder) -> ClaimReply:
        view = self._view(order.key.range_id)
        req = ClaimRequest(
            primary=view.primary(),
            range_id=order.key.range_id,
            slot=order.key.slot,
            key=order.scoped_key(),
            digest=order.digest,
            claim_id=order.claim_id,
        )
        if req.primary == self.incarnation:
            return await self.serve_claim(req)
        reply = await self._call(req.primary, req)
        if isinstance(reply, ClaimReply):
            return reply
        raise WagtailforkError(ResultCode.range_unreachable, repr(reply))

    async def serve_claim(self, req: ClaimRequest) -> ClaimReply:
        """Decide a claim as the range's primary."""
        view = self._view(req.range_id)
        held = self._ranges.get(req.range_id)
        if req.primary != self.incarnation or held is None:
            raise WagtailforkError(ResultCode.wrong_incarnation, req.primary)
        if view.primary() != self.incarnation:
            raise WagtailforkError(ResultCode.stale_view, req.range_id)
        if req.range_id in self._handed_to:
            raise WagtailforkError(ResultCode.range_unreachable, req.range_id)
        slot_now = held.slot(self._slot_s)
        held.table.raise_floor(slot_now - KEPT_SLOTS)
        if req.slot > slot_now:
            return ClaimReply(decision=Decision.expired)
        decision = held.table.claim(
            req.slot,
            req.key,
            req.digest,
            req.claim_id,
        )
        if decision == Decision.pending:
            decision = await self._grant(view, held, req)
        return _make_reply(held.table, req, decision)

    async def serve_replicate(self, req: Replicate) -> Ack:
        """Store a claim as a member, if it was made in the present view."""
        held = self._ranges.get(req.range_id)
        if req.member != self.incarnation or held is None:
            raise WagtailforkError(ResultCode.wrong_incarnation, req.member)
        if self._view(req.range_id).number != req.view:
            raise WagtailforkError(ResultCode.stale_view, req.range_id)
        held.table.raise_floor(req.slot_now - KEPT_SLOTS)
        # Slots go on from the primary's clock if this member takes over.
        held.first_slot = req.slot_now
        held.started_at = time.monotonic()
        if not held.table.store(req.slot, req.key, req.digest):
            raise WagtailforkError(ResultCode.key_conflict, req.key)
        return Ack()

    async def serve_settle(self, req: Settle) -> Ack:
        """Record how a claimed request ended."""
        held = self._ranges.get(req.range_id)
        held = held or self.incoming.find(req.range_id)
        handed_to = self._handed_to.get(req.range_id, [])
        for target in handed_to:
            self.settlements.post(attrs.evolve(req, member=target))
        if handed_to and held is None:
            return Ack()
        if req.member != self.incarnation or held is None:
            raise WagtailforkError(ResultCode.wrong_incarnation, req.member)
        if req.state == ClaimState.pending:
            held.table.release(req.slot, req.key, req.claim_id)
            return Ack()
        answer = Answer(
            status=req.status,
            content_type=req.content_type,
            body=req.body,
        )
        state = ClaimState(req.state)
        held.table.settle(req.slot, req.key, state, answer)
        return Ack()

    def settle(
        self,
        order: ClaimOrder,
        state: ClaimState,
        answer: Answer,
    ) -> None:
        """Tell all members, without waiting, how the request ended."""
        view = self._follower.state.views.get(order.key.range_id)
        if view is None:
            return
        members = view.members
        if state == ClaimState.pending:
            # Only the granting primary may let the key be claimed again.
            members = members[:1]
        for member in members:
            req = Settle(
                member=member,
                range_id=order.key.range_id,
                slot=order.key.slot,
                key=order.scoped_key(),
                claim_id=order.claim_id,
                state=state.value,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
            self.settlements.post(req)

    async def _deliver(self, req: Settle) -> None:
        if req.member == self.incarnation:
            await self.serve_settle(req)
        else:
            await self._call(req.member, req)

    async def _grant(
        self,
        view: View,
        held: HeldRange,
        req: ClaimRequest,
    ) -> Decision:
        others = [name for name in view.members if name != self.incarnation]
        try:
            for member in others:
                await self._replicate(member, view, held, req)
        except BaseException:
            held.table.withdraw(req.slot, req.key, req.claim_id)
            raise
        if req.range_id in self._handed_to:
            # The table went to others while the members were asked.
            raise WagtailforkError(ResultCode.range_unreachable, req.range_id)
        if held.table.confirm(req.slot, req.key, req.claim_id):
            return Decision.granted
        return Decision.in_progress

    async def _replicate(
        self,
        member: str,
        view: View,
        held: HeldRange,
        req: ClaimRequest,
    ) -> None:
        message = Replicate(
            member=member,
            range_id=req.range_id,
            view=view.number,
            slot_now=held.slot(self._slot_s),
            slot=req.slot,
            key=req.key,
            digest=req.digest,
        )
        reply = await self._call(member, message)
        if reply != Ack():
            raise WagtailforkError(ResultCode.range_unreachable, repr(reply))

    async def _call(self, member: str, message: Message) -> Message:
        link = self._mesh.by_incarnation(member)
        if link is None:
            raise WagtailforkError(ResultCode.range_unreachable, member)
        reply = await link.call(message, self._timeout_s)
        if isinstance(reply, Ack) and reply.code:
            raise WagtailforkError(ResultCode(reply.code), member)
        return reply

    def _view(self, range_id: str) -> View:
        view = self._follower.state.views.get(range_id)
        if view is None:
            raise WagtailforkError(ResultCode.key_expired, range_id)
        return view


_UNKNOWN_CODES: Final = frozenset(
    (
        ResultCode.key_expired,
        ResultCode.range_unreachable,
    )
)


def _as_unknown(exc: WagtailforkError) -> WagtailforkError:
    if exc.code in _UNKNOWN_CODES:
        return exc
    return WagtailforkError(ResultCode.range_unreachable, str(exc))


def _make_reply(
    table: ClaimTable,
    req: ClaimRequest,
    decision: Decision,
) -> ClaimReply:
    found = table.find(req.slot, req.key)
    if decision != Decision.ran or found is None:
        return ClaimReply(decision=decision.value)
    return ClaimReply(
        decision=decision.value,
        status=found.answer.status,
        content_type=found.answer.content_type,
        body=found.answer.body,
    )
