"""Sample documents as operators and backend servers store them."""

import json
from typing import Any, Final

SERVERS_PER_SERVICE: Final = 7
DOMAIN_COUNT: Final = 18
SERVICE_COUNT: Final = 50
HOST_COUNT: Final = 10
_OCTET_SIZE: Final = 256
_STARTED_MS: Final = 1796386631490


def make_entry(index: int) -> bytes:
    """Return the store entry of the server with this index.

    >>> json.loads(make_entry(300))['address']
    '10.0.1.44:8080'
    """
    high, low = divmod(index, _OCTET_SIZE)
    fields = describe_server(
        service=f's{index // SERVERS_PER_SERVICE}',
        address=f'10.{high // _OCTET_SIZE}.{high % _OCTET_SIZE}.{low}:8080',
        domain=f'domain-{index % DOMAIN_COUNT}',
        started_ms=_STARTED_MS,
    )
    return json.dumps(fields).encode()


def describe_server(
    *,
    service: str,
    address: str,
    domain: str,
    slots: int = 4,
    draining: bool = False,
    sequence: int = 1,
    started_ms: int = 1,
) -> dict[str, Any]:
    """Return the fields of the entry of a warm server."""
    return {
        'service': service,
        'address': address,
        'zone': domain,
        'version': 'v1',
        'capacity': slots,
        'state': 'draining' if draining else 'ready',
        'warmupLeftMs': 0,
        'seq': sequence,
        'born': started_ms,
    }


def describe_route(
    *,
    prefix: str,
    kind: str,
    service: str,
    timeout_ms: int,
    objective_ms: int,
    **extra: Any,
) -> dict[str, Any]:
    """Return the fields of a route to one service."""
    return make_route(
        pathPrefix=prefix,
        type=kind,
        service=service,
        timeoutMs=timeout_ms,
        targetLatencyMs=objective_ms,
        **extra,
    )


def describe_customer(
    *,
    keys: list[str],
    priority: int | None = None,
    requests_per_s: float = 0,
    burst: float = 0,
    regions: list[str] | None = None,
) -> dict[str, Any]:
    """Return the fields of a customer; those without a value are left out."""
    fields = {
        'apiKeys': keys,
        'priority': priority,
        'ratePerS': requests_per_s or None,
        'burst': burst or None,
        'allowedRegions': regions,
    }
    return {key: found for key, found in fields.items() if found is not None}


def make_route(**changes: Any) -> dict[str, Any]:
    """Return a route with usual limits, updated with ``changes``."""
    fields: dict[str, Any] = {
        'host': 'shop.example',
        'pathPrefix': '/look/',
        'type': 'safe',
        'timeoutMs': 2000,
        'targetLatencyMs': 250,
        'priority': 1,
        'service': 'stock',
        'maxAttempts': 2,
    }
    fields.update(changes)
    return fields


def make_configuration(routes: int) -> bytes:
    """Return a configuration with ``routes`` routes."""
    document: dict[str, Any] = {
        'version': 1,
        'routes': {
            f'route{index}': make_route(
                host=f'host{index % HOST_COUNT}.example',
                pathPrefix=f'/path{index}/',
                service=f's{index % SERVICE_COUNT}',
            )
            for index in range(routes)
        },
        'services': {
            f's{index}': {'healthPath': '/health', 'maxConns': 200}
            for index in range(SERVICE_COUNT)
        },
        'limits': {},
    }
    return json.dumps(document).encode()
