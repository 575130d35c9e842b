"""Rules on proper requests that are refused, from what callers see."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from .excuses import SETTLED_S, Disruptions
from .extra_routes import ExtraRoute
from .plan import CONFIG_APPLY_S
from .record import RequestRecord

# From the end of the last disturbance of links until the newest route is
# served by each gateway.
HEAL_S: Final = CONFIG_APPLY_S + SETTLED_S
MIN_JUDGED: Final = 10  # of one gateway
MIN_SERVED_SHARE: Final = 0.25
_SUCCESS: Final = 200
_FIRST_BLAME: Final = 300
_LAST_BLAME: Final = 499
_NOT_BLAMES: Final = frozenset((408, 421, 429))


@attrs.define(eq=False)
class RouteRules:
    """Judge refusals by the time in which a route was in force."""

    routes: Mapping[str, ExtraRoute] = attrs.field(factory=dict)
    # Whether a request may be refused for its key, but for extra routes.
    keyed: bool = False
    disturbed_until_s: float = 0  # links and store
    seen: Counter[str] = attrs.field(factory=Counter)  # what was judged

    def is_denied(self, seen: RequestRecord) -> bool:
        """Return whether a proper request was called wrong.

        No disruption excuses it: who can't know refuses with 503.
        """
        if not seen.answered_s or not self._is_proper(seen):
            return False
        self.seen['proper'] += 1
        blames = _FIRST_BLAME <= seen.status <= _LAST_BLAME
        return blames and seen.status not in _NOT_BLAMES

    def find_unhealed(
        self,
        requests: Iterable[RequestRecord],
        gateways: Mapping[str, Disruptions],
        store: Disruptions,
    ) -> list[tuple[str, RequestRecord]]:
        """Return one request of each gateway that lacks the newest route."""
        judged: dict[str, list[RequestRecord]] = {}
        for seen in requests:
            calm = gateways[seen.gateway].in_touch(seen.sent_s)
            if not calm or not store.in_touch(seen.sent_s):
                continue
            if self._must_be_served(seen):
                judged.setdefault(seen.gateway, []).append(seen)
        return [
            ('UNHEALED', found[0])
            for found in judged.values()
            if self._lacks_route(found)
        ]

    def _lacks_route(self, judged: list[RequestRecord]) -> bool:
        served = sum(seen.status == _SUCCESS for seen in judged)
        self.seen['newest_judged'] += len(judged)
        self.seen['newest_served'] += served
        if len(judged) < MIN_JUDGED:
            return False
        self.seen['healing_judged'] += 1
        return served < MIN_SERVED_SHARE * len(judged)

    def _must_be_served(self, seen: RequestRecord) -> bool:
        if not seen.route:
            return False
        newest = max(self.routes.values(), key=lambda one: one.acked_s)
        if newest.name != seen.route:
            return False
        begun_s = max(newest.acked_s, self.disturbed_until_s)
        return seen.sent_s >= begun_s + HEAL_S

    def _is_proper(self, seen: RequestRecord) -> bool:
        """Return whether each version that may be in force allows it."""
        if not seen.route:
            return not self.keyed
        route = self.routes[seen.route]
        known = seen.sent_s >= route.acked_s + CONFIG_APPLY_S
        return known and seen.answered_s < route.removed_s
