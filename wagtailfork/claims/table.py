"""Table of the claims of one key range, bounded in age and size.

Keys are grouped by the time slot in which their prefix was issued. Slots
below the floor are dropped, and every later claim of a key in a dropped slot
is refused, so that eviction never allows a second run.
"""

import enum
from collections.abc import Iterator
from typing import Final

import attrs

MAX_KEYS_PER_SLOT: Final = 100_000
MAX_STORED_BODY_BYTES: Final = 4096


class Decision(enum.StrEnum):
    """Enumerate the replies to a claim."""

    granted = 'granted'
    pending = 'pending'  # new key; the other members must acknowledge first
    in_progress = 'in_progress'
    ran = 'ran'
    ran_not_kept = 'ran_not_kept'
    closed = 'closed'
    unknown = 'unknown'
    conflict = 'conflict'
    expired = 'expired'


class ClaimState(enum.StrEnum):
    """Enumerate the states of a key from its claim to its settlement."""

    pending = 'pending'
    claimed = 'claimed'
    ran = 'ran'
    ran_not_kept = 'ran_not_kept'
    closed = 'closed'
    unknown = 'unknown'


_RELEASABLE_STATES: Final = frozenset((ClaimState.pending, ClaimState.claimed))


@attrs.frozen(kw_only=True)
class StoredResponse:
    """Hold the response of a request that ran; empty if it was large."""

    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.define
class Claim:
    """Hold the claim on one key."""

    digest: str
    claim_id: str
    state: ClaimState
    replicating: bool = False
    response: StoredResponse = attrs.field(factory=StoredResponse)


@attrs.define
class ClaimTable:
    """Decide claims on the keys of one range; the first claim wins."""

    floor: int = 0
    max_keys_per_slot: int = MAX_KEYS_PER_SLOT
    _slots: dict[int, dict[str, Claim]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return sum(len(keys) for keys in self._slots.values())

    def raise_floor(self, floor: int) -> None:
        """Drop the slots below ``floor``; a lower floor has no effect."""
        self.floor = max(self.floor, floor)
        for slot in [old for old in self._slots if old < self.floor]:
            self._slots.pop(slot)

    def find(self, slot: int, key: str) -> Claim | None:
        """Return the claim on a key, if any."""
        return self._slots.get(slot, {}).get(key)

    def entries(self) -> Iterator[tuple[int, str, Claim]]:
        """Yield each claim with its slot and key."""
        for slot, keys in self._slots.items():
            for key, claim in keys.items():
                yield slot, key, claim

    def insert(self, slot: int, key: str, claim: Claim) -> None:
        """Insert a claim received from another member."""
        self._slots.setdefault(slot, {})[key] = claim

    def claim(
        self,
        slot: int,
        key: str,
        digest: str,
        claim_id: str,
    ) -> Decision:
        """Decide a claim; ``pending`` requires the members' acknowledgement.

        >>> table = ClaimTable()
        >>> table.claim(0, 'k', 'd', 'one').value
        'pending'
        >>> table.confirm(0, 'k', 'one')
        True
        >>> table.claim(0, 'k', 'd', 'two').value
        'in_progress'
        """
        if slot < self.floor:
            return Decision.expired
        claim = self.find(slot, key)
        if claim is None:
            return self._claim_new(slot, key, digest, claim_id)
        if claim.digest != digest:
            return Decision.conflict
        if claim.state == ClaimState.pending:
            return self._claim_pending(claim, claim_id)
        if claim.state == ClaimState.claimed:
            same = claim_id and claim.claim_id == claim_id
            return Decision.granted if same else Decision.in_progress
        return Decision(claim.state.value)

    def confirm(self, slot: int, key: str, claim_id: str) -> bool:
        """Grant a pending claim; return whether it was still pending."""
        claim = self.find(slot, key)
        if claim is None or claim.claim_id != claim_id:
            return False
        if claim.state != ClaimState.pending:
            return False
        claim.state = ClaimState.claimed
        claim.replicating = False
        return True

    def abort_replication(self, slot: int, key: str, claim_id: str) -> None:
        """Allow other sends to claim a key whose replication failed."""
        claim = self.find(slot, key)
        if claim is None or claim.claim_id != claim_id:
            return
        if claim.state == ClaimState.pending:
            claim.replicating = False

    def store_replica(self, slot: int, key: str, digest: str) -> bool:
        """Store a claim that the primary will grant; return False if refused.

        The claim ID is not stored: this member must not grant the claim, even
        as a later primary, because the old primary may have granted it.
        """
        if slot < self.floor:
            return False
        claim = self.find(slot, key)
        if claim is None:
            keys = self._slots.setdefault(slot, {})
            keys[key] = Claim(digest, '', ClaimState.claimed)
            return True
        return claim.state == ClaimState.claimed and claim.digest == digest

    def settle(
        self,
        slot: int,
        key: str,
        state: ClaimState,
        response: StoredResponse,
    ) -> None:
        """Record how a granted claim ended; ignore later settlements."""
        claim = self.find(slot, key)
        if claim is None or claim.state != ClaimState.claimed:
            return
        claim.state = state
        claim.response = response

    def release(self, slot: int, key: str, claim_id: str) -> None:
        """Undo a claim whose request will never be dispatched."""
        claim = self.find(slot, key)
        if claim is None or claim.claim_id != claim_id:
            return
        if claim.state in _RELEASABLE_STATES:
            claim.state = ClaimState.pending
            claim.claim_id = ''
            claim.replicating = False

    def _claim_new(
        self,
        slot: int,
        key: str,
        digest: str,
        claim_id: str,
    ) -> Decision:
        keys = self._slots.setdefault(slot, {})
        if len(keys) >= self.max_keys_per_slot:
            # A full slot refuses new keys, which thus stay unclaimed.
            return Decision.expired
        keys[key] = Claim(
            digest,
            claim_id,
            ClaimState.pending,
            replicating=True,
        )
        return Decision.pending

    def _claim_pending(self, claim: Claim, claim_id: str) -> Decision:
        if claim.replicating:
            return Decision.in_progress
        claim.claim_id = claim_id
        claim.replicating = True
        return Decision.pending
