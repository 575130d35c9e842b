"""The tokens of one rate that a borrower holds."""

import math
from typing import Final

import attrs

from .shared_rate import BORROWER_SILENCE_S, LEASE_S, TOKEN_LIFE_S

# For which the token of a request that did not run is of use again. Tokens of
# requests that waited longer would add to those of a later window.
RETURN_S: Final = 1.0
MAX_ACCRUED_S: Final = 0.4  # of the lease
LOT_S: Final = 0.1  # tokens of so near times expire together
# Before the first grant a second request may follow at once.
FIRST_ROOM: Final = 1.0
DEMAND_S: Final = 1.0  # time constant of the demand


@attrs.define(eq=False)
class TokenStock:
    """Hold tokens with their time, or a debt, and the demand for them.

    >>> stock = TokenStock()
    >>> stock.spend(); stock.level(now=0)
    -1
    >>> stock.add(3, at_s=0); stock.level(now=1), stock.level(now=2)
    (2, 0)
    """

    lease: float = 0  # rate while there is no grant
    leased_at_s: float = 0
    told_room: float = 0  # tokens that may be owed until the next grant
    accrued_at_s: float = 0
    used_at_s: float = 0
    drawn_at_s: float = 0
    drawing: bool = False  # a draw has no answer yet
    _debt: float = 0
    _lots: list[tuple[float, float]] = attrs.field(factory=list)  # time, tokens
    _demand: float = 0
    _demand_at_s: float = 0

    def level(self, now: float) -> float:
        """Return the tokens left, negative if some are owed."""
        while self._lots and now - self._lots[0][0] >= TOKEN_LIFE_S:
            self._lots.pop(0)
        self._accrue(now)
        return self._sum() - self._debt

    def valid_lease(self, now: float) -> float:
        """Return the lease, 0 once it has ended."""
        return self.lease if now - self.leased_at_s < LEASE_S else 0

    def room(self, now: float) -> float:
        """Return the tokens that may be owed before a request.

        They are few before the first grant, and none if the last one is old.
        """
        if not self.leased_at_s:
            return FIRST_ROOM
        if now - self.leased_at_s >= BORROWER_SILENCE_S:
            return 0
        return self.told_room

    def spend(self) -> None:
        """Spend the oldest token, on debt if there is no whole one."""
        self._debt += 1 - self.remove(1)

    def remove(self, tokens: float) -> float:
        """Remove tokens, the oldest first; return how many there were."""
        left = tokens
        while self._lots and left > 0:
            at_s, lot = self._lots.pop(0)
            if lot > left:
                self._lots.insert(0, (at_s, lot - left))
                return tokens
            left -= lot
        return tokens - left

    def add(self, tokens: float, at_s: float) -> None:
        """Add tokens of a time, after the debt is paid."""
        paid = min(self._debt, tokens)
        self._debt -= paid
        tokens -= paid
        if tokens <= 0:
            return
        if self._lots and abs(at_s - self._lots[-1][0]) < LOT_S:
            last_s, lot = self._lots.pop()
            self._lots.append((min(last_s, at_s), lot + tokens))
        else:
            self._lots.append((at_s, tokens))
            self._lots.sort()

    def scale(self, factor: float) -> None:
        """Keep a part of the tokens and of the lease."""
        self._lots = [(at_s, lot * factor) for at_s, lot in self._lots]
        self.lease *= factor
        self.told_room *= factor

    def count_request(self, now: float) -> None:
        """Count a request, admitted or not."""
        self._demand = self.demand(now) + 1 / DEMAND_S
        self._demand_at_s = now
        self.used_at_s = now

    def demand(self, now: float) -> float:
        """Return the requests a second of late."""
        since_s = max(0, now - self._demand_at_s)
        return self._demand * math.exp(-since_s / DEMAND_S)

    def _accrue(self, now: float) -> None:
        """Earn the lease for the time without a grant, while it is valid."""
        start_s = max(self.accrued_at_s, self.leased_at_s + BORROWER_SILENCE_S)
        end_s = min(now, self.leased_at_s + LEASE_S)
        self.accrued_at_s = max(self.accrued_at_s, now)
        if not self.lease or end_s <= start_s:
            return
        room = max(1, self.lease * MAX_ACCRUED_S) - (self._sum() - self._debt)
        earned = min(room, self.lease * (end_s - start_s))
        if earned > 0:
            self.add(earned, now)

    def _sum(self) -> float:
        return sum(lot for _, lot in self._lots)
