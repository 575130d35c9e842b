"""Disruptions of processes, and what they excuse."""

from collections.abc import Sequence
from typing import Final

import attrs

from .record import RequestRecord

GRACE_S: Final = 6.0  # of a planned stop
SETTLED_S: Final = 4.0  # after a disruption, its effects are over
# A stop may cut requests that servers work on in the last sixth of its grace,
# if they were sent within the first half.
CUT_AFTER_S: Final = GRACE_S * 5 / 6
ACCEPTED_S: Final = GRACE_S / 2


@attrs.define(eq=False)
class Disruptions:
    """Hold what was done to the process of one gateway, and when."""

    # Spans in which it was frozen or killed and what follows from that.
    troubles: list[tuple[float, float]] = attrs.field(factory=list)
    stops: list[float] = attrs.field(factory=list)  # planned

    def add_trouble(self, since_s: float, until_s: float) -> None:
        """Record that the process did not run, and its consequences."""
        self.troubles.append((since_s, until_s + SETTLED_S))

    def is_troubled(self, since_s: float, until_s: float) -> bool:
        """Return whether a disruption touches a span."""
        return any(
            begun_s <= until_s and since_s <= ended_s
            for begun_s, ended_s in self.troubles
        )

    def in_touch(self, at_s: float) -> bool:
        """Return whether nothing was done to it shortly before."""
        stopped = any(
            each <= at_s < each + GRACE_S + SETTLED_S for each in self.stops
        )
        return not stopped and not self.is_troubled(at_s, at_s)


def is_lost(seen: RequestRecord, disruptions: Disruptions) -> bool:
    """Return whether a request was cut that the gateway had passed on.

    >>> from .record import Visit
    >>> seen = RequestRecord('r1', 'pay', 'a:1', sent_s=10, deadline_s=2)
    >>> seen.runs.append(Visit(10.1, 'b0'))
    >>> seen.cut_s = 11
    >>> is_lost(seen, Disruptions()), is_lost(seen, Disruptions([(9, 12)]))
    (True, False)
    >>> is_lost(seen, Disruptions(stops=[9.5]))
    True
    >>> seen.cut_s = 14.6
    >>> is_lost(seen, Disruptions(stops=[9.5]))
    False
    """
    if not seen.cut_s or not seen.runs or seen.left or seen.endless:
        return False
    if disruptions.is_troubled(seen.sent_s, seen.cut_s):
        return False
    return not any(
        _may_cut(seen, stopped_s)
        for stopped_s in _recent(disruptions.stops, seen.cut_s)
    )


def _recent(stops: Sequence[float], now: float) -> list[float]:
    return [each for each in stops if each <= now < each + GRACE_S + 1]


def _may_cut(seen: RequestRecord, stopped_s: float) -> bool:
    accepted = seen.sent_s <= stopped_s + ACCEPTED_S
    return accepted and seen.cut_s >= stopped_s + CUT_AFTER_S
