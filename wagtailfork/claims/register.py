"""Replicated register of claims, ordered by the primary of each range."""

import asyncio
import logging
import time
from typing import Final

import attrs

from ..control.fold import ControlState
from ..control.follower import Follower
from ..control.views import View
from ..core.errors import WagtailforkError
from ..core.logs import log_warning
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
from .claim_spec import ClaimSpec
from .handover import IncomingTables, RangeRecord, make_handover_messages
from .settlements import Settlements
from .table import ClaimState, ClaimTable, Decision, StoredResponse

KEY_LIFETIME_SLOTS: Final = 15
_RETRY_PERIOD_S: Final = 0.02

_logger = logging.getLogger(__name__)


@attrs.define
class ClaimRegister:
    """Decide claims as a range's primary and replicate them as a member."""

    incarnation: str
    _follower: Follower
    _mesh: Mesh
    _slot_s: float
    _timeout_s: float
    _ranges: dict[str, RangeRecord] = attrs.field(factory=dict)
    _dropped: set[str] = attrs.field(factory=set)
    incoming_tables: IncomingTables = attrs.field(init=False)
    _handover_recipients: dict[str, list[str]] = attrs.field(factory=dict)
    settlements: Settlements = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that depend on other fields."""
        self.incoming_tables = IncomingTables(self.incarnation)
        self.settlements = Settlements(self._deliver, self._timeout_s)

    def on_state(self, state: ControlState) -> None:
        """Hold a table for each range whose view names this VM.

        The table of a new range is empty, because no claim is granted without
        this member's acknowledgement. After a handover it must be the table
        that was handed over.
        """
        own_views = {
            range_id: view
            for range_id, view in state.views.items()
            if self.incarnation in view.members
        }
        for range_id, view in own_views.items():
            record = self._ranges.get(range_id)
            if record is None or record.handovers != view.handovers:
                self._open_range(range_id, view)
        for removed in set(self._ranges) - set(own_views):
            self._drop_range(removed)

    def _open_range(self, range_id: str, view: View) -> None:
        if view.handovers:
            received = self.incoming_tables.pop_complete(
                range_id, view.handovers
            )
            if received is None:
                self._drop_range(range_id)
            else:
                self._ranges[range_id] = received
            return
        if range_id not in self._dropped:
            now = time.monotonic()
            self._ranges[range_id] = RangeRecord(ClaimTable(), 0, now)

    def _drop_range(self, range_id: str) -> None:
        self._ranges.pop(range_id, None)
        # A delayed duplicate of the range's first record must not reopen it
        # with an empty table.
        self._dropped.add(range_id)

    async def hand_over(self, range_id: str, targets: list[str]) -> list[str]:
        """Send a range's table to ``targets``; return those that received it.

        This VM grants no more keys of the range, even if the handover fails.
        """
        record = self._ranges[range_id]
        self._handover_recipients[range_id] = []
        slot_now = record.current_slot(self._slot_s)
        for target in targets:
            try:
                for part in make_handover_messages(
                    target,
                    range_id,
                    record,
                    slot_now,
                ):
                    await self._call(target, part)
            except WagtailforkError as exc:
                log_warning(_logger, 'hand_over', to=target, error=exc.detail)
                continue
            self._handover_recipients[range_id].append(target)
        return self._handover_recipients[range_id]

    def current_slot(self, range_id: str) -> int:
        """Return the slot for a prefix issued now."""
        record = self._ranges[range_id]
        return record.current_slot(self._slot_s)

    def is_empty(self, range_id: str) -> bool:
        """Return whether this VM holds no unexpired key of a range."""
        record = self._ranges.get(range_id)
        if record is None:
            return True
        record.table.raise_floor(
            record.current_slot(self._slot_s) - KEY_LIFETIME_SLOTS
        )
        return len(record.table) == 0

    def key_lifetime_s(self) -> float:
        """Return the seconds for which an issued key can be claimed."""
        return (KEY_LIFETIME_SLOTS + 1) * self._slot_s

    def is_member(self, range_id: str) -> bool:
        """Return whether this VM holds the table of a range."""
        return range_id in self._ranges

    def claim_counts(self) -> dict[str, int]:
        """Return the number of keys held for each range."""
        return {
            name: len(record.table) for name, record in self._ranges.items()
        }

    async def claim(self, spec: ClaimSpec, deadline: float) -> ClaimReply:
        """Send a claim to the key's primary and return the reply.

        Failed calls are retried until ``deadline``, a monotonic time in
        seconds, but at most for twice the claim timeout. Raise an error of
        the unknown class if no decision was received.
        """
        retry_until = min(deadline, time.monotonic() + 2 * self._timeout_s)
        while True:
            try:
                return await self._try_claim(spec)
            except WagtailforkError as exc:
                if time.monotonic() + _RETRY_PERIOD_S >= retry_until:
                    raise _to_unknown_error(exc) from exc
            await asyncio.sleep(_RETRY_PERIOD_S)

    async def _try_claim(self, spec: ClaimSpec) -> ClaimReply:
        view = self._view_of(spec.key.range_id)
        req = ClaimRequest(
            primary=view.primary(),
            range_id=spec.key.range_id,
            slot=spec.key.slot,
            key=spec.scoped_key(),
            digest=spec.digest,
            claim_id=spec.claim_id,
        )
        if req.primary == self.incarnation:
            return await self.handle_claim(req)
        reply = await self._call(req.primary, req)
        if isinstance(reply, ClaimReply):
            return reply
        raise WagtailforkError(ResultCode.range_unreachable, repr(reply))

    async def handle_claim(self, req: ClaimRequest) -> ClaimReply:
        """Decide a claim as the range's primary."""
        view = self._view_of(req.range_id)
        record = self._ranges.get(req.range_id)
        if req.primary != self.incarnation or record is None:
            raise WagtailforkError(ResultCode.wrong_incarnation, req.primary)
        if view.primary() != self.incarnation:
            raise WagtailforkError(ResultCode.stale_view, req.range_id)
        if req.range_id in self._handover_recipients:
            raise WagtailforkError(ResultCode.range_unreachable, req.range_id)
        slot_now = record.current_slot(self._slot_s)
        record.table.raise_floor(slot_now - KEY_LIFETIME_SLOTS)
        if req.slot > slot_now:
            return ClaimReply(decision=Decision.expired)
        decision = record.table.claim(
            req.slot,
            req.key,
            req.digest,
            req.claim_id,
        )
        if decision == Decision.pending:
            decision = await self._grant(view, record, req)
        return _make_reply(record.table, req, decision)

    async def handle_replicate(self, req: Replicate) -> Ack:
        """Store a claim as a member if it was made in the current view."""
        record = self._ranges.get(req.range_id)
        if req.member != self.incarnation or record is None:
            raise WagtailforkError(ResultCode.wrong_incarnation, req.member)
        if self._view_of(req.range_id).number != req.view:
            raise WagtailforkError(ResultCode.stale_view, req.range_id)
        record.table.raise_floor(req.slot_now - KEY_LIFETIME_SLOTS)
        # Follow the primary's slot clock, to continue it after a failover.
        record.base_slot = req.slot_now
        record.base_time = time.monotonic()
        if not record.table.store_replica(req.slot, req.key, req.digest):
            raise WagtailforkError(ResultCode.key_conflict, req.key)
        return Ack()

    async def handle_settle(self, req: Settle) -> Ack:
        """Record how a claimed request ended; forward it after a handover."""
        record = self._ranges.get(req.range_id)
        record = record or self.incoming_tables.find_complete(req.range_id)
        recipients = self._handover_recipients.get(req.range_id, [])
        for target in recipients:
            self.settlements.submit(attrs.evolve(req, member=target))
        if recipients and record is None:
            return Ack()
        if req.member != self.incarnation or record is None:
            raise WagtailforkError(ResultCode.wrong_incarnation, req.member)
        if req.state == ClaimState.pending:
            record.table.release(req.slot, req.key, req.claim_id)
            return Ack()
        response = StoredResponse(
            status=req.status,
            content_type=req.content_type,
            body=req.body,
        )
        state = ClaimState(req.state)
        record.table.settle(req.slot, req.key, state, response)
        return Ack()

    def settle(
        self,
        spec: ClaimSpec,
        state: ClaimState,
        response: StoredResponse,
    ) -> None:
        """Send a request's final state to all members in background tasks."""
        view = self._follower.state.views.get(spec.key.range_id)
        if view is None:
            return
        members = view.members
        if state == ClaimState.pending:
            # Only the granting primary may release the key for another claim.
            members = members[:1]
        for member in members:
            req = Settle(
                member=member,
                range_id=spec.key.range_id,
                slot=spec.key.slot,
                key=spec.scoped_key(),
                claim_id=spec.claim_id,
                state=state.value,
                status=response.status,
                content_type=response.content_type,
                body=response.body,
            )
            self.settlements.submit(req)

    async def _deliver(self, req: Settle) -> None:
        if req.member == self.incarnation:
            await self.handle_settle(req)
        else:
            await self._call(req.member, req)

    async def _grant(
        self,
        view: View,
        record: RangeRecord,
        req: ClaimRequest,
    ) -> Decision:
        others = [name for name in view.members if name != self.incarnation]
        try:
            for member in others:
                await self._replicate(member, view, record, req)
        except BaseException:
            record.table.abort_replication(req.slot, req.key, req.claim_id)
            raise
        if req.range_id in self._handover_recipients:
            # The table was handed over while the members acknowledged.
            raise WagtailforkError(ResultCode.range_unreachable, req.range_id)
        if record.table.confirm(req.slot, req.key, req.claim_id):
            return Decision.granted
        return Decision.in_progress

    async def _replicate(
        self,
        member: str,
        view: View,
        record: RangeRecord,
        req: ClaimRequest,
    ) -> None:
        message = Replicate(
            member=member,
            range_id=req.range_id,
            view=view.number,
            slot_now=record.current_slot(self._slot_s),
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

    def _view_of(self, range_id: str) -> View:
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


def _to_unknown_error(exc: WagtailforkError) -> WagtailforkError:
    if exc.code in _UNKNOWN_CODES:
        return exc
    return WagtailforkError(ResultCode.range_unreachable, str(exc))


def _make_reply(
    table: ClaimTable,
    req: ClaimRequest,
    decision: Decision,
) -> ClaimReply:
    claim = table.find(req.slot, req.key)
    if decision != Decision.ran or claim is None:
        return ClaimReply(decision=decision.value)
    return ClaimReply(
        decision=decision.value,
        status=claim.response.status,
        content_type=claim.response.content_type,
        body=claim.response.body,
    )
