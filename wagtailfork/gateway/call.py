"""State of a caller request and the result of each attempt to send it."""

import asyncio
from typing import Final

import attrs

from ..core.clock import now_s
from ..http1.backend import BackendConnection
from ..http1.request import CallerRequest
from ..http1.responses import BackendResponse
from ..routing.candidate import Candidate
from ..routing.fingerprints import fingerprint_of
from ..routing.late_binding import ServiceQueue
from ..routing.queued_request import QueuedRequest, Refused
from ..routing.routes import Route
from .dialect import RequestMetadata, ResponseMetadata
from .key_check import Identity

_SERVER_ERROR: Final = 500


@attrs.define(eq=False)
class SendResult:
    """Store the result of one attempt to send a request."""

    server: str = ''
    response: BackendResponse | None = None
    metadata: ResponseMetadata | None = None
    may_have_run: bool = False
    reason: str = ''
    refusal: Refused | None = None
    delivered: bool = False  # the server received the request, executed or not
    conn: BackendConnection | None = None  # still receiving the response body

    def discard(self) -> None:
        """Close the connection of a response that nobody will read."""
        if self.conn is not None:
            self.conn.close()
            self.conn = None

    @property
    def rejected(self) -> bool:
        """Return whether the response is to a request that did not run."""
        return self.response is not None and not self.may_have_run

    @property
    def usable(self) -> bool:
        """Return whether the response needs no retry."""
        return (
            self.response is not None and self.response.status < _SERVER_ERROR
        )


@attrs.define(eq=False)
class Call:
    """Track one request from admission to its final response."""

    req: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: str
    queue: ServiceQueue
    queued: QueuedRequest
    deadline_at_s: float
    identity: Identity  # as admitted
    fingerprint: str = ''
    trial: bool = False  # of a request in quarantine
    sends: int = 0
    tries: int = 0
    sent_at_s: float = 0
    sent_event: asyncio.Event = attrs.field(factory=asyncio.Event)
    hedge_checks: int = 0
    hedged: bool = False
    candidate: Candidate | None = None
    coordinator: str = ''  # that placed the last copy; empty if none did
    may_have_run: bool = False
    answered: bool = False  # completely, by a server that lives on
    # The caller has its final answer, so nothing may be sent any more.
    concluded: bool = False
    # Servers that stated that they did not run it, in the order of the sends.
    refused_by: list[str] = attrs.field(factory=list)

    @property
    def host(self) -> str:
        """Return the requested host without its port."""
        found = self.req.find(b'host') or b''
        return found.decode('latin-1').partition(':')[0]

    def left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_at_s - now_s()


def identify(req: CallerRequest, customer: str) -> str:
    """Return the fingerprint of a request whose body is buffered.

    Of a body that is too large for replay it covers the length, if that is
    named, and the first part.
    """
    named = req.find(b'content-length')
    host = req.find(b'host') or b''
    return fingerprint_of(
        customer,
        host.partition(b':')[0].lower(),
        req.method,
        req.target,
        # A small body is whole, and may come with a length or in chunks.
        size=None if req.body.kept else named,
        body=req.body.start(),
    )
