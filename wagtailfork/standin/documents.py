"""Sample documents as operators and backend servers store them."""

import json
from typing import Any, Final

SERVERS_PER_SERVICE: Final = 7
DOMAIN_COUNT: Final = 18
SERVICE_COUNT: Final = 50
HOST_COUNT: Final = 10
_OCTET_SIZE: Final = 256


def make_entry(index: int) -> bytes:
    """Return the store entry of the server with this index.

    >>> json.loads(make_entry(300))['address']
    '10.0.1.44:8080'
    """
    high, low = divmod(index, _OCTET_SIZE)
    fields = {
        'service': f's{index // SERVERS_PER_SERVICE}',
        'address': f'10.{high // _OCTET_SIZE}.{high % _OCTET_SIZE}.{low}:8080',
        'zone': f'domain-{index % DOMAIN_COUNT}',
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'warmupLeftMs': 0,
        'seq': 1,
        'born': 1796386631490,
    }
    return json.dumps(fields).encode()


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
