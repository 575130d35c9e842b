"""Measured figures and the timing of small actions."""

import time
from collections.abc import Callable
from typing import Any, Final

import attrs

MICRO: Final = 1_000_000
_REPEATS: Final = 200


@attrs.frozen(kw_only=True)
class Reading:
    """Hold one measured figure."""

    what: str
    size: int
    figure: float
    unit: str

    def plain(self) -> dict[str, Any]:
        """Give the reading as a row of a table."""
        return {
            'what': self.what,
            'size': self.size,
            'figure': round(self.figure, 2),
            'unit': self.unit,
        }


def time_us(act: Callable[[], object], repeats: int = _REPEATS) -> float:
    """Give the best mean time of an action over three rounds, microseconds."""
    best = float('inf')
    for _round in range(3):
        start = time.perf_counter()
        for _repeat in range(repeats):
            act()
        took = time.perf_counter() - start
        best = min(best, took / repeats)
    return best * MICRO
