"""Failure detection for the VMs that this one monitors."""

from typing import Final

import attrs

from .member import Member
from .members import DOWN_TIMEOUT_S, HEARTBEAT_PERIOD_S, Membership

PROBE_AFTER_S: Final = 0.6  # of silence; allows two probes before the timeout
# Gap between steps above which this VM itself was frozen.
SELF_STALL_S: Final = 3 * HEARTBEAT_PERIOD_S
MAX_DOWN_TIMEOUT_S: Final = 8.0  # for a VM that repeatedly times out


@attrs.frozen
class Overdue:
    """List the monitored VMs to probe and those newly marked as down."""

    to_probe: list[Member]
    down: list[Member]


@attrs.define(eq=False)
class FailureDetector:
    """Check the monitored VMs once per heartbeat period."""

    membership: Membership
    _monitored_since_s: dict[str, float] = attrs.field(factory=dict)
    _down_timeout_s: dict[str, float] = attrs.field(factory=dict)
    _last_step_s: float = 0

    def step(self, now: float) -> Overdue:
        """Return the overdue VMs and mark those past their timeout as down."""
        if now - self._last_step_s > SELF_STALL_S:
            # Heartbeats were missed because this VM itself was stopped.
            self._monitored_since_s.clear()
        self._last_step_s = now
        overdue = Overdue([], [])
        by_address = {one.address: one for one in self.membership.neighbours()}
        monitored = self.membership.ring.predecessors()
        for address in self._monitored_since_s.keys() - set(monitored):
            self._monitored_since_s.pop(address)
        for address in monitored:
            self._check_member(by_address[address], now, overdue)
        return overdue

    def _check_member(
        self, member: Member, now: float, overdue: Overdue
    ) -> None:
        address = member.address
        monitored_since_s = self._monitored_since_s.setdefault(address, now)
        last_heartbeat_s = self.membership.last_heartbeat_s(address)
        silent_s = now - max(monitored_since_s, last_heartbeat_s)
        down_timeout_s = self._down_timeout_s.get(address, DOWN_TIMEOUT_S)
        if silent_s > down_timeout_s:
            overdue.down.append(self.membership.mark_down(address, now))
            # If the VM is up, other VMs still receive its heartbeats and it
            # soon counts as up again. A longer timeout limits such flapping.
            doubled_s = min(MAX_DOWN_TIMEOUT_S, down_timeout_s * 2)
            self._down_timeout_s[address] = doubled_s
        elif silent_s > PROBE_AFTER_S:
            overdue.to_probe.append(member)
        elif last_heartbeat_s > monitored_since_s + DOWN_TIMEOUT_S:
            self._down_timeout_s.pop(address, None)
