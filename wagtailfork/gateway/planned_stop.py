"""Which requests a VM may still send to backend servers while it stops."""

import attrs

from ..core.settings import GatewaySettings


@attrs.define(eq=False)
class PlannedStop:
    """Allow late requests only if they end before the process does.

    >>> stop = PlannedStop(accepts_s=3, limit_s=6)
    >>> stop.may_send(deadline_at_s=99, now=10)
    True
    >>> stop.begin(now=10)
    >>> stop.may_send(deadline_at_s=99, now=12.9)
    True
    >>> stop.may_send(deadline_at_s=99, now=13)
    False
    >>> stop.may_send(deadline_at_s=15, now=13)
    True
    """

    accepts_s: float  # while callers may have this VM's address
    limit_s: float  # after which requests are broken off
    started_s: float | None = None

    @classmethod
    def from_settings(cls, cfg: GatewaySettings) -> 'PlannedStop':
        """Create the state of a VM that is not stopping."""
        return cls(cfg.stop_accepts_s, cfg.stop_limit_s)

    def begin(self, now: float) -> None:
        """Start the stop."""
        self.started_s = now

    def may_send(self, deadline_at_s: float, now: float) -> bool:
        """Return whether a request with this deadline may be sent now."""
        if self.started_s is None or now < self.started_s + self.accepts_s:
            return True
        return deadline_at_s <= self.started_s + self.limit_s
