"""Messages between entry VMs."""

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """Open a link with the sender's identity and ask for the receiver's."""

    vm: str
    incarnation: str


@attrs.frozen(kw_only=True)
class HelloReply:
    """Reply to ``Hello`` with the receiver's identity and location."""

    vm: str
    incarnation: str
    region: str
    failure_domain: str


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Ask a peer for its status; the reply shows that it is alive."""


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Reply to a heartbeat with the receiver's status and key prefix.

    ``demands`` maps the name of each limit to the calls per second under it.
    """

    phase: str
    offset: int
    key_prefix: str = ''
    demands: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ClaimRequest:
    """Ask a range's primary for the exclusive right to dispatch a key."""

    primary: str  # incarnation of the receiver
    range_id: str
    slot: int
    key: str
    digest: str
    claim_id: str


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Reply to a claim with a decision and the stored response, if any."""

    decision: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class Replicate:
    """Replicate one claim from the primary to another member of a view."""

    member: str  # incarnation of the receiver
    range_id: str
    view: int
    slot_now: int  # current slot by the primary's clock
    slot: int
    key: str
    digest: str


@attrs.frozen(kw_only=True)
class Settle:
    """Record at a member how a claimed request ended."""

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
    """Hold one claim of a claim table that is handed over."""

    slot: int
    key: str
    digest: str
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class HandOver:
    """Send a part of a range's claim table to a member of its next view."""

    member: str
    range_id: str
    slot_now: int
    floor: int
    claims: list[HandedClaim]
    is_first: bool
    is_last: bool


@attrs.frozen(kw_only=True)
class Ack:
    """Acknowledge a message; ``code`` is the result code if it failed."""

    code: int = 0


@attrs.frozen(kw_only=True)
class Strike:
    """Report a request that was running on a server that crashed."""

    fingerprint: str
    backend: str


@attrs.frozen(kw_only=True)
class Absolve:
    """Report that a request with this fingerprint was answered completely."""

    fingerprint: str


@attrs.frozen(kw_only=True)
class Running:
    """Report a request that is running on a server and has no response."""

    fingerprint: str
    backend: str


@attrs.frozen(kw_only=True)
class StateRequest:
    """Ask a peer for its control state if that is beyond ``offset``."""

    offset: int


@attrs.frozen(kw_only=True)
class StateReply:
    """Reply with the control state, or None if it is not beyond ``offset``."""

    state: Any = None


@attrs.frozen(kw_only=True)
class SlotWant:
    """Ask for slots at a service's dealer, the VM that allocates them.

    ``lanes`` counts the queued requests of each customer. ``served`` counts
    the requests of each customer started since the last ``SlotWant``, divided
    by the customer's weight. ``waited_ms`` is the longest wait.
    """

    service: str
    lanes: dict[str, int]
    served: dict[str, float]
    waited_ms: float


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Lend slots; ``backends`` has one backend server's name per slot."""

    service: str
    backends: list[str]
    sequence: int


@attrs.frozen(kw_only=True)
class SlotRecall:
    """Ask a holder to return idle slots, since another VM waits for some.

    ``finish`` holds the virtual finish times of the waiting customers for
    fair queueing; the lowest is served first. ``waited_ms`` is the longest
    wait.
    """

    service: str
    waited_ms: float
    finish: dict[str, float]


@attrs.frozen(kw_only=True)
class SlotReturn:
    """Return slots to the dealer."""

    service: str
    backends: list[str]


@attrs.frozen(kw_only=True)
class SlotsHeld:
    """Report all held slots to the dealer.

    ``sequence`` is that of the last ``SlotGrant`` received.
    """

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
