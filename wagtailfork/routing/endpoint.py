"""State of one backend server at an entry VM."""

from typing import Final

import attrs

from ..control.objects import Backend
from ..core.lifecycle import Lifecycle, Transition

EJECT_AFTER_FAILURES: Final = 3  # in a row
MIN_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
WARM_AFTER_ANSWERS: Final = 8
_LATENCY_EWMA_WEIGHT: Final = 0.2

_LIFECYCLE: Final = Lifecycle(
    ('cold', 'warm', 'ejected', 'draining', 'gone'),
    (
        Transition('warm_up', ('cold',), 'warm'),
        Transition('eject', ('cold', 'warm'), 'ejected'),
        Transition('readmit', ('ejected',), 'cold'),
        Transition('drain', ('cold', 'warm', 'ejected'), 'draining'),
        Transition('undrain', ('draining',), 'cold'),
        Transition('remove', ('cold', 'warm', 'ejected', 'draining'), 'gone'),
    ),
)


@attrs.define(eq=False)
class Endpoint:
    """Track one backend server's state and this VM's requests there."""

    name: str
    backend: Backend
    state: str = 'cold'
    in_flight: int = 0
    held: int | None = None  # slots lent to this VM; None: not lent
    answers: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    latency_s: float = 0
    reported_load: float = 0
    draining_notice_until: float = 0  # per its own responses

    def fire(self, trigger: str) -> None:
        """Apply a lifecycle trigger."""
        _LIFECYCLE.fire(self, trigger)

    def allowance(self) -> int:
        """Return how many requests this VM may have in flight here."""
        slots = self.backend.slots if self.held is None else self.held
        if self.state == 'warm':
            return slots
        if self.state == 'cold':
            return min(slots, 1 + self.answers // 2)
        return 0

    def is_free(self) -> bool:
        """Return whether one more request may be sent now."""
        return self.in_flight < self.allowance()

    def may_have_unlent_slot(self) -> bool:
        """Return whether the server may have a free slot not lent here."""
        if self.state not in {'cold', 'warm'}:
            return False
        return self.in_flight < self.backend.slots

    def begin_request(self) -> None:
        """Count a request sent."""
        self.in_flight += 1

    def end_request(self) -> None:
        """Count a request ended."""
        self.in_flight -= 1

    def answered(self, latency_s: float) -> None:
        """Record a complete response and its latency."""
        self.answers += 1
        self.consecutive_failures = 0
        change = latency_s - self.latency_s
        self.latency_s += change * _LATENCY_EWMA_WEIGHT
        if self.state == 'cold' and self.answers >= WARM_AFTER_ANSWERS:
            self.ejections = 0
            self.fire('warm_up')

    def failed(self) -> bool:
        """Record a failure; return whether too many occurred in a row."""
        self.consecutive_failures += 1
        if self.state not in {'cold', 'warm'}:
            return False
        return self.consecutive_failures >= EJECT_AFTER_FAILURES

    def eject(self, now: float) -> None:
        """Eject the endpoint, for longer with each ejection in a row."""
        ejection_s = min(MIN_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejected_until = now + ejection_s
        self.ejections += 1
        self.answers = 0
        self.fire('eject')

    def readmit(self) -> None:
        """Readmit an ejected endpoint; one failure ejects it again."""
        self.consecutive_failures = EJECT_AFTER_FAILURES - 1
        self.fire('readmit')

    def tick(self, now: float) -> None:
        """Readmit an ejected endpoint when its ejection has expired."""
        if self.state == 'ejected' and now >= self.ejected_until:
            self.readmit()
