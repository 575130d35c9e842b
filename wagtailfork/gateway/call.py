"""One request of a caller on its way, and how its sends ended."""

import asyncio
import zlib
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.answers import Answer
from ..http1.backend import BackendConnection
from ..http1.request import CallerRequest
from ..routing.candidate import Candidate
from ..routing.late_binding import ServiceQueue
from ..routing.routes import Route
from ..routing.ticket import Refused, Ticket
from .dialect import AnswerFacts, RequestFacts

_SERVER_ERROR: Final = 500


@attrs.define(eq=False)
class SendResult:
    """Hold how one send of a request ended."""

    server: str = ''
    answer: Answer | None = None
    facts: AnswerFacts | None = None
    may_have_run: bool = False
    reason: str = ''
    refusal: Refused | None = None
    delivered: bool = False  # the server got the request, run or not
    conn: BackendConnection | None = None  # on which the answer still comes

    @property
    def usable(self) -> bool:
        """Tell whether the answer can go to the caller as it is."""
        return self.answer is not None and self.answer.status < _SERVER_ERROR


@attrs.define(eq=False)
class Call:
    """Hold a request, its route and what was done for it."""

    req: CallerRequest
    facts: RequestFacts
    route: Route
    service: str
    queue: ServiceQueue
    ticket: Ticket
    deadline_at_s: float
    fingerprint: str = ''
    sends: int = 0
    tries: int = 0
    sent_at_s: float = 0
    dispatched: asyncio.Event = attrs.field(factory=asyncio.Event)
    hedge_checks: int = 0
    hedged: bool = False
    candidate: Candidate | None = None
    may_have_run: bool = False

    @property
    def host(self) -> str:
        """Give the host that the caller asked, without a port."""
        found = self.req.find(b'host') or b''
        return found.decode('latin-1').partition(':')[0]

    def left_s(self) -> float:
        """Give the seconds until the deadline."""
        return self.deadline_at_s - now_s()


def fingerprint_of(req: CallerRequest) -> str:
    """Name a request by its method, host, target and body."""
    host = req.find(b'host') or b''
    parts = (req.method, host, req.target)
    digest = zlib.crc32(b' '.join(parts))
    if req.body.complete and req.body.replayable:
        digest = zlib.crc32(req.body.whole(), digest)
    return f'{digest:08x}'
