"""Quotas of customers: borrow tokens from, or lend them to, the other VMs.

The lender is one VM of the fleet. Borrowers are the coordinators of services,
and VMs that place a request themselves.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.member import rendezvous
from ..fleet.members import Membership
from ..fleet.messages import Message
from ..fleet.token_messages import TokenDraw, TokenGrant
from ..routing.queued_request import Refused
from ..routing.rate_borrower import RateBorrower
from ..routing.rate_lender import RateLender
from ..routing.shared_rate import Limits, RateLimit
from .model import Configuration
from .token_spender import QUOTA

STEP_S: Final = 0.1  # at most ten draws a second
LENDER_CHECK_S: Final = 0.3  # the choice reads the table of all VMs
LOG_INTERVAL_S: Final = 5.0
# For which a VM that was told that a customer has no tokens starts no debt.
REFUSED_S: Final = 5.0
_KEY: Final = 'shared-rates'

Send = Callable[[Message, list[str]], None]


@attrs.define(eq=False, kw_only=True)
class Quotas:
    """Spend and return the tokens of customers that have a limit."""

    membership: Membership
    configuration: Callable[[], Configuration | None]
    send: Send
    log: EventLog
    borrower: RateBorrower = attrs.field(factory=RateBorrower)
    lender: RateLender = attrs.field(factory=RateLender)
    _applied: Configuration | None = None
    _lender_address: str = ''
    _checked_s: float = -math.inf
    _logged_s: float = 0
    _drawn: float = 0
    _refused_until_s: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Exchange tokens periodically, without end."""
        while True:
            await asyncio.sleep(STEP_S)
            self.step(now_s())

    def step(self, now: float) -> None:
        """Send the draws that are due, and keep the lender up to date."""
        self._apply_configuration()
        if not self.borrower.limits:
            self.lender.step(now, is_lender=False)
            return
        if now - self._checked_s >= LENDER_CHECK_S:
            self._checked_s = now
            self._choose_lender(now)
        me = self.membership.me.address
        self.lender.step(now, is_lender=self._lender_address == me)
        for draw in self.borrower.draws(now):
            message = TokenDraw(me, draw.number, draw.rows)
            if self._lender_address == me:
                self.handle_draw(message)
            elif self._lender_address:
                self.send(message, [self._lender_address])
        self._log_drawn(now)

    def spend(self, customer: str, now: float) -> None:
        """Spend a token; raise ``Refused`` if the quota is used up."""
        self._apply_configuration()
        if customer not in self.borrower.limits:
            return
        if not self.borrower.spend(customer, now):
            wait_s = self.borrower.wait_s(customer, now)
            raise Refused(QUOTA, wait_s)

    def spend_own(self, customer: str, now: float) -> None:
        """Spend a token for a request that this VM places itself.

        If the coordinator has refused the customer lately, many VMs that each
        begin with a debt would exceed the quota.
        """
        if now < self._refused_until_s.get(customer, 0):
            if not self.borrower.holds(customer, now):
                wait_s = self.borrower.wait_s(customer, now)
                raise Refused(QUOTA, wait_s)
        self.spend(customer, now)

    def record_refused(self, customer: str, now: float) -> None:
        """Record that a coordinator had no token for a customer."""
        if customer in self.borrower.limits:
            self._refused_until_s[customer] = now + REFUSED_S

    def give_back(self, customer: str, spent_at_s: float, now: float) -> None:
        """Return the token of a request that did not run."""
        self.borrower.give_back(customer, spent_at_s, now)

    def handle_draw(self, message: TokenDraw) -> None:
        """Lend tokens to a VM."""
        self._apply_configuration()
        now = now_s()
        grants = self.lender.lend(
            message.sender, message.number, message.rows, now
        )
        if grants is None:
            return
        response = TokenGrant(message.number, grants)
        if message.sender == self.membership.me.address:
            self.handle_grant(response)
        else:
            self.send(response, [message.sender])

    def handle_grant(self, message: TokenGrant) -> None:
        """Receive tokens."""
        self._drawn += self.borrower.accept(
            message.number, message.rows, now_s()
        )

    def _apply_configuration(self) -> None:
        cfg = self.configuration()
        if cfg is self._applied:
            return
        self._applied = cfg
        limits = _limits(cfg)
        self.borrower.apply_limits(limits)
        self.lender.limits = limits
        self._refused_until_s.clear()

    def _choose_lender(self, now: float) -> None:
        membership = self.membership
        ready = [one.address for one in membership.alive(now) if one.ready]
        if membership.me.ready:
            ready.append(membership.me.address)
        chosen = rendezvous(_KEY, ready) or ''
        if chosen != self._lender_address:
            self._lender_address = chosen
            self.borrower.forget_draws()
            self.log.emit('lender_changed', lender=chosen or 'none')
        # A VM that left as planned does not count; one that is down without
        # that, or was never heard of, may still lend to others.
        lost = sum(
            one.ready or not one.heartbeat_count
            for one in membership.unreachable(now)
        )
        reached = membership.count(now)
        self.lender.fraction = reached / (reached + lost)

    def _log_drawn(self, now: float) -> None:
        if now - self._logged_s < LOG_INTERVAL_S or not self._drawn:
            return
        self.log.emit(
            'tokens_drawn',
            tokens=self._drawn,
            lender=self._lender_address,
            customers=self.borrower.size,
        )
        self._logged_s = now
        self._drawn = 0


def _limits(cfg: Configuration | None) -> Limits:
    """Return the quotas of a configuration, by the name of the customer."""
    if cfg is None or cfg.customers is None:
        return {}
    return {
        one.name: RateLimit(one.requests_per_s, one.burst)
        for one in cfg.customers
        if one.requests_per_s > 0
    }
