"""The directory of entry VMs for callers, nearest first."""

from typing import Any

import attrs

from .vm_list import LIVE, ListedVm


@attrs.frozen(kw_only=True)
class CallerLocation:
    """Hold the location that a caller gave; empty fields are unknown."""

    region: str = ''
    failure_domain: str = ''


@attrs.frozen(kw_only=True)
class AdvertisedEntry:
    """Pair an entry VM with the key prefix that it issues now."""

    vm: ListedVm
    key_prefix: str


def fill_key_prefixes(entries: list[AdvertisedEntry]) -> list[AdvertisedEntry]:
    """Give entries without a key prefix the prefix of another entry."""
    usable = [entry.key_prefix for entry in entries if entry.key_prefix]
    if not usable:
        return entries
    return [
        entry if entry.key_prefix else attrs.evolve(entry, key_prefix=usable[0])
        for entry in entries
    ]


def rank_entries(
    entries: list[AdvertisedEntry],
    location: CallerLocation,
) -> list[AdvertisedEntry]:
    """Sort entry VMs by their distance from a caller.

    >>> rank_entries([], CallerLocation())
    []
    """
    return sorted(entries, key=lambda entry: _distance(entry.vm, location))


def _distance(vm: ListedVm, location: CallerLocation) -> tuple[bool, bool]:
    return (
        bool(location.region) and vm.region != location.region,
        bool(location.failure_domain)
        and vm.failure_domain != location.failure_domain,
    )


def render_directory(
    entries: list[AdvertisedEntry],
    ttl_s: float,
) -> dict[str, Any]:
    """Return the directory document as plain values."""
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
