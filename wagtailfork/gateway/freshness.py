"""Until when the configuration in force is known to have been the newest."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from typing import Final

import attrs

from ..fleet.age_messages import AgeReport
from ..fleet.position import Edition

# Part of the limit that is left for the clocks of two machines to drift apart
# and for a request on its way to this VM.
MARGIN_S: Final = 0.4
REQUEST_LIFETIME_S: Final = 2.0  # an answer that comes later confirms little
_NUMBER_BITS: Final = 40  # so that a restarted VM uses other numbers
_MS_PER_S: Final = 1000


def confirmed_by_read(
    began_s: float, ended_s: float, wait_s: float, *, empty: bool
) -> float:
    """Return the time up to which a read of the store tells of all records.

    An empty answer to a long poll tells of the time in which it waited.

    >>> confirmed_by_read(10, 12.1, 2, empty=True)
    12
    >>> confirmed_by_read(10, 10.1, 2, empty=True)
    10
    >>> confirmed_by_read(10, 12.1, 2, empty=False)
    10
    """
    waited = empty and ended_s - began_s >= wait_s
    return began_s + wait_s if waited else began_s


@attrs.define(eq=False, kw_only=True)
class ConfigurationAge:
    """Record the latest time for which the configuration is confirmed.

    No configuration newer than the one in force existed in the store before
    it. It never goes back: that also holds for a newer configuration. Times
    are those of ``now_s``; clocks of two VMs are never compared.
    """

    limit_s: float | None  # no age is too old without one
    edition: Callable[[], Edition]  # of the configuration in force
    confirmed_s: float = -math.inf
    _confirmed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _asked: dict[int, float] = attrs.field(factory=dict)
    _last_number: int = attrs.field(
        factory=lambda: random.getrandbits(_NUMBER_BITS)  # noqa: S311
    )

    def age_s(self, at_s: float) -> float:
        """Return the age at a time, infinite without a confirmation."""
        return at_s - self.confirmed_s

    def is_fresh(self, at_s: float) -> bool:
        """Return whether keys could be trusted at a time."""
        if self.limit_s is None:
            return True
        return self.age_s(at_s) < self.limit_s - MARGIN_S

    def record_read(self, confirmed_s: float) -> None:
        """Record a read of the store of which all was applied."""
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        self._confirmed.set()

    async def wait_confirmed(self, limit_s: float) -> None:
        """Wait for the next confirmation, or until the limit has passed."""
        self._confirmed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._confirmed.wait()

    def start_request(self, now: float) -> int:
        """Return the number of a new request to another VM."""
        self._asked = {
            number: asked_s
            for number, asked_s in self._asked.items()
            if now - asked_s < REQUEST_LIFETIME_S
        }
        self._last_number += 1
        self._asked[self._last_number] = now
        return self._last_number

    def report(self, number: int, now: float) -> AgeReport | None:
        """Return the answer to another VM, None without a confirmation."""
        if math.isinf(self.confirmed_s):
            return None
        age_ms = max(0, math.ceil(self.age_s(now) * _MS_PER_S))
        return AgeReport(number, age_ms, self.edition())

    def record_report(self, report: AgeReport) -> bool:
        """Record an answer; return whether it was about this configuration.

        The age counts from the time of the request, so the time for which
        messages or processes waited makes it older. A VM with a newer
        configuration confirms nothing about the one in force here.
        """
        asked_s = self._asked.get(report.number)
        if asked_s is None or self.edition() < report.edition:
            return False
        self._asked.pop(report.number)
        self.record_read(asked_s - report.age_ms / _MS_PER_S)
        return True
