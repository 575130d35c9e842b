"""Selection of the entry VM addresses returned to callers."""

from typing import Final

from .member import Member
from .members import Membership

MAX_ADDRESSES: Final = 64


def choose_addresses(
    membership: Membership,
    region: str,
    domain: str,
    now: float,
) -> list[str]:
    """Return ready VMs of the domain, else of the region, else all.

    >>> me = Member(address='10.0.0.1:1', caller_address='10.0.0.1:2',
    ...             failure_domain='a', region='r', incarnation=1, ready=True)
    >>> choose_addresses(Membership(me), 'r', 'b', now=0)
    ['10.0.0.1:2']
    """
    ready = [one for one in membership.alive(now) if one.ready]
    if membership.me.ready:
        ready.append(membership.me)
    candidates = [one for one in ready if one.failure_domain == domain]
    if not candidates:
        candidates = [one for one in ready if one.region == region]
    return _sorted_addresses(candidates or ready)


def _sorted_addresses(members: list[Member]) -> list[str]:
    return sorted(one.caller_address for one in members)[:MAX_ADDRESSES]
