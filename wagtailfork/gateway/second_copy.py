"""Decide whether to hedge a slow repeatable request.

This covers servers that slow down while a request is running. A second copy is
sent if its forecast utility exceeds that of waiting for the first copy, within
a share of the retry allowance.
"""

from collections.abc import Callable
from typing import Final

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..routing.allowance import RetryAllowance
from ..routing.candidate import Candidate
from ..routing.late_binding import RefreshLoad
from ..routing.worth import expected_utility
from .call import Call
from .meters import Meters

# When to consider hedging, in multiples of the expected service time.
CHECK_POINTS: Final = (0.35, 0.8, 1.4, 2.5, 5, 1000)
ALLOWANCE_SHARE: Final = 0.6  # of the retry allowance; the rest is for failures
MIN_GAIN: Final = 0.2  # share of the utility of a response in time


@attrs.define(eq=False, kw_only=True)
class HedgePolicy:
    """Decide when a request is hedged and charge the retry allowance."""

    allowance: Callable[[str], RetryAllowance]
    vm_count: Callable[[], int]
    refresh_load: RefreshLoad
    log: EventLog
    meters: Meters

    def next_check_in_s(self, call: Call) -> float:
        """Return the seconds until hedging is considered next."""
        due_s = (
            call.sent_at_s
            + call.queued.service_s * CHECK_POINTS[call.hedge_checks]
        )
        return max(0, due_s - now_s())

    async def should_hedge(self, call: Call) -> bool:
        """Return whether to send a second copy now; charge it if so."""
        candidate = call.candidate
        if candidate is None or call.sends != 1:
            return False
        call.hedge_checks = min(call.hedge_checks + 1, len(CHECK_POINTS) - 1)
        if call.route.max_attempts < 2 or not self._has_allowance(call):
            return False
        if candidate.needs_probe(now_s()):
            await self.refresh_load(candidate)
        now = now_s()
        remaining = remaining_utility(call, candidate, now)
        if remaining > 1 - MIN_GAIN:
            # Even an immediate response elsewhere would gain too little.
            return False
        choice = call.queue.table.choose(call.queued, now)
        if choice is None or not choice.free:
            return False
        return self._try_spend(
            call, candidate, choice.forecast.utility - remaining
        )

    def _try_spend(self, call: Call, candidate: Candidate, gain: float) -> bool:
        now = now_s()
        if gain < MIN_GAIN:
            return False
        allowance = self.allowance(call.service)
        if not allowance.spend(now, self.vm_count(), share=ALLOWANCE_SHARE):
            return False
        self.meters.hedges[call.service] += 1
        self.log.emit(
            'second_copy',
            id=call.metadata.request_id,
            route=call.route.name,
            gain=round(gain, 2),
            first=candidate.name,
            slowness=candidate.load.slowness(now),
            elapsed_ms=(now - call.sent_at_s) * 1000,
        )
        return True

    def _has_allowance(self, call: Call) -> bool:
        allowance = self.allowance(call.service)
        return allowance.has(now_s(), self.vm_count(), share=ALLOWANCE_SHARE)


def remaining_utility(call: Call, candidate: Candidate, now: float) -> float:
    """Forecast the utility of waiting for the response of the first copy."""
    if now < candidate.load.ejected_until_s:
        return 0
    profile = call.queued.profile(now)
    # At least half of the expected service time is assumed to remain.
    remaining_s = max(
        profile.service_s - (now - call.sent_at_s), profile.service_s / 2
    )
    service_s = remaining_s * candidate.load.slowness(now)
    return expected_utility(
        service_s + candidate.distance.round_trip_s / 2, profile
    )
