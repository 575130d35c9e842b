"""Tables of claims on their way from a leaving VM to those that go on."""

import time
from collections.abc import Iterator
from typing import Final

import attrs

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..peers.messages import HandedClaim, HandOver
from .table import Answer, Claim, ClaimState, ClaimTable

CLAIMS_PER_MESSAGE: Final = 500  # with kept answers about 2 MB at the most
_KEPT_S: Final = 120.0  # for the log to name this VM; else the keys stay shut


@attrs.define
class HeldRange:
    """Hold a range's claims with the clock of its slots."""

    table: ClaimTable
    first_slot: int
    started_at: float
    handovers: int = 0  # of the view for which the table was opened

    def slot(self, slot_s: float) -> int:
        """Give the present slot."""
        passed = time.monotonic() - self.started_at
        return self.first_slot + int(passed / slot_s)


@attrs.define
class IncomingTables:
    """Collect tables handed over until the log names this VM."""

    _incarnation: str
    _partial: dict[str, HeldRange] = attrs.field(factory=dict)
    _whole: dict[str, HeldRange] = attrs.field(factory=dict)

    def receive(self, part: HandOver) -> None:
        """Store one part of a table; the last one makes it whole."""
        if part.member != self._incarnation:
            raise WagtailforkError(ResultCode.wrong_incarnation, part.member)
        now = time.monotonic()
        self._forget(now)
        held = self._partial.get(part.range_id)
        if held is None or part.is_first:
            held = HeldRange(ClaimTable(floor=part.floor), part.slot_now, now)
            self._partial[part.range_id] = held
        for handed in part.claims:
            held.table.put(handed.slot, handed.key, _claim_of(handed))
        if part.is_last:
            self._whole[part.range_id] = self._partial.pop(part.range_id)

    def find(self, range_id: str) -> HeldRange | None:
        """Find a whole table that waits for its view."""
        return self._whole.get(range_id)

    def take(self, range_id: str, handovers: int) -> HeldRange | None:
        """Give a whole table to a view that names this VM."""
        held = self._whole.pop(range_id, None)
        if held is not None:
            held.handovers = handovers
        return held

    def _forget(self, now: float) -> None:
        for tables in (self._partial, self._whole):
            old = [
                range_id
                for range_id, held in tables.items()
                if now - held.started_at > _KEPT_S
            ]
            for range_id in old:
                tables.pop(range_id)


def split_table(
    member: str,
    range_id: str,
    held: HeldRange,
    slot_now: int,
) -> Iterator[HandOver]:
    """Give the messages that carry a table whole to one member."""
    claims = [
        _handed(slot, key, claim)
        for slot, key, claim in held.table.entries()
        # Nobody was granted a pending key, nor ever will be by this member.
        if claim.state != ClaimState.pending
    ]
    starts = range(0, max(1, len(claims)), CLAIMS_PER_MESSAGE)
    for start in starts:
        until = start + CLAIMS_PER_MESSAGE
        yield HandOver(
            member=member,
            range_id=range_id,
            slot_now=slot_now,
            floor=held.table.floor,
            claims=claims[start:until],
            is_first=start == 0,
            is_last=until >= len(claims),
        )


def _handed(slot: int, key: str, claim: Claim) -> HandedClaim:
    return HandedClaim(
        slot=slot,
        key=key,
        digest=claim.digest,
        state=claim.state.value,
        status=claim.answer.status,
        content_type=claim.answer.content_type,
        body=claim.answer.body,
    )


def _claim_of(handed: HandedClaim) -> Claim:
    # Without its identity a claim that was granted is never granted again.
    answer = Answer(
        status=handed.status,
        content_type=handed.content_type,
        body=handed.body,
    )
    return Claim(
        handed.digest,
        '',
        ClaimState(handed.state),
        answer=answer,
    )
