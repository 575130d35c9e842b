"""Record and log the limits that backend servers name in their responses."""

from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..fleet.limit_rows import LimitRow
from ..routing.candidate import Candidate
from ..routing.server_limit import NO_LIMIT

_MS: Final = 1000


@attrs.define(eq=False)
class LimitRecorder:
    """Record limits; log each change with its source."""

    log: EventLog
    on_changed: Callable[[Candidate], None]

    def record_response(
        self, candidate: Candidate, limit: float | None, request_id: str
    ) -> None:
        """Record what the response to a request tells of the limit."""
        candidate.has_responded = True
        if limit is None:
            self.log.emit(
                'limit_unreadable',
                important=True,
                id=request_id,
                server=candidate.name,
            )
            return
        self._record(
            candidate, limit, now_s(), source='response', request_id=request_id
        )

    def record_probe(self, candidate: Candidate, limit: float | None) -> None:
        """Record the limit in the response to a probe, if it names one."""
        if limit is not None and limit < NO_LIMIT:
            self._record(candidate, limit, now_s(), source='probe')

    def record_row(self, candidate: Candidate, row: LimitRow) -> None:
        """Record what a response to another VM told."""
        at_s = now_s() - row.age_ms / _MS
        self._record(candidate, row.requests_per_s, at_s, source='vm')

    def _record(
        self,
        candidate: Candidate,
        limit: float,
        at_s: float,
        *,
        source: str,
        request_id: str = '',
    ) -> None:
        before = candidate.limit.requests_per_s
        if candidate.limit.record(limit, at_s):
            self.on_changed(candidate)
            self.log.emit(
                'limit_changed',
                important=True,
                id=request_id or 'none',
                server=candidate.name,
                limit=limit,
                before=before,
                source=source,
            )
