"""The claims of one key range, bounded in time and number.

Keys are grouped by the time slot in which their prefix was issued. Slots
below the floor are dropped whole, and a key of a dropped slot is refused
for ever: eviction closes keys, it never forgets them.
"""

import enum
from collections.abc import Iterator
from typing import Final

import attrs

MAX_KEYS_PER_SLOT: Final = 100_000
MAX_KEPT_BODY_BYTES: Final = 4096


class Decision(enum.StrEnum):
    """Answer a claim."""

    granted = 'granted'
    pending = 'pending'  # new here; the other members must acknowledge first
    in_progress = 'in_progress'
    ran = 'ran'
    ran_not_kept = 'ran_not_kept'
    closed = 'closed'
    unknown = 'unknown'
    conflict = 'conflict'
    expired = 'expired'


class ClaimState(enum.StrEnum):
    """Follow one key from its claim to the end of its request."""

    pending = 'pending'
    claimed = 'claimed'
    ran = 'ran'
    ran_not_kept = 'ran_not_kept'
    closed = 'closed'
    unknown = 'unknown'


_RELEASABLE: Final = frozenset((ClaimState.pending, ClaimState.claimed))


@attrs.frozen(kw_only=True)
class Answer:
    """Keep the answer of a request that ran, if it was small."""

    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.define
class Claim:
    """Hold one key's claim."""

    digest: str
    claim_id: str
    state: ClaimState
    replicating: bool = False
    answer: Answer = attrs.field(factory=Answer)


@attrs.define
class ClaimTable:
    """Decide claims on the keys of one range, first come first served."""

    floor: int = 0
    max_keys_per_slot: int = MAX_KEYS_PER_SLOT
    _slots: dict[int, dict[str, Claim]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Count the keys held."""
        return sum(len(keys) for keys in self._slots.values())

    def raise_floor(self, floor: int) -> None:
        """Drop the slots below ``floor``; the floor never falls."""
        self.floor = max(self.floor, floor)
        for slot in [old for old in self._slots if old < self.floor]:
            self._slots.pop(slot)

    def find(self, slot: int, key: str) -> Claim | None:
        """Find the claim on a key."""
        return self._slots.get(slot, {}).get(key)

    def entries(self) -> Iterator[tuple[int, str, Claim]]:
        """Give every claim with its slot and key."""
        for slot, keys in self._slots.items():
            for key, claim in keys.items():
                yield slot, key, claim

    def put(self, slot: int, key: str, claim: Claim) -> None:
        """Take a claim as another member held it."""
        self._slots.setdefault(slot, {})[key] = claim

    def claim(
        self,
        slot: int,
        key: str,
        digest: str,
        claim_id: str,
    ) -> Decision:
        """Decide a claim; ``pending`` asks for the members' acknowledgement.

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
        found = self.find(slot, key)
        if found is None:
            return self._claim_new(slot, key, digest, claim_id)
        if found.digest != digest:
            return Decision.conflict
        if found.state == ClaimState.pending:
            return self._claim_again(found, claim_id)
        if found.state == ClaimState.claimed:
            same = claim_id and found.claim_id == claim_id
            return Decision.granted if same else Decision.in_progress
        return Decision(found.state.value)

    def confirm(self, slot: int, key: str, claim_id: str) -> bool:
        """Turn a pending claim into a granted one."""
        found = self.find(slot, key)
        if found is None or found.claim_id != claim_id:
            return False
        if found.state != ClaimState.pending:
            return False
        found.state = ClaimState.claimed
        found.replicating = False
        return True

    def withdraw(self, slot: int, key: str, claim_id: str) -> None:
        """Let another send claim a key whose claim was never granted."""
        found = self.find(slot, key)
        if found is None or found.claim_id != claim_id:
            return
        if found.state == ClaimState.pending:
            found.replicating = False

    def store(self, slot: int, key: str, digest: str) -> bool:
        """Store a claim that the primary will grant; False if refused.

        The claim's identity is not kept: this member never grants it, even
        as a later primary, since the old one may have done so.
        """
        if slot < self.floor:
            return False
        found = self.find(slot, key)
        if found is None:
            keys = self._slots.setdefault(slot, {})
            keys[key] = Claim(digest, '', ClaimState.claimed)
            return True
        return found.state == ClaimState.claimed and found.digest == digest

    def settle(
        self,
        slot: int,
        key: str,
        state: ClaimState,
        answer: Answer,
    ) -> None:
        """Record how a granted claim ended; the first record counts."""
        found = self.find(slot, key)
        if found is None or found.state != ClaimState.claimed:
            return
        found.state = state
        found.answer = answer

    def release(self, slot: int, key: str, claim_id: str) -> None:
        """Undo a grant whose holder has vowed never to dispatch."""
        found = self.find(slot, key)
        if found is None or found.claim_id != claim_id:
            return
        if found.state in _RELEASABLE:
            found.state = ClaimState.pending
            found.claim_id = ''
            found.replicating = False

    def _claim_new(
        self,
        slot: int,
        key: str,
        digest: str,
        claim_id: str,
    ) -> Decision:
        keys = self._slots.setdefault(slot, {})
        if len(keys) >= self.max_keys_per_slot:
            # Full slots take no new key: each one refused stays unclaimed.
            return Decision.expired
        keys[key] = Claim(
            digest,
            claim_id,
            ClaimState.pending,
            replicating=True,
        )
        return Decision.pending

    def _claim_again(self, found: Claim, claim_id: str) -> Decision:
        if found.replicating:
            return Decision.in_progress
        found.claim_id = claim_id
        found.replicating = True
        return Decision.pending
