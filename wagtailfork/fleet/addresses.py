"""Selection of the entry VM addresses returned to callers."""

from typing import Final

import attrs

from .member import Member
from .members import Membership

MAX_ADDRESSES: Final = 64


def choose_addresses(
    membership: Membership,
    region: str,
    domain: str,
    now: float,
    *,
    stale: bool = False,
) -> list[str]:
    """Return ready VMs of the domain, else of the region, else all.

    VMs whose configuration is stale come last; if this one is ``stale`` it
    names itself only if it knows no other.

    >>> me = Member(address='10.0.0.1:1', caller_address='10.0.0.1:2',
    ...             failure_domain='a', region='r', incarnation=1, ready=True)
    >>> choose_addresses(Membership(me), 'r', 'b', now=0)
    ['10.0.0.1:2']
    """
    ready = [one for one in membership.alive(now) if one.ready]
    if stale:
        ready = _fresh(ready) or ready or membership.known_members()
    elif membership.me.ready:
        ready.append(attrs.evolve(membership.me, stale=False))
    ready = _fresh(ready) or ready or _only(membership.me)
    return _nearest(ready, region, domain)


def _fresh(members: list[Member]) -> list[Member]:
    return [one for one in members if not one.stale]


def _only(me: Member) -> list[Member]:
    return [me] if me.ready else []


def _nearest(ready: list[Member], region: str, domain: str) -> list[str]:
    candidates = [one for one in ready if one.failure_domain == domain]
    if not candidates:
        candidates = [one for one in ready if one.region == region]
    return _sorted_addresses(candidates or ready)


def _sorted_addresses(members: list[Member]) -> list[str]:
    return sorted(one.caller_address for one in members)[:MAX_ADDRESSES]
