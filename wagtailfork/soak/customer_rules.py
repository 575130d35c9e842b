"""Rules on keys, customers, home regions and quotas."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

import attrs

from .customers import (
    FLOOD,
    LOCAL,
    FLOOD_BURST,
    FLOOD_PER_S,
    HOME,
    HOMED_KIND,
    PUBLIC_KIND,
    REVOCATION_LIMIT_MS,
    Customers,
    Key,
)
from .plan import REGIONS
from .record import RequestRecord, Visit

QUOTA_WINDOW_S: Final = 5
_OVERSHOOT: Final = 1.1
_SLACK: Final = 20
QUOTA_LIMIT: Final = _SLACK + _OVERSHOOT * (
    FLOOD_PER_S * QUOTA_WINDOW_S + FLOOD_BURST
)
KEY_APPLY_S: Final = 2.5  # until gateways in touch know a new key
_LIMIT_S: Final = REVOCATION_LIMIT_MS / 1000
_UNAUTHORIZED: Final = 401
_LIMITED: Final = 429


@attrs.define(eq=False)
class CustomerRules:
    """Judge requests by their keys, as nobody but the caller knows them."""

    customers: Customers
    seen: Counter[str] = attrs.field(factory=Counter)  # what was judged

    def broken_rule(self, seen: RequestRecord, *, calm: bool) -> str:
        """Return the rule that a request broke, empty if none.

        ``calm`` tells that its gateway was in touch.
        """
        self._count(seen)
        if any(visit.keyed for visit in seen.arrivals):
            return 'LEAK'
        rules = (self._broken_by_run(seen, run, calm=calm) for run in seen.runs)
        found = next((rule for rule in rules if rule), '')
        if not found and calm and self._is_rejected(seen):
            return 'REJECTED'
        return found

    def over_quota(
        self, requests: Iterable[RequestRecord]
    ) -> list[tuple[str, RequestRecord]]:
        """Return the requests that exceeded the quota in any window."""
        ran = sorted(_times(requests), key=lambda one: one[0])
        found = []
        for index, (since_s, _, _) in enumerate(ran):
            until_s = since_s + QUOTA_WINDOW_S
            inside = [one for one in ran[index:] if one[1] <= until_s]
            self.seen['quota_peak'] = max(self.seen['quota_peak'], len(inside))
            if len(inside) > QUOTA_LIMIT:
                found.append(('QUOTA', inside[-1][2]))
        return found

    def _broken_by_run(
        self, seen: RequestRecord, run: Visit, *, calm: bool
    ) -> str:
        key = self.customers.keys.get(seen.key)
        if _is_away(seen, run):
            return 'HOME'
        public = seen.kind == PUBLIC_KIND or seen.route  # those that change
        if public and not run.customer:
            known = key is not None and _is_known(key, seen)
            return 'TENANT' if calm and known else ''
        if key is None:
            return 'UNKNOWN'
        if seen.sent_s > key.removed_s + _LIMIT_S:
            return 'REVOKED'
        return '' if run.customer == key.customer else 'TENANT'

    def _is_rejected(self, seen: RequestRecord) -> bool:
        key = self.customers.keys.get(seen.key)
        known = key is not None and _is_known(key, seen)
        return known and seen.status == _UNAUTHORIZED

    def _count(self, seen: RequestRecord) -> None:
        key = self.customers.keys.get(seen.key)
        if key is None:
            self.seen['unknown' if seen.key else 'without'] += 1
            return
        self.seen[key.customer] += 1
        self.seen[f'{key.customer}_ran'] += bool(seen.runs)
        self.seen[f'{key.customer}_{_LIMITED}'] += seen.status == _LIMITED
        late = seen.sent_s > key.removed_s + _LIMIT_S
        self.seen['revoked'] += late
        self.seen['revoked_answered'] += late and bool(seen.status)


def _is_away(seen: RequestRecord, run: Visit) -> bool:
    """Return whether a request ran outside of its home region."""
    homed = seen.kind == HOMED_KIND or run.customer == LOCAL
    return homed and REGIONS[run.zone] != HOME


def _is_known(key: Key, seen: RequestRecord) -> bool:
    """Return whether a gateway in touch knew the key for the whole run."""
    return key.listed and key.added_s + KEY_APPLY_S < seen.sent_s


def _times(
    requests: Iterable[RequestRecord],
) -> list[tuple[float, float, RequestRecord]]:
    """Return when each request under the quota was sent and began to run."""
    return [
        (seen.sent_s, min(run.at_s for run in seen.runs), seen)
        for seen in requests
        if any(run.customer == FLOOD for run in seen.runs)
    ]
