"""Lend the tokens of rates that many VMs spend together."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from .shared_rate import (
    LEASE_S,
    LENDER_SILENCE_S,
    TAKEOVER_S,
    TOKEN_LIFE_S,
    DrawRow,
    GrantRow,
    Limits,
    RateLimit,
)
from .token_bucket import TokenBucket

# The users allow a tenth and 20 requests more than the limit in 5 s. Tokens
# lent and not spent, with those in the bucket, use this much of it; the rest
# is for the debts of borrowers.
EXTRA_S: Final = 0.5  # of the rate
EXTRA_TOKENS: Final = 4.0
# A borrower gets at most this part of the credit ahead of need, so that the
# first ones to ask leave some to the others.
STOCKING_SHARE: Final = 0.25
# All borrowers together may owe this part of the credit until their next draws.
# With stocks for 0.4 s and half of the credit, 0.13 % of the requests of 86
# customers below their quotas were refused, with these figures 0.06 %.
ROOM_SHARE: Final = 1.0
LEASE_MARGIN: Final = 1.7  # on the demand, for customers at 0.6 of a quota
# Lent by a new lender in any case, for customers that call now and then.
MIN_INHERITED: Final = 1.5
PAUSE_S: Final = 1.0  # a lender that did not run for so long starts again
SWEEP_S: Final = 0.5
IDLE_S: Final = 30.0
MAX_KEPT_GRANTS: Final = 8  # of a borrower, for draws that are repeated
# A number so far below the latest one is of a restarted borrower.
NUMBER_WINDOW: Final = 1000


@attrs.define(eq=False)
class _Loan:
    """Hold what one borrower has of a rate."""

    held: float = 0
    demand: float = 0
    lease: float = 0
    heard_s: float = 0
    brought: float = 0  # the lease of an earlier lender

    def is_silent(self, now: float) -> bool:
        return now - self.heard_s >= LENDER_SILENCE_S

    def outstanding(self, now: float) -> float:
        """Return the tokens that the borrower may still spend."""
        if now - self.heard_s >= TOKEN_LIFE_S:
            return 0
        return max(0, self.held)


@attrs.define(eq=False)
class _Account:
    """Hold the bucket of one rate and what was lent of it."""

    bucket: TokenBucket
    loans: dict[str, _Loan] = attrs.field(factory=dict)
    used_s: float = 0
    # Until the leases of an earlier lender have ended, it may lend the rest of
    # the rate to borrowers that still take it for the lender.
    inherited_until_s: float = 0

    def rate(self, limit: RateLimit, fraction: float, now: float) -> float:
        """Return the rate that is lent, to silent borrowers as well."""
        rate = limit.rate * fraction
        if now >= self.inherited_until_s:
            return rate
        inherited = self._inherited()
        return min(rate, max(inherited, MIN_INHERITED)) if inherited else rate

    def refill(self, limit: RateLimit, fraction: float, now: float) -> None:
        """Earn tokens, less what silent borrowers accrue by their leases."""
        silent = sum(
            loan.lease for loan in self.loans.values() if loan.is_silent(now)
        )
        lent = sum(loan.outstanding(now) for loan in self.loans.values())
        bucket = self.bucket
        bucket.rate = max(0, self.rate(limit, fraction, now) - silent)
        bucket.burst = max(0, capacity(limit) * fraction - lent)
        bucket.refill(now)
        expired = [
            sender
            for sender, loan in self.loans.items()
            if now - loan.heard_s >= LEASE_S
        ]
        for sender in expired:
            self.loans.pop(sender)

    def lend(
        self, sender: str, row: DrawRow, limit: float, now: float
    ) -> GrantRow:
        """Serve one row of a draw; ``limit`` is the rate that is lent."""
        loan = self.loans.get(sender)
        if loan is None:
            loan = _Loan(brought=row.lease)
            self.loans[sender] = loan
        returned = min(max(0, -row.wanted), max(0, loan.held))
        bucket = self.bucket
        bucket.give_back(returned)
        owed = min(max(0, -row.stock), max(0, row.wanted))
        granted = min(bucket.credit, owed)
        ahead = max(0, row.wanted - owed)
        granted += min(ahead, (bucket.credit - granted) * STOCKING_SHARE)
        bucket.give_back(-granted)
        loan.held = row.stock + granted
        loan.demand = row.demand
        loan.heard_s = now
        loan.lease = self._lease(loan, limit)
        self.used_s = now
        if not (row.demand or loan.held):
            self.loans.pop(sender)
        return GrantRow(
            name=row.name,
            granted=granted,
            lease=loan.lease,
            room=max(0, bucket.credit) * ROOM_SHARE / (len(self.loans) or 1),
        )

    def _inherited(self) -> float:
        """Return the leases that borrowers brought.

        Those that brought none count as much, in proportion to their demand.
        """
        brought = sum(loan.brought for loan in self.loans.values())
        total = sum(loan.demand for loan in self.loans.values())
        of_them = sum(
            loan.demand for loan in self.loans.values() if loan.brought
        )
        return brought * total / of_them if of_them else brought

    def _lease(self, loan: _Loan, limit: float) -> float:
        """Return a share by demand; those of all borrowers fit the limit."""
        if not loan.demand:
            return 0
        total = sum(other.demand for other in self.loans.values())
        others = sum(
            other.lease for other in self.loans.values() if other is not loan
        )
        share = min(limit * loan.demand / total, limit - others)
        return max(0, min(share, LEASE_MARGIN * loan.demand))


@attrs.define(eq=False)
class _Borrower:
    """Keep the latest grants to a borrower, by the number of the draw."""

    grants: OrderedDict[int, list[GrantRow]] = attrs.field(factory=OrderedDict)
    latest: int = 0
    heard_s: float = 0


@attrs.define(eq=False)
class RateLender:
    """Lend tokens while this VM is the lender.

    ``step`` is called often. A lender starts without credit after a time in
    which the one before it has noticed the change.
    """

    limits: Limits = attrs.field(factory=dict)
    fraction: float = 1.0  # of all VMs that are reached
    _since_s: float | None = None
    _stepped_s: float = 0
    _swept_s: float = 0
    _accounts: dict[str, _Account] = attrs.field(factory=dict)
    _borrowers: dict[str, _Borrower] = attrs.field(factory=dict)

    @property
    def size(self) -> int:
        """Count the rates of which state is kept."""
        return len(self._accounts)

    def step(self, now: float, *, is_lender: bool) -> None:
        """Start or end lending; drop what is not used any more."""
        if not is_lender:
            self._since_s = None
        elif self._since_s is None or now - self._stepped_s > PAUSE_S:
            self._accounts.clear()
            self._borrowers.clear()
            self._since_s = now + TAKEOVER_S
        self._stepped_s = now
        if now - self._swept_s >= SWEEP_S:
            self._swept_s = now
            self._sweep(now)

    def is_lending(self, now: float) -> bool:
        """Return whether this VM lends, and was not suspended meanwhile."""
        if self._since_s is None or now - self._stepped_s > PAUSE_S:
            return False
        return now >= self._since_s

    def lend(
        self, sender: str, number: int, rows: Iterable[DrawRow], now: float
    ) -> list[GrantRow] | None:
        """Return the grants for a draw, None if there is no answer to it.

        A repeated draw gets the same grants and nothing is lent again.
        """
        if not self.is_lending(now):
            return None
        borrower = self._borrowers.setdefault(sender, _Borrower())
        if borrower.latest - number >= NUMBER_WINDOW:
            borrower.grants.clear()
            borrower.latest = 0
        borrower.heard_s = now
        known = borrower.grants.get(number)
        if known is not None or number <= borrower.latest - MAX_KEPT_GRANTS:
            return known
        borrower.latest = max(borrower.latest, number)
        grants = [
            self._lend_row(sender, row, now)
            for row in rows
            if row.name in self.limits
        ]
        borrower.grants[number] = grants
        if len(borrower.grants) > MAX_KEPT_GRANTS:
            borrower.grants.pop(min(borrower.grants))
        return grants

    def _lend_row(self, sender: str, row: DrawRow, now: float) -> GrantRow:
        limit = self.limits[row.name]
        account = self._accounts.get(row.name)
        if account is None:
            since_s = self._since_s or now
            account = _Account(
                TokenBucket(refilled_at_s=since_s),
                inherited_until_s=since_s + LEASE_S,
            )
            self._accounts[row.name] = account
        account.refill(limit, self.fraction, now)
        rate = account.rate(limit, self.fraction, now)
        return account.lend(sender, row, rate, now)

    def _sweep(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            limit = self.limits.get(name)
            if limit is None or _is_idle(account, limit, now):
                self._accounts.pop(name)
            else:
                account.refill(limit, self.fraction, now)
        for sender, borrower in list(self._borrowers.items()):
            if now - borrower.heard_s >= LEASE_S:
                self._borrowers.pop(sender)


def capacity(limit: RateLimit) -> float:
    """Return the tokens that may be unspent at once, lent or not.

    >>> capacity(RateLimit(10, burst=5))
    14.0
    """
    return limit.burst + EXTRA_S * limit.rate + EXTRA_TOKENS


def _is_idle(account: _Account, limit: RateLimit, now: float) -> bool:
    """Return whether a new account would have the same credit, all of it."""
    full_s = 2 * capacity(limit) / limit.rate
    return not account.loans and now - account.used_s >= max(IDLE_S, full_s)
