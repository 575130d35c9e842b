"""What a VM knows of the configuration by which it judges a request."""

from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..core.settings import GatewaySettings
from ..fleet.members import Membership
from ..fleet.position import Edition
from .freshness import ConfigurationAge
from .view import View

_MS_PER_S: Final = 1000


def make_evidence(
    cfg: GatewaySettings, view: View, membership: Membership
) -> 'ConfigurationEvidence':
    """Return the evidence of a gateway with these settings."""
    limit_ms = cfg.revocation_limit_ms
    age = ConfigurationAge(
        limit_s=limit_ms / _MS_PER_S if limit_ms else None,
        edition=lambda: view.edition,
    )
    return ConfigurationEvidence(view=view, age=age, membership=membership)


@attrs.define(eq=False, kw_only=True)
class ConfigurationEvidence:
    """Tell how well the configuration in force is known to be the newest."""

    view: View
    age: ConfigurationAge
    membership: Membership

    def newest_heard(self) -> Edition:
        """Return the newest edition that this VM or another live one has."""
        heard = [one.edition for one in self.membership.alive(now_s())]
        return max(heard, default=self.view.edition)

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
