"""The clock by which the age of requests and reports is told."""

import time


def now_s() -> float:
    """Give the seconds since start-up, those of a suspension included.

    A VM that was suspended must see that the deadlines of its requests have
    passed; the loop's own clock stands still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
