"""Tell callers which entry VMs to use, for how long, nearest first."""

from typing import Any

import attrs

from .membership import LIVE, ListedVm


@attrs.frozen(kw_only=True)
class Place:
    """Say where a caller is, as far as it told."""

    region: str = ''
    failure_domain: str = ''


@attrs.frozen(kw_only=True)
class NamedEntry:
    """Offer one entry VM with the key prefix it issues now."""

    vm: ListedVm
    key_prefix: str


def lend_prefixes(entries: list[NamedEntry]) -> list[NamedEntry]:
    """Give VMs that can't issue keys now the prefix of one that can."""
    usable = [entry.key_prefix for entry in entries if entry.key_prefix]
    if not usable:
        return entries
    return [
        entry if entry.key_prefix else attrs.evolve(entry, key_prefix=usable[0])
        for entry in entries
    ]


def rank_entries(
    entries: list[NamedEntry],
    place: Place,
) -> list[NamedEntry]:
    """Sort entry VMs by their distance from a place.

    >>> rank_entries([], Place())
    []
    """
    return sorted(entries, key=lambda entry: _distance(entry.vm, place))


def _distance(vm: ListedVm, place: Place) -> tuple[bool, bool]:
    return (
        bool(place.region) and vm.region != place.region,
        bool(place.failure_domain)
        and vm.failure_domain != place.failure_domain,
    )


def render_directory(
    entries: list[NamedEntry],
    ttl_s: float,
) -> dict[str, Any]:
    """Give the directory's answer as plain values."""
    return {
        'expires_in_s': ttl_s,
        'entries': [
            {
                'name': entry.vm.name,
                'address': entry.vm.address,
                'region': entry.vm.region,
                'failure_domain': entry.vm.failure_domain,
                'key_prefix': entry.key_prefix,
            }
            for entry in entries
            if entry.vm.state == LIVE
        ],
    }
