"""Find entries of a configuration that cannot work, and what differs."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

import attrs

from ..http1.request import Limits
from .customers import Customer
from .routes import Route, ServiceRule

_MIN_BURST: Final = 1  # a bucket that holds less never admits a request


@attrs.frozen(kw_only=True)
class CheckedConfiguration:
    """Hold a decoded configuration and what its decoder leaves out."""

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, ServiceRule]
    limits: Limits
    customers: Mapping[str, Customer] = attrs.field(factory=dict)
    # Digests of the usable keys of each customer.
    keys: Mapping[str, frozenset[bytes]] = attrs.field(factory=dict)
    unreadable: tuple[str, ...] = ()  # customers that are left out
    repeated: tuple[str, ...] = ()  # names that one object has twice


def find_faults(checked: CheckedConfiguration) -> Iterator[str]:
    """Describe entries that never match and limits that contradict."""
    for name in checked.repeated:
        yield f'name {name}: given twice in one object, the last counts'
    for name in checked.unreadable:
        yield f'customer {name}: malformed, left out'
    yield from _find_shadowed(checked.routes.values())
    for route in checked.routes.values():
        yield from _check_route(route, checked)
    yield from _find_unused(checked)
    yield from _check_customers(checked)


def find_changes(
    before: CheckedConfiguration, after: CheckedConfiguration
) -> Iterator[str]:
    """Describe what differs from the configuration in force."""
    if after.version <= before.version:
        yield (
            f'version {after.version}: not above {before.version}, '
            'it will not come into force'
        )
    for kind in ('route', 'service', 'customer'):
        yield from _compare_entries(
            kind, getattr(before, f'{kind}s'), getattr(after, f'{kind}s')
        )
    yield from _compare_fields('limits', before.limits, after.limits)
    for name in sorted(before.keys.keys() & after.keys.keys()):
        added = len(after.keys[name] - before.keys[name])
        removed = len(before.keys[name] - after.keys[name])
        if added or removed:
            yield f'customer {name}: keys added {added}, removed {removed}'


def _find_shadowed(routes: Iterable[Route]) -> Iterator[str]:
    """Describe routes that a later one of the same place replaces."""
    by_place: dict[tuple[str, str], list[str]] = defaultdict(list)
    for route in routes:
        by_place[(route.host.lower(), route.prefix)].append(route.name)
    for names in by_place.values():
        for name in names[:-1]:
            yield f'route {name}: never matches, shadowed by {names[-1]}'


def _check_route(route: Route, checked: CheckedConfiguration) -> Iterator[str]:
    start = f'route {route.name}:'
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        yield f'{start} never matches, prefix without / at both ends'
    if '?' in route.prefix:
        yield f'{start} never matches, prefix with a query'
    if ':' in route.host:
        yield f'{start} never matches, host with a port'
    for service, _ in route.weighted_services:
        if service not in checked.services:
            yield f'{start} service {service} is not configured'
    if not any(weight > 0 for _, weight in route.weighted_services):
        yield f'{start} all weights are zero'
    if route.timeout_s is not None and route.timeout_s < route.objective_s:
        yield (
            f'{start} timeout {route.timeout_s} s '
            f'below the objective {route.objective_s} s'
        )


def _find_unused(checked: CheckedConfiguration) -> Iterator[str]:
    used = {
        service
        for route in checked.routes.values()
        for service, _ in route.weighted_services
    }
    for name in checked.services:
        if name not in used:
            yield f'service {name}: no route uses it'


def _check_customers(checked: CheckedConfiguration) -> Iterator[str]:
    holders: dict[bytes, list[str]] = defaultdict(list)
    for name, customer in checked.customers.items():
        held = checked.keys.get(name, frozenset())
        if not held:
            yield f'customer {name}: no usable key'
        for digest in held:
            holders[digest].append(name)
        if customer.requests_per_s and customer.burst < _MIN_BURST:
            yield f'customer {name}: burst {customer.burst} admits no request'
        yield from _check_regions(customer, checked.routes.values())
    for names in sorted(filter(_is_shared, holders.values())):
        yield f'customers {", ".join(names)}: share a key, it counts for none'


def _is_shared(names: list[str]) -> bool:
    return len(names) > 1


def _check_regions(
    customer: Customer, routes: Iterable[Route]
) -> Iterator[str]:
    for route in routes:
        if not (customer.regions and route.regions) or route.public:
            continue
        if customer.regions.isdisjoint(route.regions):
            yield (
                f'customer {customer.name}: '
                f'no region in common with route {route.name}'
            )


def _compare_entries(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if new is None:
            yield f'{kind} {name}: removed'
        elif old is None:
            yield f'{kind} {name}: added'
        else:
            yield from _compare_fields(f'{kind} {name}', old, new)


def _compare_fields(what: str, before: Any, after: Any) -> Iterator[str]:
    for field in attrs.fields(type(after)):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            yield f'{what}: {field.name} {_render(old)} -> {_render(new)}'


def _render(found: Any) -> str:
    if isinstance(found, frozenset):
        return ','.join(sorted(found)) or 'all'
    return str(getattr(found, 'value', found))
