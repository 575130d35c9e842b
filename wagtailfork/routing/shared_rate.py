"""Rates that many VMs spend together: rows and times common to both sides.

One VM lends the tokens of all rates, others borrow them ahead of need. See
docs/design/shared-rates.md.
"""

from collections.abc import Mapping
from typing import Final

import attrs

TOKEN_LIFE_S: Final = 2.0  # after which a borrowed token expires
# A borrower that gets no grant accrues its lease meanwhile; the lender that
# hears nothing of it lends that much less. The lender's time is shorter by
# more than the one-way delay, so that its reduction begins first.
LENDER_SILENCE_S: Final = 0.5
BORROWER_SILENCE_S: Final = 0.6
# Other regions count as down after 8 s, and a new lender waits TAKEOVER_S.
LEASE_S: Final = 11.0
TAKEOVER_S: Final = 2.0


@attrs.frozen
class RateLimit:
    """Hold a limit for all VMs together; a rate of 0 is no limit."""

    rate: float
    burst: float = 0


@attrs.frozen(kw_only=True)
class DrawRow:
    """Request tokens of one rate, or return some if ``wanted`` is negative.

    ``stock`` is what the borrower holds, without what it returns; negative if
    it owes some. ``demand`` is the rate of its requests, refused ones included.
    ``lease`` is the one that is valid, from this lender or another one.
    """

    name: str
    stock: float
    wanted: float
    demand: float
    lease: float = 0


@attrs.frozen(kw_only=True)
class GrantRow:
    """Grant tokens, and a lease: the rate without any grant.

    ``room`` is what the borrower may owe until the next grant.
    """

    name: str
    granted: float
    lease: float
    room: float = 0


Limits = Mapping[str, RateLimit]
