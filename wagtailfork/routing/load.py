"""Estimated load and slowness of a backend server, from reports that age."""

from typing import Final

import attrs

from ..core.clock import now_s

REPORT_VALID_S: Final = 0.4  # slowdowns on shared VMs are shorter
# Half the time for which a slowdown on a shared VM lasts.
SLOWNESS_HALF_LIFE_S: Final = 0.15
SLOW_THRESHOLD: Final = 1.5  # slowness above which a server counts as slow
SLOWNESS_EWMA_WEIGHT: Final = 0.02  # of one report, of hundreds per second
NEARLY_FULL_SHARE: Final = 0.8  # of slots in use, above which servers slow down
FULL_LOAD_EWMA_WEIGHT: Final = 0.02
MAX_FULL_LOAD_RATIO: Final = 4.0  # bounds the effect of one straggler
ERROR_EWMA_WEIGHT: Final = 0.2  # of the newest outcome in the error share
ERROR_HALF_LIFE_S: Final = 2.0
MIN_EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 4.0


@attrs.frozen
class LoadReport:
    """Hold one load report of a backend server.

    ``slowness`` is the factor on usual service times, 1 for a usual server.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    at_s: float = 0


@attrs.define
class SlowdownModel:
    """Estimate how often servers are slow, and how slow they are then.

    >>> slowdown = SlowdownModel()
    >>> for _ in range(500):
    ...     slowdown.record(4.0)
    >>> round(slowdown.share, 1), round(slowdown.factor, 1)
    (1.0, 4.0)
    """

    share: float = 0.2
    factor: float = 3.0

    def mean(self) -> float:
        """Return the mean slowness over all servers."""
        return 1 + self.share * (self.factor - 1)

    def record(self, slowness: float) -> None:
        """Add the slowness of one report."""
        slow = slowness > SLOW_THRESHOLD
        self.share += SLOWNESS_EWMA_WEIGHT * (float(slow) - self.share)
        if slow:
            self.factor += SLOWNESS_EWMA_WEIGHT * (slowness - self.factor)


@attrs.define
class FullLoadSlowdown:
    """Estimate the slowdown of nearly full servers of one service."""

    factor: float = 1.6

    def record(self, ratio: float) -> None:
        """Add a service time when nearly full, as a ratio to the expected."""
        self.factor += FULL_LOAD_EWMA_WEIGHT * (
            min(ratio, MAX_FULL_LOAD_RATIO) - self.factor
        )


@attrs.define(eq=False)
class ServerLoad:
    """Combine the requests placed here and the reports of one server.

    >>> load = ServerLoad(slots=4)
    >>> load.begin(); load.begin()
    >>> load.estimated_requests(now=0.0)
    2
    >>> load.record_report(LoadReport(running=4, waiting=1, slots=4, at_s=1.0))
    True
    >>> load.estimated_requests(now=1.0)
    5
    """

    slots: int
    own_in_flight: int = 0
    report: LoadReport | None = None
    error_share: float = 0
    ejected_until_s: float = 0
    unanswered_probes: int = 0  # probes in a row without a response
    started: int = 0
    _begun_since_report: int = 0
    _error_at_s: float = 0
    _next_ejection_s: float = MIN_EJECTION_S

    def begin(self) -> None:
        """Count a request sent."""
        self.own_in_flight += 1
        self.started += 1
        self._begun_since_report += 1

    def end(self) -> None:
        """Count a request ended."""
        self.own_in_flight -= 1

    def record_report(self, report: LoadReport) -> bool:
        """Store a report; return False if a newer one is stored already."""
        if self.report is not None and report.at_s <= self.report.at_s:
            return False
        self.report = report
        self.slots = report.slots or self.slots
        self._begun_since_report = 0
        return True

    def estimated_requests(self, now: float) -> int:
        """Estimate the requests at the server, running or queued there."""
        known = self.own_in_flight
        report = self.report
        if report is None or now - report.at_s > REPORT_VALID_S:
            return known
        reported = report.running + report.waiting
        if reported <= known:
            return known
        # The reported requests of other VMs end with time; known ones are still
        # running.
        remaining = 1 - (now - report.at_s) / REPORT_VALID_S
        latest = reported + self._begun_since_report
        return min(latest, known + round((reported - known) * remaining))

    def slowness(self, now: float) -> float:
        """Return the last reported slowness, 1 without a report."""
        return self.report.slowness if self.report else 1.0

    def report_age_ms(self, now: float) -> float | None:
        """Return the age of the report in milliseconds, None without one."""
        if self.report is None:
            return None
        return (now - self.report.at_s) * 1000

    def confidence(self, now: float) -> float:
        """Return the confidence in the last reported slowness, 0 to 1."""
        if self.report is None:
            return 0
        return 0.5 ** (max(0, now - self.report.at_s) / SLOWNESS_HALF_LIFE_S)

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the error share with the newest outcome."""
        share = self.failing(now)
        self.error_share = share + ERROR_EWMA_WEIGHT * (float(failed) - share)
        self._error_at_s = now
        if not failed:
            self.ejected_until_s = 0
            self._next_ejection_s = MIN_EJECTION_S

    def failing(self, now: float) -> float:
        """Return the share of requests that failed, decayed with time."""
        age = max(0, now - self._error_at_s)
        return self.error_share * 0.5 ** (age / ERROR_HALF_LIFE_S)

    def eject(self, now: float) -> None:
        """Eject the server for a time that doubles up to a maximum."""
        if now < self.ejected_until_s:
            return
        self.ejected_until_s = now + self._next_ejection_s
        self._next_ejection_s = min(self._next_ejection_s * 2, MAX_EJECTION_S)

    def readmit(self) -> None:
        """Readmit an ejected server."""
        self.ejected_until_s = 0


def report_now(
    running: int, waiting: int, slots: int, slowness: float
) -> LoadReport:
    """Create a report with the present time."""
    return LoadReport(running, waiting, slots, slowness, now_s())
