"""Record which backend servers are cold, and log each change."""

from collections.abc import Callable

import attrs

from ..core.clock import now_s
from ..core.event_log import EventLog
from ..routing.candidate import Candidate
from ..routing.routes import ServiceRule


@attrs.define(eq=False)
class WarmUpRecorder:
    """Record for how long servers are cold, as entries and probes state.

    ``on_changed`` sets the shares of a server that became cold.
    """

    log: EventLog
    rule_of: Callable[[str], ServiceRule | None]  # of a service
    on_changed: Callable[[Candidate], None]

    def record_entry(self, candidate: Candidate, left_s: float) -> None:
        """Record what the entry of a server states."""
        self.apply_rule(candidate)
        self._record(candidate, left_s, now_s(), 'entry')

    def record_probe(
        self, candidate: Candidate, left_s: float | None, sent_at_s: float
    ) -> bool:
        """Record what a health response states; return whether it is news.

        Without a statement the server is warm, if it may know of the earlier
        one.
        """
        warm_up = candidate.warm_up
        if not warm_up.requests_per_s:
            return False
        now = now_s()
        was_cold = now < candidate.warm_at_s
        if left_s:
            self._record(candidate, left_s, now, 'probe')
        elif was_cold and sent_at_s > warm_up.stated_at_s:
            self._record(candidate, 0, now, 'probe')
        return was_cold != (now < candidate.warm_at_s)

    def mark_cold(self, candidate: Candidate, now: float) -> None:
        """Take a server for cold that got nothing for a while."""
        rule = self.rule_of(candidate.service)
        if rule is None or not rule.warm_up_s:
            return
        left_s = max(rule.warm_up_s, candidate.warm_at_s - now)
        self._record(candidate, left_s, now, 'evacuation')

    def apply_rule(self, candidate: Candidate) -> None:
        """Apply the warm-up rate of the configuration in force."""
        rule = self.rule_of(candidate.service)
        rate = rule.warm_up_per_s if rule else 0
        if rate != candidate.warm_up.requests_per_s:
            candidate.warm_up.requests_per_s = rate
            if candidate.warm_up.is_active(now_s()):
                self.on_changed(candidate)

    def _record(
        self, candidate: Candidate, left_s: float, now: float, source: str
    ) -> None:
        was_cold = now < candidate.warm_at_s
        candidate.warm_at_s = now + left_s
        candidate.warm_up.start(candidate.warm_at_s, now)
        is_cold = left_s > 0
        if was_cold == is_cold or not candidate.warm_up.requests_per_s:
            return
        if is_cold:
            self.on_changed(candidate)
        self.log.emit(
            'server_cold',
            important=True,
            server=candidate.name,
            cold=is_cold,
            left_s=left_s,
            rate=candidate.warm_up.requests_per_s,
            source=source,
        )
