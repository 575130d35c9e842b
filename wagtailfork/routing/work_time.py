"""Expected service times by route on an idle server of usual speed."""

from typing import Final

import attrs

# Share of the latency objective assumed until a response was timed.
INITIAL_OBJECTIVE_SHARE: Final = 0.35
EWMA_WEIGHT: Final = 0.05
MIN_SERVICE_TIME_S: Final = 0.001


@attrs.define
class ServiceTimes:
    """Average service times by route, corrected for the server's slowness.

    >>> times = ServiceTimes()
    >>> round(times.expected_s('r', objective_s=0.2), 3)
    0.07
    >>> times.record('r', usual_s=0.1)
    >>> times.expected_s('r', objective_s=0.2)
    0.1
    """

    _means: dict[str, float] = attrs.field(factory=dict)
    _kilobytes: dict[str, float] = attrs.field(factory=dict)

    def expected_s(self, route: str, objective_s: float) -> float:
        """Return the expected service time in seconds."""
        return self._means.get(route, objective_s * INITIAL_OBJECTIVE_SHARE)

    def record(self, route: str, usual_s: float) -> None:
        """Add a service time, corrected for its server's slowness."""
        service_s = max(MIN_SERVICE_TIME_S, usual_s)
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = service_s
            return
        # Limit the effect of one straggler on the mean.
        bounded = min(service_s, mean * 4)
        self._means[route] = mean + EWMA_WEIGHT * (bounded - mean)

    def expected_kb(self, route: str) -> float:
        """Return the expected size of a response in kilobytes."""
        return self._kilobytes.get(route, 1.0)

    def record_size(self, route: str, size: int) -> None:
        """Add the size of one response in bytes."""
        mean = self.expected_kb(route)
        self._kilobytes[route] = mean + EWMA_WEIGHT * (size / 1024 - mean)
