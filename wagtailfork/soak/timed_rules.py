"""Rules that hold for gateways in touch, some time after a change."""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from .customer_rules import CustomerRules
from .evacuations import Evacuations
from .excuses import Disruptions, is_lost
from .plan import CONFIG_APPLY_S
from .record import RequestRecord, Visit
from .route_rules import RouteRules

DRAIN_S: Final = 2.5  # after a server said that it leaves


@attrs.define(eq=False)
class TimedRules:
    """Judge requests by what was in force when they were sent."""

    store: Disruptions = attrs.field(factory=Disruptions)
    # What was done to the link before a server, by the server's name.
    links: dict[str, Disruptions] = attrs.field(factory=dict)
    # Time of each configuration and the service that it sends payments to.
    versions: list[tuple[float, str]] = attrs.field(factory=list)
    customers: CustomerRules | None = None
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    routes: RouteRules = attrs.field(factory=RouteRules)
    judged: int = 0  # requests whose gateway was in touch

    def judge(
        self,
        requests: Mapping[str, RequestRecord],
        gateways: Mapping[str, Disruptions],
    ) -> list[tuple[str, RequestRecord]]:
        """Return the requests that broke a rule, each with the rule."""
        found = []
        for seen in requests.values():
            rule = self._broken_rule(seen, gateways[seen.gateway])
            if rule:
                found.append((rule, seen))
        if self.customers is not None:
            found.extend(self.customers.over_quota(requests.values()))
        found.extend(
            self.routes.find_unhealed(requests.values(), gateways, self.store)
        )
        return found

    def _broken_rule(self, seen: RequestRecord, gateway: Disruptions) -> str:
        if self.routes.is_denied(seen):
            return 'DENIED'
        if is_lost(seen, gateway) and not self._is_held_up(
            seen.arrivals, seen.sent_s, seen.cut_s
        ):
            return 'LOST'
        if any(not self._is_served_by(seen, run) for run in seen.runs):
            return 'ROUTE'
        calm = gateway.in_touch(seen.sent_s) and self.store.in_touch(
            seen.sent_s
        )
        rule = self._broken_with_customers(seen, gateway, calm=calm)
        if rule or not calm:
            return rule
        self.judged += 1
        return self._broken_in_touch(seen)

    def _broken_in_touch(self, seen: RequestRecord) -> str:
        for arrival in seen.arrivals:
            held_up = self._is_held_up((arrival,), arrival.at_s, arrival.at_s)
            if is_late_arrival(seen, arrival) and not held_up:
                return 'DRAIN'
        if any(self._is_outdated(seen, run) for run in seen.runs):
            return 'CONFIG'
        return ''

    def _broken_with_customers(
        self, seen: RequestRecord, gateway: Disruptions, *, calm: bool
    ) -> str:
        if self.customers is None:
            return ''
        if any(self._is_barred(arrival, gateway) for arrival in seen.arrivals):
            return 'EVACUATED'
        return self.customers.broken_rule(seen, calm=calm)

    def _is_barred(self, arrival: Visit, gateway: Disruptions) -> bool:
        at_s = arrival.at_s
        if not self.evacuations.is_barred(arrival.zone, at_s):
            return False
        calm = gateway.in_touch(at_s) and self.store.in_touch(at_s)
        return calm and not self._is_held_up((arrival,), at_s, at_s)

    def _is_held_up(
        self, visits: Iterable[Visit], since_s: float, until_s: float
    ) -> bool:
        """Return whether a link to one of the servers was disrupted."""
        return any(
            visit.server in self.links
            and self.links[visit.server].is_troubled(since_s, until_s)
            for visit in visits
        )

    def _is_served_by(self, seen: RequestRecord, run: Visit) -> bool:
        """Return whether any configuration sends the request there.

        >>> rules = TimedRules(versions=[(0, 'pay')])
        >>> seen = RequestRecord('r1', 'pay', 'a:1', sent_s=1, deadline_s=1)
        >>> rules._is_served_by(seen, Visit(1, 'b0', 'pay'))
        True
        >>> rules._is_served_by(seen, Visit(1, 'b0', 'stock'))
        False
        """
        if seen.kind in SERVICE_BY_KIND:
            return run.service == SERVICE_BY_KIND[seen.kind]
        return run.service in {service for _, service in self._versions(seen)}

    def _is_outdated(self, seen: RequestRecord, run: Visit) -> bool:
        """Return whether only an older configuration allows the run.

        >>> rules = TimedRules(versions=[(0, 'pay'), (10, 'spare')])
        >>> seen = RequestRecord('r1', 'pay', 'a:1', sent_s=12.6, deadline_s=1)
        >>> rules._is_outdated(seen, Visit(12.7, 'b0', 'pay'))
        True
        >>> rules._is_outdated(seen, Visit(12.7, 'b0', 'spare'))
        False
        """
        if seen.kind in SERVICE_BY_KIND:
            return False
        allowed = set()
        for at_s, service in self._versions(seen):
            if at_s <= seen.sent_s - CONFIG_APPLY_S:
                allowed = {service}
            elif at_s <= run.at_s:
                allowed.add(service)
        return run.service not in allowed

    def _versions(self, seen: RequestRecord) -> list[tuple[float, str]]:
        route = self.routes.routes.get(seen.route)
        return self.versions if route is None else route.versions


SERVICE_BY_KIND: Final = {'look': 'stock', 'snap': 'snap'}


def is_late_arrival(seen: RequestRecord, arrival: Visit) -> bool:
    """Return whether a request was sent long after its server left.

    >>> seen = RequestRecord('r1', 'pay', 'a:1', sent_s=10, deadline_s=1)
    >>> is_late_arrival(seen, Visit(10.1, 'b0', 'pay', 7.4))
    True
    >>> is_late_arrival(seen, Visit(10.1, 'b0', 'pay', 7.6))
    False
    """
    since_s = arrival.leaving_since_s
    return since_s is not None and seen.sent_s > since_s + DRAIN_S
