"""A backend server that requests may be sent to."""

from typing import Final

import attrs

from .load import ServerLoad
from .server_limit import ServerLimit
from .warm_up import WarmUp
from .worth import Distance

# A report up to this age is used without a probe. A twelfth of the time for
# which a slowdown on a shared VM lasts; at most 40 probes a second to a server.
FRESH_REPORT_S: Final = 0.025
# Above this round trip, a probe before each request costs too much time.
MAX_PROBE_ROUND_TRIP_S: Final = 0.01


@attrs.define(eq=False)
class Candidate:
    """Hold the load, distance and state of one backend server."""

    name: str
    address: str
    load: ServerLoad
    distance: Distance = attrs.field(factory=Distance)
    warm_at_s: float = 0
    draining: bool = False
    reports_load: bool = True  # False once a probe returned no load
    new_until_s: float = 0
    connected_until_s: float = 0  # until then, an idle connection is reusable
    failure_domain: str = ''
    region: str = ''
    evacuated: bool = False  # nothing may be sent to its failure domain
    service: str = ''
    limit: ServerLimit = attrs.field(factory=ServerLimit)
    warm_up: WarmUp = attrs.field(factory=WarmUp)
    wait_until_s: float = 0  # until then, it wants no request from this VM
    has_responded: bool = False  # to a request of this VM or of a neighbour

    def is_barred(self, regions: frozenset[str]) -> bool:
        """Return whether a request for ``regions`` may not be sent to it.

        All regions are allowed if ``regions`` is empty.
        """
        if self.evacuated:
            return True
        return bool(regions) and self.region not in regions

    def is_usable(self, regions: frozenset[str]) -> bool:
        """Return whether new requests for ``regions`` may be placed on it."""
        return not (self.draining or self.is_barred(regions))

    def is_free(self, now: float) -> bool:
        """Return whether a slot is free and the limits allow a request."""
        if self._is_unknown() and self.load.own_in_flight:
            return False
        slot_free = self.load.estimated_requests(now) < self.load.slots
        if not slot_free or not self.limit.allows(now):
            return False
        return self.warm_up.allows(now)

    def limit_wait_s(self, now: float) -> float:
        """Return the seconds until the limits allow a request."""
        return max(self.limit.wait_s(now), self.warm_up.wait_s(now))

    def own_requests_per_s(self, now: float) -> float:
        """Return the requests a second that the limits leave to this VM."""
        return min(
            self.limit.own_requests_per_s, self.warm_up.requests_per_s_now(now)
        )

    def wants_wait(self, now: float) -> bool:
        """Return whether the server wants no request from this VM yet."""
        return now < self.wait_until_s

    def begin(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self.load.begin()
        self.limit.take(now)
        self.warm_up.take(now)

    def give_back(self, begun_at_s: float) -> None:
        """Take back a request that was counted and is not sent."""
        self.load.end()
        self.limit.give_back(begun_at_s)
        self.warm_up.give_back(begun_at_s)

    def needs_probe(self, now: float) -> bool:
        """Return whether to probe the server before sending a request."""
        if not self.reports_load or self._is_distant():
            return False
        report = self.load.report
        return report is None or now - report.at_s > FRESH_REPORT_S

    def _is_distant(self) -> bool:
        return self.distance.round_trip_s > MAX_PROBE_ROUND_TRIP_S

    def _is_unknown(self) -> bool:
        """Return whether the first response could still name a limit.

        Other servers are probed before the first request.
        """
        return self._is_distant() and not self.has_responded
