"""Selection of the targets and rows of heartbeats.

The number of targets per heartbeat and of rows in it is bounded, so the cost
does not grow with the size of the fleet.
"""

import random
from collections.abc import Iterable
from typing import Final

import attrs

from .member import Member, MemberRow, short_row
from .members import Membership

# Expected number of heartbeats per period that all VMs of a domain together
# send to another domain: two per second within the region, else one.
SAME_REGION_PROBABILITY: Final = 0.4
OTHER_REGION_PROBABILITY: Final = 0.2
RETRY_PROBABILITY: Final = 0.2  # of a heartbeat to an unreachable VM
JOIN_OWN_DOMAIN: Final = 32  # VMs of its domain that a new VM contacts
JOIN_OTHER_DOMAIN: Final = 3  # VMs of each other domain
REFRESH_INTERVAL_BEATS: Final = 2  # halves the mean size of heartbeats
JOIN_REPLY_ROWS: Final = 16  # other VMs in the reply; fits one datagram


@attrs.define(eq=False)
class GossipSelector:
    """Select what this VM gossips and to which VMs."""

    membership: Membership

    def heartbeat_targets(self, now: float) -> list[Member]:
        """Select the targets of the next heartbeat."""
        by_address = {one.address: one for one in self.membership.neighbours()}
        chosen = [
            by_address.pop(address)
            for address in self.membership.ring.successors()
        ]
        # A random target spreads gossip beyond adjacent ring positions.
        chosen.extend(_sample(list(by_address.values()), 1))
        return chosen + self._distant_targets(now)

    def heartbeat_rows(self, now: float) -> list[MemberRow]:
        """Select the rows of the next heartbeat."""
        me = self.membership.me
        known_members = self.membership.known_members()
        found: dict[str, MemberRow] = {me.address: short_row(me)}
        if me.heartbeat_count % REFRESH_INTERVAL_BEATS == 0:
            for member in self._refresh_members(now):
                found[member.address] = short_row(member)
            for one in _sample(self.membership.alive(now), 1):
                found[one.address] = one
        for address in self.membership.gossip.next_addresses(
            len(known_members)
        ):
            found[address] = self.membership.get(address)
        return list(found.values())

    def join_reply_rows(self) -> list[MemberRow]:
        """Select the rows of the reply to a VM that joins."""
        known_members = self.membership.known_members()
        return [self.membership.me, *_sample(known_members, JOIN_REPLY_ROWS)]

    def join_targets(self, listed: Iterable[Member]) -> list[Member]:
        """Select the VMs that a new VM contacts; gossip reaches the others."""
        me = self.membership.me
        by_domain: dict[str, list[Member]] = {}
        for member in listed:
            if member.address != me.address:
                by_domain.setdefault(member.failure_domain, []).append(member)
        chosen = []
        for domain, members in by_domain.items():
            own = domain == me.failure_domain
            limit = JOIN_OWN_DOMAIN if own else JOIN_OTHER_DOMAIN
            chosen.extend(_sample(members, limit))
        return chosen

    def _refresh_members(self, now: float) -> list[Member]:
        """Select members whose entries must not expire at other VMs.

        The heartbeats of a store reader renew its lease, and a domain counts
        as down unless newer rows of it arrive.
        """
        refreshed = self.membership.store_readers(now)[:1]
        domains = self.membership.other_domains(now)
        if domains:
            domain = random.choice(list(domains))  # noqa: S311
            newest = max(domains[domain], key=self.membership.last_update_s)
            refreshed.append(self.membership.get(newest))
        return refreshed

    def _distant_targets(self, now: float) -> list[Member]:
        """Select VMs of other domains, and at times one unreachable VM."""
        domain_size = len(self.membership.neighbours()) + 1
        chosen = []
        for addresses in self.membership.other_domains(now).values():
            member = self.membership.get(random.choice(addresses))  # noqa: S311
            same_region = member.region == self.membership.me.region
            probability = (
                SAME_REGION_PROBABILITY
                if same_region
                else OTHER_REGION_PROBABILITY
            )
            if random.random() < probability / domain_size:  # noqa: S311
                chosen.append(member)
        if random.random() < RETRY_PROBABILITY:  # noqa: S311
            chosen.extend(_sample(self.membership.unreachable(now), 1))
        return chosen


def _sample(members: list[Member], limit: int) -> list[Member]:
    return random.sample(members, min(limit, len(members)))
