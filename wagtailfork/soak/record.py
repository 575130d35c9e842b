"""What callers and backend servers saw of each request, and its verdict."""

from collections import Counter
from typing import Final

import attrs

from .answers import Answer

# Statuses that promise that the request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))
_SUCCESS: Final = frozenset(range(200, 300))  # noqa: WPS432
NO_ANSWER: Final = 0
MAX_QUOTED_BYTES: Final = 40


@attrs.frozen
class Visit:
    """Hold that a request reached a server, or began to run there."""

    at_s: float
    server: str
    service: str = ''
    leaving_since_s: float | None = None  # when the server said that it leaves
    zone: str = ''
    customer: str = ''  # that the server was told
    keyed: bool = False  # the server saw a key


@attrs.define(eq=False)
class RequestRecord:
    """Hold what was seen of one request."""

    request_id: str
    kind: str
    gateway: str
    sent_s: float
    deadline_s: float
    key: str = ''  # that the caller sent
    route: str = ''  # if it is one of those that change
    arrivals: list[Visit] = attrs.field(factory=list)
    runs: list[Visit] = attrs.field(factory=list)
    # Whole bodies of the successes that servers sent.
    bodies: set[bytes] = attrs.field(factory=set)
    status: int = NO_ANSWER
    answered_s: float = 0
    left: bool = False  # the caller closed its connection first
    cut_s: float = 0  # when the connection ended without an answer
    # It stood behind an answer that closed the connection.
    unread: bool = False
    endless: bool = False  # a server sent bytes without end
    fault: str = ''  # of the answer

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.kind == 'look'

    @property
    def may_come_again(self) -> bool:
        """Return whether it was refused and, so far, has not run."""
        return self.status in PROMISES and not self.runs

    def broken_rule(self) -> str:
        """Return the name of the rule that was broken, empty if none was."""
        if self.fault:
            return 'MIXED'
        if self.repeatable:
            return ''
        if self.unread and self.runs:
            return 'UNREAD'
        if len(self.runs) > 1:
            return 'TWICE'
        if self.runs and self.status in PROMISES:
            return 'REFUSED'
        return ''

    def check_answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Record an answer and whether it belongs to the request."""
        self.status = status
        named = headers.get('request-id', self.request_id)
        if named != self.request_id:
            self.fault = f'answer of {named}'
        elif status in _SUCCESS and 'server-signature' not in headers:
            self.fault = 'success without a signature'
        elif status in _SUCCESS and body not in self.bodies:
            self.fault = f'body of {body[:MAX_QUOTED_BYTES]!r}'


@attrs.define(eq=False)
class Record:
    """Collect the requests of one run and the answers that were played."""

    requests: dict[str, RequestRecord] = attrs.field(factory=dict)
    answers: Counter[str] = attrs.field(factory=Counter)
    plays: Counter[str] = attrs.field(factory=Counter)
    disruptions: Counter[str] = attrs.field(factory=Counter)
    links: Counter[str] = attrs.field(factory=Counter)
    customers: Counter[str] = attrs.field(factory=Counter)
    # Requests that broke a rule which holds only for gateways in touch.
    late: list[tuple[str, RequestRecord]] = attrs.field(factory=list)
    judged_in_touch: int = 0
    unasked: list[str] = attrs.field(factory=list)
    # Arrivals of an id on a connection that had carried it, and at a server to
    # which its gateway had sent it, on any connection.
    returned_ids: int = 0
    repeated_ids: int = 0  # by callers
    pipelined: int = 0  # answers to requests that were sent ahead
    revisits: int = 0
    # Resident bytes of gateways beyond the memory of a small VM, and the most.
    excessive: dict[str, int] = attrs.field(factory=dict)
    peak_bytes: int = 0
    # How long the process that plays all but the gateways did not run.
    stalls_s: list[float] = attrs.field(factory=list)
    # Gateways that ended although nobody ended them.
    ended: list[str] = attrs.field(factory=list)

    def set_aside(self, refused: RequestRecord) -> None:
        """Keep the record of a refused request whose id is sent again.

        Its refusal is judged by what is known now. A run that comes later
        counts for the later send: it may be refused or run, not both.
        """
        self.repeated_ids += 1
        key = f'{refused.request_id}~{self.repeated_ids}'
        self.requests[key] = refused

    def count_answer(self, answer: Answer) -> None:
        """Count an answer that a server sent."""
        self.answers[str(answer)] += 1

    def record_arrival(self, request_id: str, visit: Visit) -> None:
        """Record that a request reached a server."""
        seen = self.requests.get(request_id)
        if seen is None:
            self.unasked.append(request_id)
            return
        seen.arrivals.append(visit)

    def record_run(self, request_id: str, visit: Visit) -> None:
        """Record that a server began to run a request."""
        seen = self.requests.get(request_id)
        if seen is not None:
            seen.runs.append(visit)

    @property
    def holds(self) -> bool:
        """Return whether no rule was broken."""
        found = (
            self.broken(),
            self.unasked,
            self.excessive,
            self.ended,
        )
        return not any(found)

    def statuses(self) -> Counter[str]:
        """Count the requests by kind and status, 0 without an answer."""
        return Counter(
            f'{seen.kind}/{seen.status}' for seen in self.requests.values()
        )

    def answered(self) -> int:
        """Count the requests that got an answer."""
        return sum(seen.status != NO_ANSWER for seen in self.requests.values())

    def broken(self) -> list[tuple[str, RequestRecord]]:
        """Return each request that broke a rule, with the rule."""
        found = list(self.late)
        for seen in self.requests.values():
            rule = seen.broken_rule()
            if rule:
                found.append((rule, seen))
        return found
