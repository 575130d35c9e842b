"""Record what backend servers say of themselves to this VM alone."""

from collections.abc import Callable

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..routing.candidate import Candidate
from .dialect import ResponseMetadata


@attrs.define(eq=False)
class StatementRecorder:
    """Record that a server leaves, or wants a wait; log what is unreadable."""

    log: EventLog
    on_leaving: Callable[[Candidate], None]
    on_wait: Callable[[Candidate, float], None]

    def record(self, candidate: Candidate, metadata: ResponseMetadata) -> None:
        """Record the statements in the response to a request."""
        if metadata.other_server:
            return
        self.record_leaving(candidate, metadata)
        if metadata.wait_s is None:
            self._log_unreadable(candidate, metadata, 'wait')
        elif metadata.wait_s:
            self.on_wait(candidate, now_s() + metadata.wait_s)
            self.log.emit(
                'wait_named',
                important=True,
                id=metadata.request_id or 'none',
                server=candidate.name,
                wait_s=metadata.wait_s,
            )

    def record_leaving(
        self, candidate: Candidate, metadata: ResponseMetadata
    ) -> None:
        """Record whether the server leaves, as any response says."""
        if metadata.leaving is None:
            self._log_unreadable(candidate, metadata, 'leaving')
        elif metadata.leaving and not candidate.draining:
            self.on_leaving(candidate)

    def _log_unreadable(
        self, candidate: Candidate, metadata: ResponseMetadata, what: str
    ) -> None:
        self.log.emit(
            'statement_unreadable',
            important=True,
            id=metadata.request_id or 'none',
            server=candidate.name,
            what=what,
        )
