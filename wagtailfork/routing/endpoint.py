"""One backend server as an entry VM sees it."""

from typing import Final

import attrs

from ..control.objects import Backend
from ..core.lifecycle import Lifecycle, Step

EJECT_AFTER_FAILURES: Final = 3  # in a row
FIRST_EJECTION_S: Final = 1.0
LAST_EJECTION_S: Final = 30.0
WARM_AFTER_ANSWERS: Final = 8
_LATENCY_WEIGHT: Final = 0.2

_LIFECYCLE: Final = Lifecycle(
    ('cold', 'warm', 'ejected', 'draining', 'gone'),
    (
        Step('warm_up', ('cold',), 'warm'),
        Step('eject', ('cold', 'warm'), 'ejected'),
        Step('readmit', ('ejected',), 'cold'),
        Step('drain', ('cold', 'warm', 'ejected'), 'draining'),
        Step('undrain', ('draining',), 'cold'),
        Step('remove', ('cold', 'warm', 'ejected', 'draining'), 'gone'),
    ),
)


@attrs.define(eq=False)
class Endpoint:
    """Count what this VM has in flight at one backend server."""

    name: str
    backend: Backend
    state: str = 'cold'
    in_flight: int = 0
    held: int | None = None  # slots lent to this VM; None: not lent at all
    answers: int = 0
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0
    latency_s: float = 0
    reported_load: float = 0
    own_word_until: float = 0  # its own answers called it draining till then

    def fire(self, trigger: str) -> None:
        """Move along the lifecycle."""
        _LIFECYCLE.fire(self, trigger)

    def allowance(self) -> int:
        """Give how many requests this VM may have in flight here."""
        slots = self.backend.slots if self.held is None else self.held
        if self.state == 'warm':
            return slots
        if self.state == 'cold':
            return min(slots, 1 + self.answers // 2)
        return 0

    def is_free(self) -> bool:
        """Tell whether one more request may be sent now."""
        return self.in_flight < self.allowance()

    def could_serve(self) -> bool:
        """Tell whether the server may have a slot that was not lent here."""
        if self.state not in {'cold', 'warm'}:
            return False
        return self.in_flight < self.backend.slots

    def took(self) -> None:
        """Count a request sent."""
        self.in_flight += 1

    def ended(self) -> None:
        """Count a request over."""
        self.in_flight -= 1

    def answered(self, latency_s: float) -> None:
        """Note a whole answer and its time, seconds."""
        self.answers += 1
        self.failures_in_row = 0
        moved = latency_s - self.latency_s
        self.latency_s += moved * _LATENCY_WEIGHT
        if self.state == 'cold' and self.answers >= WARM_AFTER_ANSWERS:
            self.ejections = 0
            self.fire('warm_up')

    def failed(self) -> bool:
        """Note a failure; tell whether there were too many in a row."""
        self.failures_in_row += 1
        if self.state not in {'cold', 'warm'}:
            return False
        return self.failures_in_row >= EJECT_AFTER_FAILURES

    def eject(self, now: float) -> None:
        """Take the endpoint out for a time, longer with each ejection."""
        pause_s = min(FIRST_EJECTION_S * 2**self.ejections, LAST_EJECTION_S)
        self.ejected_until = now + pause_s
        self.ejections += 1
        self.answers = 0
        self.fire('eject')

    def readmit(self) -> None:
        """Let an ejected endpoint try again; one failure ejects it anew."""
        self.failures_in_row = EJECT_AFTER_FAILURES - 1
        self.fire('readmit')

    def tick(self, now: float) -> None:
        """Let an ejected endpoint try again when its pause is over."""
        if self.state == 'ejected' and now >= self.ejected_until:
            self.readmit()
