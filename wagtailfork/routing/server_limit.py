"""The limit on requests a second that a backend server names."""

import math
from typing import Final

import attrs

NO_LIMIT: Final = math.inf


@attrs.define(eq=False)
class ServerLimit:
    """Hold the limit of one server, in requests a second from all VMs.

    >>> limit = ServerLimit()
    >>> limit.record(4.5, now=1.0), limit.record(4.5, now=2.0)
    (True, False)
    >>> limit.is_named, limit.age_ms(now=2.5)
    (True, 500.0)
    >>> limit.record(NO_LIMIT, now=3.0), limit.is_named
    (True, False)
    """

    requests_per_s: float = NO_LIMIT
    at_s: float = 0  # of the last response that told it

    @property
    def is_named(self) -> bool:
        """Return whether the server names a limit."""
        return self.requests_per_s < NO_LIMIT

    def record(self, requests_per_s: float, now: float) -> bool:
        """Store what a response tells; return whether the limit changed."""
        changed = requests_per_s != self.requests_per_s
        self.requests_per_s = requests_per_s
        self.at_s = now
        return changed

    def age_ms(self, now: float) -> float:
        """Return the milliseconds since a response told the limit."""
        return (now - self.at_s) * 1000
