"""A backend server that requests may be sent to."""

from typing import Final

import attrs

from .load import ServerLoad
from .server_limit import ServerLimit
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
    limit: ServerLimit = attrs.field(factory=ServerLimit)

    def needs_probe(self, now: float) -> bool:
        """Return whether to probe the server before sending a request."""
        if (
            not self.reports_load
            or self.distance.round_trip_s > MAX_PROBE_ROUND_TRIP_S
        ):
            return False
        report = self.load.report
        return report is None or now - report.at_s > FRESH_REPORT_S
