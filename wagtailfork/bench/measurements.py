"""Record measured figures and time short functions."""

import time
from collections.abc import Callable
from typing import Any, Final

import attrs

US_PER_S: Final = 1_000_000
_REPEATS: Final = 200


@attrs.frozen(kw_only=True)
class Measurement:
    """Hold one measured figure with its unit."""

    what: str
    size: int
    figure: float
    unit: str

    def as_dict(self) -> dict[str, Any]:
        """Return the measurement as a table row."""
        return {
            'what': self.what,
            'size': self.size,
            'figure': round(self.figure, 2),
            'unit': self.unit,
        }


def make_measurement(
    what: str, size: int, figure: float, unit: str
) -> Measurement:
    """Return a measurement, in the order in which tables show its fields."""
    return Measurement(what=what, size=size, figure=figure, unit=unit)


def time_us(func: Callable[[], object], repeats: int = _REPEATS) -> float:
    """Return the lowest mean time of three rounds, in microseconds."""
    best_s = float('inf')
    for _round in range(3):
        start = time.perf_counter()
        for _repeat in range(repeats):
            func()
        took_s = time.perf_counter() - start
        best_s = min(best_s, took_s / repeats)
    return best_s * US_PER_S
