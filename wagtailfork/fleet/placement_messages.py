"""Messages between a VM and the coordinator of a service.

The coordinator places the requests of all VMs of its failure domain. A VM
numbers its placements; the number and the VM's address identify one.
"""

import enum

import attrs

from .limit_rows import LimitRow
from .load_rows import LoadRow


class Outcome(enum.IntEnum):
    """How the use of a placement ended, for the server's error share."""

    unknown = 0  # not sent, or cancelled
    succeeded = 1
    failed = 2
    unreachable = 3


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """Request a server for one request; times are relative to the sending.

    A repeated message asks whether the coordinator still has the request.
    ``connected`` names servers to which the VM has an idle connection.
    """

    sender: str
    number: int
    service: str
    rank: int
    age_ms: int
    objective_ms: int
    deadline_ms: int
    service_ms: float
    kilobytes: int
    excluded: tuple[str, ...] = ()
    connected: tuple[str, ...] = ()
    customer: str = ''
    regions: tuple[str, ...] = ()  # that may serve it; all if empty


@attrs.frozen
class Placed:
    """Grant a slot of a server.

    ``coordinator`` takes the slot back; empty if it is the one asked.
    """

    number: int
    server: str
    coordinator: str = ''


@attrs.frozen
class PlacementQueued:
    """Report that a request waits for a slot, and how many others do."""

    number: int
    waiting: int


@attrs.frozen
class PlacementDeclined:
    """Report that no server can answer in time."""

    number: int
    reason: str
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class PlacementEnded:
    """Return a slot with the state of its server, or stop waiting.

    ``not_run`` also returns the token of the customer.
    """

    sender: str
    number: int
    outcome: Outcome = Outcome.unknown
    load: LoadRow | None = None
    limit: LimitRow | None = None
    not_run: bool = False


PlacementMessage = (
    PlacementRequest
    | Placed
    | PlacementQueued
    | PlacementDeclined
    | PlacementEnded
)
