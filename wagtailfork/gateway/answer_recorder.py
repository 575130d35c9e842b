"""Record what backend servers answer, above all what they refuse."""

import attrs

from ..core.event_log import EventLog
from ..http1.responses import BackendResponse
from ..routing.candidate import Candidate
from .call import Call
from .dialect import ResponseMetadata
from .meters import AnswerKind, Meters

_NONE = 'none'


@attrs.define(eq=False)
class AnswerRecorder:
    """Count answers by kind; log each that refuses or is skipped."""

    log: EventLog
    meters: Meters

    def record(
        self,
        call: Call,
        candidate: Candidate,
        response: BackendResponse,
        metadata: ResponseMetadata,
        *,
        first: bool,
    ) -> None:
        """Record an answer; ``first`` is that of its connection."""
        self._count(response, metadata, first=first)
        if not metadata.not_run:
            return
        call.refused_by.append(candidate.name)
        self.log.emit(
            'server_refused',
            important=True,
            id=call.metadata.request_id,
            server=candidate.name,
            status=response.status,
            statement=metadata.statement or _NONE,
            named=metadata.request_id or _NONE,
            first=first,
            attempt=call.sends,
        )

    def record_skipped(
        self,
        call: Call,
        server: str,
        response: BackendResponse,
        metadata: ResponseMetadata,
    ) -> None:
        """Record an answer that belongs to another request."""
        self._count(response, metadata, first=False, skipped=True)
        self.log.emit(
            'answer_skipped',
            important=True,
            id=call.metadata.request_id,
            server=server,
            status=response.status,
            statement=metadata.statement or _NONE,
            named=metadata.request_id or _NONE,
        )

    def _count(
        self,
        response: BackendResponse,
        metadata: ResponseMetadata,
        *,
        first: bool,
        skipped: bool = False,
    ) -> None:
        kind = AnswerKind(
            status=response.status,
            stated=bool(metadata.statement),
            named=metadata.request_id is not None,
            first=first,
            skipped=skipped,
        )
        self.meters.answers[kind] += 1
