"""The requests that a cold backend server tolerates.

The rate is meant for all VMs together; each VM uses a share of it.
"""

import math
from typing import Final

import attrs

from .token_bucket import TokenBucket

# Requests that may be sent at once from the failure domain of the server, and
# from another one. The sum over the domains of a region has to stay below the
# 8 requests that the users allow beyond the rate.
NEAR_BURST: Final = 2.0
BURST: Final = 1.0


@attrs.define(eq=False)
class WarmUp:
    """Count the requests that this VM may send to a cold server.

    A server that becomes cold, and a share that begins, start without credit.

    >>> warm_up = WarmUp(requests_per_s=4)
    >>> warm_up.start(until_s=9.0, now=0), warm_up.allows(now=1)
    (None, False)
    >>> warm_up.apply_share(0.5, now=1)
    >>> warm_up.wait_s(now=1.25), warm_up.allows(now=1.5)
    (0.25, True)
    >>> warm_up.is_active(now=9), warm_up.allows(now=9)
    (False, True)
    """

    requests_per_s: float = 0  # of all VMs; 0 if the service names none
    until_s: float = 0  # when the server is warm
    stated_at_s: float = 0  # when this VM heard that it is cold
    share: float = 0
    burst: float = BURST
    _since_s: float = 0
    _bucket: TokenBucket = attrs.field(factory=TokenBucket)

    def is_active(self, now: float) -> bool:
        """Return whether the server is cold and its rate limited."""
        return bool(self.requests_per_s) and now < self.until_s

    def start(self, until_s: float, now: float) -> None:
        """Record until when the server is cold."""
        if now >= self.until_s:
            self._since_s = now
            self._bucket.reset(now)
        self.until_s = until_s
        self.stated_at_s = now

    def apply_share(self, share: float, now: float) -> None:
        """Use another share from now on."""
        if share == self.share:
            return
        if self.share:
            self._current().refill(now)
        else:
            self._bucket.reset(now)
        self.share = share

    def requests_per_s_now(self, now: float) -> float:
        """Return the requests a second that this VM may send."""
        if not self.is_active(now):
            return math.inf
        return self.requests_per_s * self.share

    def allows(self, now: float) -> bool:
        """Return whether one more request may be sent."""
        return not self.is_active(now) or self._current().refill(now) >= 1

    def wait_s(self, now: float) -> float:
        """Return the seconds until one more request may be sent."""
        if not self.is_active(now):
            return 0
        return min(self._current().wait_s(now), max(0, self.until_s - now))

    def take(self, now: float) -> None:
        """Count a request that is about to be sent."""
        if self.is_active(now):
            self._current().take(now)

    def give_back(self, taken_at_s: float) -> None:
        """Take back a request that is not sent, if it was counted."""
        if self._since_s <= taken_at_s < self.until_s:
            self._bucket.give_back()

    def _current(self) -> TokenBucket:
        self._bucket.rate = self.requests_per_s * self.share
        self._bucket.burst = self.burst if self.share else 0
        return self._bucket
