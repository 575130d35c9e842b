"""Record the traffic of each send by customer and backend server."""

import attrs

from ..core.clock import now_s
from ..routing.candidate import Candidate
from ..traffic.ledger import FinishedRequest, Ledger, TrafficKey
from .backend_registry import BackendRegistry
from .call import Call
from .meters import Meters


@attrs.define(eq=False, kw_only=True)
class TrafficAccounting:
    """Add each send to the traffic ledger and to the byte counters.

    A request that was sent twice counts at both servers; ``customer`` is the
    host named in the request.
    """

    ledger: Ledger
    meters: Meters
    backends: BackendRegistry

    def record(
        self,
        call: Call,
        candidate: Candidate,
        outcome: str,
        bytes_out: int,
    ) -> None:
        """Add one finished send."""
        server = self.backends.server(candidate.name)
        bytes_in = call.req.body.size
        self.meters.moved_bytes[candidate.distance.reach] += (
            bytes_in + bytes_out
        )
        self.ledger.add(
            FinishedRequest(
                key=TrafficKey(
                    customer=call.host,
                    service=call.service,
                    backend=candidate.name,
                    failure_domain=server.failure_domain if server else '',
                    result=outcome,
                ),
                bytes_in=bytes_in,
                bytes_out=bytes_out,
                time_ms=(now_s() - call.sent_at_s) * 1000,
            )
        )
