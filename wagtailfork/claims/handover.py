"""Handover of claim tables from a leaving VM to other VMs."""

import time
from collections.abc import Iterator
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..peers.messages import HandedClaim, HandOver
from .table import Claim, ClaimState, ClaimTable, StoredResponse

CLAIMS_PER_MESSAGE: Final = 500  # at most about 2 MB with stored responses
# A received table is dropped if no view names this VM within this time; the
# keys of its range can then never be claimed again.
_TABLE_LIFETIME_S: Final = 120.0


@attrs.define
class RangeRecord:
    """Hold the claims of a key range and the clock of its time slots."""

    table: ClaimTable
    base_slot: int
    base_time: float
    handovers: int = 0  # handover count of the view that opened the table

    def current_slot(self, slot_s: float) -> int:
        """Return the current slot for slots of ``slot_s`` seconds."""
        elapsed_s = time.monotonic() - self.base_time
        return self.base_slot + int(elapsed_s / slot_s)


@attrs.define
class IncomingTables:
    """Hold received tables until a view names this VM as a member."""

    _incarnation: str
    _partial: dict[str, RangeRecord] = attrs.field(factory=dict)
    _complete: dict[str, RangeRecord] = attrs.field(factory=dict)

    def receive(self, part: HandOver) -> None:
        """Store one part of a table; the last part completes it."""
        if part.member != self._incarnation:
            raise WagtailforkError(ResultCode.wrong_incarnation, part.member)
        now = time.monotonic()
        self._evict_expired(now)
        if part.is_first:
            self._partial[part.range_id] = RangeRecord(
                ClaimTable(floor=part.floor),
                part.slot_now,
                now,
            )
        record = self._partial.get(part.range_id)
        if record is None:
            # A late part of an earlier handover must not pass for a table.
            raise WagtailforkError(ResultCode.range_unreachable, part.range_id)
        for entry in part.claims:
            record.table.insert(entry.slot, entry.key, _from_message(entry))
        if part.is_last:
            self._complete[part.range_id] = self._partial.pop(part.range_id)

    def find_complete(self, range_id: str) -> RangeRecord | None:
        """Return the complete table of a range, if any."""
        return self._complete.get(range_id)

    def pop_complete(self, range_id: str, handovers: int) -> RangeRecord | None:
        """Remove and return a complete table; set its handover count."""
        record = self._complete.pop(range_id, None)
        if record is not None:
            record.handovers = handovers
        return record

    def _evict_expired(self, now: float) -> None:
        for tables in (self._partial, self._complete):
            expired_ids = [
                range_id
                for range_id, record in tables.items()
                if now - record.base_time > _TABLE_LIFETIME_S
            ]
            for range_id in expired_ids:
                tables.pop(range_id)


def make_handover_messages(
    member: str,
    range_id: str,
    record: RangeRecord,
    slot_now: int,
) -> Iterator[HandOver]:
    """Yield the messages that transfer a table to one member."""
    claims = [
        _to_message(slot, key, claim)
        for slot, key, claim in record.table.entries()
        # A pending key was never granted, and this VM grants no more keys.
        if claim.state != ClaimState.pending
    ]
    offsets = range(0, max(1, len(claims)), CLAIMS_PER_MESSAGE)
    for offset in offsets:
        end = offset + CLAIMS_PER_MESSAGE
        yield HandOver(
            member=member,
            range_id=range_id,
            slot_now=slot_now,
            floor=record.table.floor,
            claims=claims[offset:end],
            is_first=offset == 0,
            is_last=end >= len(claims),
        )


def _to_message(slot: int, key: str, claim: Claim) -> HandedClaim:
    return HandedClaim(
        slot=slot,
        key=key,
        digest=claim.digest,
        state=claim.state.value,
        status=claim.response.status,
        content_type=claim.response.content_type,
        body=claim.response.body,
    )


def _from_message(entry: HandedClaim) -> Claim:
    # An empty claim ID ensures that a granted claim is not granted again.
    response = StoredResponse(
        status=entry.status,
        content_type=entry.content_type,
        body=entry.body,
    )
    return Claim(
        entry.digest,
        '',
        ClaimState(entry.state),
        response=response,
    )
