"""Counters and latency histograms of a gateway, cheap to update."""

from bisect import bisect_left
from collections import Counter
from typing import Final

import attrs

# Upper bounds in seconds: from a fifth of the shortest objective to the
# longest deadline of the users' requirements.
BOUNDS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0)


def _no_counts() -> list[int]:
    return [0 for _ in (*BOUNDS_S, None)]


@attrs.define
class Histogram:
    """Count observations by upper bound.

    >>> seen = Histogram()
    >>> seen.observe(0.02); seen.observe(99)
    >>> seen.counts[1], seen.counts[-1], seen.total
    (1, 1, 99.02)
    """

    counts: list[int] = attrs.field(factory=_no_counts)
    total: float = 0

    def observe(self, seconds: float) -> None:
        """Add one observation."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total += seconds


@attrs.frozen(kw_only=True)
class AnswerKind:
    """Classify an answer of a backend server."""

    status: int
    stated: bool  # it says whether the request ran
    named: bool  # it bears the id of a request
    first: bool  # to the first request of its connection
    skipped: bool  # it belongs to another request


@attrs.define(eq=False)
class Meters:
    """Count requests by outcome, refusals, retries, hedges and bytes."""

    # by service, route, outcome
    requests: Counter[tuple[str, str, str]] = attrs.field(factory=Counter)
    # by service
    latency: dict[str, Histogram] = attrs.field(factory=dict)
    refusals: Counter[str] = attrs.field(factory=Counter)  # by reason
    # Own responses that blame the caller, by status and reason.
    denials: Counter[tuple[int, str]] = attrs.field(factory=Counter)
    key_refusals: Counter[str] = attrs.field(factory=Counter)  # by reason
    stale_refusals: int = 0  # as the configuration was confirmed too long ago
    quota_refused: Counter[str] = attrs.field(factory=Counter)  # by customer
    retries: Counter[str] = attrs.field(factory=Counter)  # by service
    hedges: Counter[str] = attrs.field(factory=Counter)  # by service
    answers: Counter[AnswerKind] = attrs.field(factory=Counter)  # of servers
    referrals: Counter[str] = attrs.field(factory=Counter)  # by outcome
    # Sent to other VMs, by form of the configuration, or refused.
    snapshots: Counter[str] = attrs.field(factory=Counter)
    moved_bytes: Counter[str] = attrs.field(factory=Counter)  # bytes, by reach

    def record_ended(
        self,
        service: str,
        route: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Add one finished caller request."""
        self.requests[(service, route, outcome)] += 1
        histogram = self.latency.get(service)
        if histogram is None:
            histogram = Histogram()
            self.latency[service] = histogram
        histogram.observe(seconds)
