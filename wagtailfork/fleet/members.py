"""Which entry VMs exist and answer, by heartbeats that spread as gossip."""

import random
import zlib
from collections.abc import Iterable
from typing import Final

import attrs

HEARTBEAT_S: Final = 0.2  # five heartbeats fit into the time below
DOWN_S: Final = 1.0  # silence after which a VM of the own domain is down
FAR_DOWN_S: Final = (
    3.5  # for other domains, whose heartbeats come by the second
)
FORGET_S: Final = 900.0  # a VM that stays silent this long is dropped
FAN_OUT: Final = 6  # neighbours told at each heartbeat
# Heartbeats from all VMs of a domain together to another domain, for each
# heartbeat of one VM: two a second to near ones, one to far ones.
NEAR_CHANCE: Final = 0.4
FAR_CHANCE: Final = 0.2
RETRY_CHANCE: Final = 0.2  # of a heartbeat to a VM that is silent
ROWS: Final = 24  # members that one heartbeat carries; fits one datagram


@attrs.frozen(kw_only=True)
class Member:
    """Hold what one entry VM says of itself."""

    address: str  # IP number and port of the fleet's traffic
    caller_address: str
    failure_domain: str
    region: str
    incarnation: int
    beat: int = 0
    ready: bool = False
    reading: bool = False  # it follows the platform's store, with success
    config_version: int = 0
    servers_position: int = 0

    def newer_than(self, other: 'Member') -> bool:
        """Tell whether this says something later than ``other``."""
        mine = (self.incarnation, self.beat)
        return mine > (other.incarnation, other.beat)


@attrs.define
class _Heard:
    member: Member
    at_s: float


def rendezvous(key: str, addresses: Iterable[str]) -> str | None:
    """Give the address that every VM picks for a key, by highest hash.

    >>> rendezvous('a', ['10.0.0.1:1', '10.0.0.2:1']) in (
    ...     '10.0.0.1:1', '10.0.0.2:1')
    True
    """
    ranked = (
        (zlib.crc32(f'{key} {name}'.encode()), name) for name in addresses
    )
    return max(ranked, default=(0, None))[1]


@attrs.define(eq=False)
class Membership:
    """Fold heartbeats of all VMs into a table."""

    me: Member
    _table: dict[str, _Heard] = attrs.field(factory=dict)

    def beat(self, **changes: object) -> None:
        """Say something new of this VM."""
        self.me = attrs.evolve(
            self.me,
            beat=self.me.beat + 1,
            **changes,  # type: ignore[arg-type]
        )

    def merge(self, members: Iterable[Member], now: float) -> list[Member]:
        """Take over what is news; give the members that were not alive."""
        joined = []
        for member in members:
            known = self._table.get(member.address)
            if not self._is_news(member, known):
                continue
            if known is None or not self._answers(known, now):
                joined.append(member)
            self._table[member.address] = _Heard(member, now)
        return joined

    def introduce(self, members: Iterable[Member]) -> None:
        """Add VMs that are listed somewhere but were not heard yet."""
        for member in members:
            if member.address not in self._table:
                self._table[member.address] = _Heard(member, -DOWN_S * 10)

    def alive(self, now: float) -> list[Member]:
        """Give the other VMs that were heard lately."""
        heard = self._table.values()
        return [one.member for one in heard if self._answers(one, now)]

    def neighbours(self, now: float) -> list[Member]:
        """Give the living VMs of the own failure domain, without this one."""
        own = self.me.failure_domain
        return [one for one in self.alive(now) if one.failure_domain == own]

    def is_neighbour(self, address: str, now: float) -> bool:
        """Tell whether a living VM of the own domain has an address."""
        heard = self._table.get(address)
        if heard is None or not self._answers(heard, now):
            return False
        return heard.member.failure_domain == self.me.failure_domain

    def in_domain(self, domain: str, now: float) -> list[Member]:
        """Give the living VMs of a failure domain, this one included."""
        found = [one for one in self.alive(now) if one.failure_domain == domain]
        if self.me.failure_domain == domain:
            found.append(self.me)
        return found

    def other_domains(self, now: float) -> dict[str, list[str]]:
        """Give the addresses of living VMs by each other failure domain."""
        found: dict[str, list[str]] = {}
        for member in self.alive(now):
            if member.failure_domain == self.me.failure_domain:
                continue
            found.setdefault(member.failure_domain, []).append(member.address)
        return found

    def count(self, now: float) -> int:
        """Count the living VMs, this one included."""
        return len(self.alive(now)) + 1

    def near_count(self, now: float) -> int:
        """Count the living VMs of the region, this one included."""
        alive = self.alive(now)
        return 1 + sum(one.region == self.me.region for one in alive)

    def silent(self, now: float) -> list[Member]:
        """Give known VMs that do not answer."""
        heard = self._table.values()
        return [one.member for one in heard if not self._answers(one, now)]

    def forget_old(self, now: float) -> list[Member]:
        """Drop VMs that have been silent for very long."""
        old = [
            one.member
            for one in self._table.values()
            if now - one.at_s > FORGET_S and one.at_s > 0
        ]
        for member in old:
            self._table.pop(member.address)
        return old

    def told_to(self, now: float) -> list[Member]:
        """Choose whom the next heartbeat goes to."""
        neighbours = self.neighbours(now)
        chosen = random.sample(neighbours, min(FAN_OUT, len(neighbours)))
        return chosen + self._distant(now, len(neighbours) + 1)

    def rows(self, now: float) -> list[Member]:
        """Choose which members the next heartbeat speaks of."""
        others = self.alive(now)
        if len(others) > ROWS:
            others = random.sample(others, ROWS)
        return [self.me, *others]

    def _is_news(self, member: Member, known: _Heard | None) -> bool:
        if member.address == self.me.address:
            return False
        return known is None or member.newer_than(known.member)

    def _distant(self, now: float, group: int) -> list[Member]:
        """Choose some VMs of other domains, and one that is silent."""
        chosen = []
        for member in self._one_of_each_domain(now):
            near = member.region == self.me.region
            chance = NEAR_CHANCE if near else FAR_CHANCE
            if random.random() < chance / group:  # noqa: S311
                chosen.append(member)
        quiet = self.silent(now)
        if quiet and random.random() < RETRY_CHANCE:  # noqa: S311
            chosen.append(random.choice(quiet))  # noqa: S311
        return chosen

    def _one_of_each_domain(self, now: float) -> list[Member]:
        by_domain: dict[str, Member] = {}
        alive = self.alive(now)
        random.shuffle(alive)
        for member in alive:
            if member.failure_domain != self.me.failure_domain:
                by_domain[member.failure_domain] = member
        return list(by_domain.values())

    def _answers(self, heard: _Heard, now: float) -> bool:
        near = heard.member.failure_domain == self.me.failure_domain
        limit_s = DOWN_S if near else FAR_DOWN_S
        return now - heard.at_s <= limit_s
