"""Messages between entry VMs."""

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """Open a link: say who calls and ask who answers."""

    vm: str
    incarnation: str


@attrs.frozen(kw_only=True)
class HelloReply:
    """Say who answers."""

    vm: str
    incarnation: str
    region: str
    failure_domain: str


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Ask a peer for its facts; the reply shows that it lives."""


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Answer a heartbeat with the receiver's facts and its key prefix.

    ``demands`` gives calls a second by the name of the limit they fall under.
    """

    phase: str
    offset: int
    key_prefix: str = ''
    demands: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ClaimRequest:
    """Ask a range's primary for the only right to dispatch a key."""

    primary: str  # incarnation that is addressed
    range_id: str
    slot: int
    key: str
    digest: str
    claim_id: str


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Answer a claim with a decision and the kept answer, if any."""

    decision: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class Replicate:
    """Store one claim at the other members of a view."""

    member: str  # incarnation that is addressed
    range_id: str
    view: int
    slot_now: int  # by the primary's clock
    slot: int
    key: str
    digest: str


@attrs.frozen(kw_only=True)
class Settle:
    """Record how a claimed request ended, at every member."""

    member: str
    range_id: str
    slot: int
    key: str
    claim_id: str
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class HandedClaim:
    """Carry one claim of a table that is handed over."""

    slot: int
    key: str
    digest: str
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class HandOver:
    """Carry a part of a range's table to a member of its next view."""

    member: str
    range_id: str
    slot_now: int
    floor: int
    claims: list[HandedClaim]
    is_first: bool
    is_last: bool


@attrs.frozen(kw_only=True)
class Ack:
    """Accept or refuse a message, with the result code when refused."""

    code: int = 0


@attrs.frozen(kw_only=True)
class Strike:
    """Report that a request's fingerprint was on a server that crashed."""

    fingerprint: str
    backend: str


@attrs.frozen(kw_only=True)
class Absolve:
    """Report that a request with this fingerprint was answered whole."""

    fingerprint: str


@attrs.frozen(kw_only=True)
class Running:
    """Report that a server holds a request that has no answer yet."""

    fingerprint: str
    backend: str


@attrs.frozen(kw_only=True)
class StateRequest:
    """Ask a peer for its folded state, if it is beyond an offset."""

    offset: int


@attrs.frozen(kw_only=True)
class StateReply:
    """Carry a peer's folded state, None where it is no further on."""

    state: Any = None


@attrs.frozen(kw_only=True)
class SlotWant:
    """Ask a service's dealer for slots; ``waited_ms`` is the oldest wait.

    ``lanes`` counts the requests that wait by customer, ``served`` sums
    those begun since the last want, each divided by its customer's weight.
    """

    service: str
    lanes: dict[str, int]
    served: dict[str, float]
    waited_ms: float


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Lend slots, one backend server's name for each."""

    service: str
    backends: list[str]
    sequence: int


@attrs.frozen(kw_only=True)
class SlotRecall:
    """Ask a holder for idle slots, since another VM waits for some.

    ``finish`` gives the virtual times of the customers that wait, the
    lowest first in turn.
    """

    service: str
    waited_ms: float
    finish: dict[str, float]


@attrs.frozen(kw_only=True)
class SlotReturn:
    """Give slots back to the dealer."""

    service: str
    backends: list[str]


@attrs.frozen(kw_only=True)
class SlotsHeld:
    """Tell the dealer all slots held, as of the last grant received."""

    service: str
    backends: list[str]
    sequence: int


Message = (
    Hello
    | HelloReply
    | Heartbeat
    | HeartbeatReply
    | ClaimRequest
    | ClaimReply
    | Replicate
    | Settle
    | HandOver
    | Ack
    | Strike
    | Absolve
    | Running
    | StateRequest
    | StateReply
    | SlotWant
    | SlotGrant
    | SlotRecall
    | SlotReturn
    | SlotsHeld
)
