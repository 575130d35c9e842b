"""Record what backend servers answer, above all what they refuse."""

from typing import Final

import attrs

from ..core.event_log import EventLog
from ..http1.responses import BackendResponse, InvalidStatus, ResponseError
from ..routing.candidate import Candidate
from .call import Call
from .dialect import ResponseMetadata
from .meters import AnswerKind, Meters

MAX_QUOTED_CHARS: Final = 64  # of what a server sends, in a log line
_NONE: Final = 'none'


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
        port: int,
        nth: int,
    ) -> None:
        """Record the answer to the nth request of a connection."""
        self._count(response, metadata, first=nth == 1)
        if not metadata.not_run:
            return
        call.refused_by.append(candidate.name)
        self.log.emit(
            'server_refused',
            important=True,
            id=call.metadata.request_id,
            server=candidate.name,
            status=response.status,
            statement=_quote(metadata.statement),
            named=_quote(metadata.request_id),
            port=port,
            nth=nth,
            attempt=call.sends,
        )

    def record_error(self, error: ResponseError, *, first: bool) -> None:
        """Count an answer without a valid status."""
        if isinstance(error, InvalidStatus):
            kind = AnswerKind(
                status=error.status,
                stated=False,
                named=False,
                first=first,
                skipped=False,
            )
            self.meters.answers[kind] += 1

    def record_skipped(
        self,
        call: Call,
        server: str,
        response: BackendResponse,
        metadata: ResponseMetadata,
        *,
        port: int,
    ) -> None:
        """Record an answer that belongs to another request."""
        self._count(response, metadata, first=False, skipped=True)
        self.log.emit(
            'answer_skipped',
            important=True,
            id=call.metadata.request_id,
            server=server,
            status=response.status,
            statement=_quote(metadata.statement),
            named=_quote(metadata.request_id),
            port=port,
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


def _quote(text: str | None) -> str:
    """Return the start of a text for the log.

    >>> _quote('1'), _quote(None), len(_quote('x' * 60000))
    ('1', 'none', 64)
    """
    return (text or _NONE)[:MAX_QUOTED_CHARS]
