"""How long the work of each route takes on an idle, usual server."""

from typing import Final

import attrs

FIRST_GUESS: Final = 0.35  # of the objective, until an answer was timed
GAIN: Final = 0.05
SHORTEST_S: Final = 0.001


@attrs.define
class WorkTimes:
    """Average service times by route, cleared of the server's slowness.

    >>> times = WorkTimes()
    >>> round(times.expect('r', objective_s=0.2), 3)
    0.07
    >>> times.note('r', usual_s=0.1)
    >>> times.expect('r', objective_s=0.2)
    0.1
    """

    _means: dict[str, float] = attrs.field(factory=dict)
    _kilobytes: dict[str, float] = attrs.field(factory=dict)

    def expect(self, route: str, objective_s: float) -> float:
        """Give the expected service time in seconds."""
        return self._means.get(route, objective_s * FIRST_GUESS)

    def note(self, route: str, usual_s: float) -> None:
        """Add one timed answer, cleared of its server's slowness."""
        cleared = max(SHORTEST_S, usual_s)
        before = self._means.get(route)
        if before is None:
            self._means[route] = cleared
            return
        # One straggler must not move the mean far.
        bounded = min(cleared, before * 4)
        self._means[route] = before + GAIN * (bounded - before)

    def expect_kb(self, route: str) -> float:
        """Give the expected size of an answer in kilobytes."""
        return self._kilobytes.get(route, 1.0)

    def note_size(self, route: str, size: int) -> None:
        """Add the size of one answer in bytes."""
        before = self.expect_kb(route)
        self._kilobytes[route] = before + GAIN * (size / 1024 - before)
