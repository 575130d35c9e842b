"""Divide the limits of backend servers among the VMs that send to them.

A limit is for all VMs together. Each failure domain has a fixed share of it,
the largest one that of the server itself. Within a domain, only the
coordinator of the service chooses limited servers; a VM that cannot reach it
chooses others. No message is needed, so none that is lost lets a limit be
exceeded.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..fleet.members import Membership
from ..routing.candidate import Candidate
from .placement_client import PlacementClient

# Weights of the server's own domain, of the other domains of its region
# together and of all other regions together. Requests go to near servers
# first, so distant domains need little; they hear when a limit ends.
_WEIGHTS: Final = {'domain': 0.6, 'region': 0.3, 'far': 0.1}
# For which lost VMs of the domain count: if they are cut off, they still send.
LOST_VM_MEMORY_S: Final = 15.0


@attrs.define(eq=False)
class LimitShares:
    """Keep the share of this VM in each limit up to date."""

    membership: Membership
    placer: PlacementClient
    regions: Mapping[str, str]  # failure domain to region
    _limited: dict[str, list[Candidate]] = attrs.field(
        factory=dict
    )  # by service

    def apply_change(self, candidate: Candidate, now: float) -> None:
        """Set the shares after a server named a limit or became cold."""
        limited = self._limited.setdefault(candidate.service, [])
        if candidate not in limited:
            limited.append(candidate)
        self._update_service(candidate.service, limited, now)

    def update(self, now: float) -> None:
        """Set the shares of all servers that name a limit or are cold."""
        for service, limited in list(self._limited.items()):
            named = [
                one
                for one in limited
                if one.limit.is_named or one.warm_up.is_active(now)
            ]
            if named:
                self._limited[service] = named
                self._update_service(service, named, now)
            else:
                self._limited.pop(service)

    def retain(self, is_listed: Callable[[Candidate], bool]) -> None:
        """Forget the servers that are not listed any more."""
        for service, limited in self._limited.items():
            self._limited[service] = [one for one in limited if is_listed(one)]

    def _update_service(
        self, service: str, limited: list[Candidate], now: float
    ) -> None:
        domains = self.membership.domains()
        share = self._share_in_domain(service, now)
        for candidate in limited:
            part = share * self._domain_share(candidate, domains)
            candidate.limit.share = part
            if candidate.distance.reach == 'far':
                # A request of each distant domain at once would be too many.
                part = 0
            candidate.warm_up.apply_share(part, now)

    def _share_in_domain(self, service: str, now: float) -> float:
        """Return this VM's share of what its failure domain may send."""
        membership = self.membership
        if self.placer.coordinator_of(service) != membership.me.address:
            return 0
        # A side of a partition uses no more than the part of its VMs.
        vms = 1 + len(membership.neighbours())
        return vms / (vms + membership.count_lost(now, LOST_VM_MEMORY_S))

    def _domain_share(
        self, candidate: Candidate, domains: dict[str, str]
    ) -> float:
        """Return the share of this VM's failure domain in one limit."""
        region = self.regions.get(candidate.failure_domain)
        counts: Counter[str] = Counter()
        for domain, domain_region in domains.items():
            if domain == candidate.failure_domain:
                counts['domain'] += 1
            elif domain_region == region:
                counts['region'] += 1
            else:
                counts['far'] += 1
        own = candidate.distance.reach
        total = sum(_WEIGHTS[reach] for reach in counts)
        return _WEIGHTS[own] / total / max(1, counts[own])
