"""What a VM has to know before it tells a caller that its request is wrong."""

import math
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.settings import GatewaySettings
from ..fleet.members import Membership
from ..fleet.position import NO_EDITION, Edition
from .freshness import MARGIN_S, ConfigurationAge
from .view import View

_MS_PER_S: Final = 1000
# Four round trips between regions, so that a lost datagram can be repeated.
CONFIRM_LIMIT_S: Final = 0.3
_ASK_PERIOD_S: Final = 0.1
_HEARD_PERIOD_S: Final = 0.05  # for the rows of all VMs, however many requests
# Without a confirmation, requests that come this much later don't wait again.
_RETRY_PERIOD_S: Final = 1.0
# For which VMs are asked after a request that needed a confirmation.
_ACTIVE_S: Final = 5.0


def _ask_nobody() -> None:
    """Do nothing, for a VM without others."""


def make_evidence(
    cfg: GatewaySettings, view: View, membership: Membership
) -> 'ConfigurationEvidence':
    """Return the evidence of a gateway with these settings."""
    limit_ms = cfg.revocation_limit_ms
    age = ConfigurationAge(
        limit_s=limit_ms / _MS_PER_S if limit_ms else None,
        edition=lambda: view.edition,
    )
    return ConfigurationEvidence(
        view=view,
        age=age,
        membership=membership,
        limit_s=cfg.configuration_limit_ms / _MS_PER_S,
    )


@attrs.define(eq=False, kw_only=True)
class ConfigurationEvidence:
    """Tell how well the configuration in force is known to be the newest.

    A request may be called wrong only if each configuration that is older than
    ``limit_s`` when it arrives is known here. Other VMs are asked when a
    request depends on it.
    """

    view: View
    age: ConfigurationAge
    membership: Membership
    limit_s: float
    ask: Callable[[], None] = _ask_nobody
    _heard: Edition = NO_EDITION
    _heard_at_s: float = -math.inf
    _wanted_until_s: float = 0
    _unconfirmed_at_s: float = -_RETRY_PERIOD_S

    @property
    def wanted(self) -> bool:
        """Return whether a request depended on it lately."""
        return now_s() < self._wanted_until_s

    def newest_heard(self) -> Edition:
        """Return the newest edition that this VM or another live one has."""
        now = now_s()
        if now - self._heard_at_s >= _HEARD_PERIOD_S:
            editions = [one.edition for one in self.membership.alive(now)]
            self._heard = max(editions, default=NO_EDITION)
            self._heard_at_s = now
        return max(self._heard, self.view.edition)

    def allows_denial(self, at_s: float) -> bool:
        """Return whether a request that arrived then may be called wrong."""
        if self.age.age_s(at_s) >= self.limit_s - MARGIN_S:
            return False
        return self.newest_heard() <= self.view.edition

    async def confirm(self, at_s: float) -> bool:
        """Wait briefly until a denial is allowed; return whether it is."""
        if self.allows_denial(at_s):
            return True
        began_s = now_s()
        self._wanted_until_s = began_s + _ACTIVE_S
        if began_s - self._unconfirmed_at_s < _RETRY_PERIOD_S:
            return False
        while now_s() - began_s < CONFIRM_LIMIT_S:
            self.ask()
            await self.age.wait_confirmed(_ASK_PERIOD_S)
            if self.allows_denial(at_s):
                return True
        self._unconfirmed_at_s = now_s()
        return False

    def describe(self, at_s: float) -> dict[str, Any]:
        """Return the fields of a log line on a request of this time."""
        cfg = self.view.configuration
        return {
            'config': self.view.version,
            'era': self.view.edition.era,
            'routes': len(cfg.routes) if cfg else 0,
            'age_ms': self.age.age_s(at_s) * _MS_PER_S,
            'newest_heard': self.newest_heard().version,
        }
