"""Record and log the limits that backend servers name in their responses."""

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..routing.candidate import Candidate
from ..routing.server_limit import NO_LIMIT


@attrs.define(eq=False)
class LimitRecorder:
    """Record limits; log each change with its source."""

    log: EventLog

    def record_response(
        self, candidate: Candidate, limit: float | None, request_id: str
    ) -> None:
        """Record what the response to a request tells of the limit."""
        if limit is None:
            self.log.emit(
                'limit_unreadable',
                important=True,
                id=request_id,
                server=candidate.name,
            )
            return
        self._record(candidate, limit, source='response', request_id=request_id)

    def record_probe(self, candidate: Candidate, limit: float | None) -> None:
        """Record the limit in the response to a probe, if it names one."""
        if limit is not None and limit < NO_LIMIT:
            self._record(candidate, limit, source='probe')

    def _record(
        self,
        candidate: Candidate,
        limit: float,
        *,
        source: str,
        request_id: str = '',
    ) -> None:
        before = candidate.limit.requests_per_s
        if candidate.limit.record(limit, now_s()):
            self.log.emit(
                'limit_changed',
                important=True,
                id=request_id or 'none',
                server=candidate.name,
                limit=limit,
                before=before,
                source=source,
            )
