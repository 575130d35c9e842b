"""A token bucket; the time is passed in."""

import math

import attrs


@attrs.define(eq=False)
class TokenBucket:
    """Earn ``rate`` tokens a second, of which ``burst`` are kept.

    The rate and the burst of the moment apply to the time since the last
    refill.

    >>> bucket = TokenBucket(rate=2, burst=1)
    >>> bucket.refill(now=0.25), bucket.wait_s(now=0.25)
    (0.5, 0.25)
    >>> bucket.refill(now=9.0)
    1
    >>> bucket.take(now=9.0)
    >>> bucket.wait_s(now=9.0)
    0.5
    """

    rate: float = 0
    burst: float = 0
    credit: float = 0
    refilled_at_s: float = 0

    def reset(self, now: float) -> None:
        """Start again without credit."""
        self.credit = 0
        self.refilled_at_s = now

    def refill(self, now: float) -> float:
        """Add the tokens earned since the last refill; return the credit."""
        earned = max(0, now - self.refilled_at_s) * self.rate
        self.credit = min(self.burst, self.credit + earned)
        self.refilled_at_s = max(now, self.refilled_at_s)
        return self.credit

    def take(self, now: float, tokens: float = 1) -> None:
        """Take tokens, on credit if there are too few."""
        self.credit = self.refill(now) - tokens

    def give_back(self, tokens: float = 1) -> None:
        """Return tokens; the next refill drops those beyond the burst."""
        self.credit += tokens

    def wait_s(self, now: float) -> float:
        """Return the seconds until a whole token can be taken."""
        credit = self.refill(now)
        if credit >= 1:
            return 0
        return (1 - credit) / self.rate if self.rate else math.inf
