"""The clock used for deadlines and for the age of requests and reports."""

import time


def now_s() -> float:
    """Return the seconds since boot, including time spent suspended.

    After a suspension, requests whose deadlines have passed must time out;
    the event loop's own clock does not advance while suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
