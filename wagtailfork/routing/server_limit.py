"""The limit on requests a second that a backend server names.

It is meant for all VMs together. Each VM uses a share of it; the shares of all
VMs add up to the whole.
"""

import math
from typing import Final

import attrs

from .token_bucket import TokenBucket

NO_LIMIT: Final = math.inf
BURST_S: Final = 0.5  # requests of this time may be sent at once
# Lets a response tell when a limit of zero ends.
MIN_REQUESTS_PER_S: Final = 0.4


@attrs.define(eq=False)
class ServerLimit:
    """Count the requests that this VM may send under the limit of a server.

    A new limit starts without credit, so a VM that learns of it late adds
    nothing to what others have sent.

    >>> limit = ServerLimit()
    >>> limit.record(4, at_s=1.0), limit.allows(now=1.0)
    (True, False)
    >>> limit.share = 0.5
    >>> limit.wait_s(now=1.0), limit.allows(now=1.5)
    (0.5, True)
    >>> limit.take(now=1.5)
    >>> limit.allows(now=1.5)
    False
    >>> limit.record(NO_LIMIT, at_s=3.0), limit.allows(now=3.0)
    (True, True)
    """

    requests_per_s: float = NO_LIMIT
    share: float = 0  # of the limit, for this VM
    told_at_s: float = 0  # when the response that told it was received
    was_named: bool = False  # now or before
    _bucket: TokenBucket = attrs.field(factory=TokenBucket)
    _named_at_s: float = 0

    @property
    def is_named(self) -> bool:
        """Return whether the server names a limit."""
        return self.requests_per_s < NO_LIMIT

    @property
    def own_requests_per_s(self) -> float:
        """Return the requests a second that this VM may send."""
        if not self.is_named:
            return NO_LIMIT
        return self.share * max(self.requests_per_s, MIN_REQUESTS_PER_S)

    def record(self, requests_per_s: float, at_s: float) -> bool:
        """Store the limit unless a newer one is known; return if it changed."""
        if at_s < self.told_at_s:
            return False
        if not self.is_named:
            self._bucket.reset(at_s)
            self._named_at_s = at_s
        changed = requests_per_s != self.requests_per_s
        self.was_named = self.was_named or requests_per_s < NO_LIMIT
        self.requests_per_s = requests_per_s
        self.told_at_s = at_s
        return changed

    def allows(self, now: float) -> bool:
        """Return whether one more request may be sent."""
        return not self.is_named or self._current().refill(now) >= 1

    def wait_s(self, now: float) -> float:
        """Return the seconds until one more request may be sent."""
        return self._current().wait_s(now) if self.is_named else 0

    def take(self, now: float) -> None:
        """Count a request that is about to be sent."""
        if self.is_named:
            self._current().take(now)

    def give_back(self, taken_at_s: float) -> None:
        """Take back a request that is not sent, if it was counted."""
        if taken_at_s >= self._named_at_s:
            self._bucket.give_back()

    def _current(self) -> TokenBucket:
        """Return the bucket with the rate and burst of this VM's share."""
        rate = self.own_requests_per_s
        self._bucket.rate = rate
        self._bucket.burst = max(1, rate * BURST_S) if rate else 0
        return self._bucket
