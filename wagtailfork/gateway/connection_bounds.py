"""How many idle connections to a server this VM keeps."""

import zlib
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..http1.pool import MAX_IDLE_PER_ADDRESS
from ..routing.routes import ServiceRule
from .backend_registry import BackendRegistry

# The rest is for connections in use, which the slots of the server bound.
IDLE_SHARE: Final = 0.5
_DRAWS: Final = 4294967296  # values of a checksum


def idle_part(limit: int, vms: int, key: str) -> int:
    """Return this VM's part of the connections that a server accepts.

    ``key`` names the VM and the server. The fraction of a connection is rounded
    up on about as many of the VMs as the parts need to add up to the whole.

    >>> idle_part(limit=0, vms=4, key=''), idle_part(limit=16, vms=4, key='')
    (8, 2)
    >>> sum(idle_part(100, 139, f'vm{number} b0') for number in range(139))
    53
    """
    part = limit * IDLE_SHARE / vms
    if limit <= 0 or part >= MAX_IDLE_PER_ADDRESS:
        return MAX_IDLE_PER_ADDRESS
    drawn = zlib.crc32(key.encode()) / _DRAWS
    whole = int(part)
    return whole + 1 if drawn < part - whole else whole


@attrs.frozen(kw_only=True)
class ConnectionBounds:
    """Divide the connections that a server accepts among all VMs."""

    vm: str
    backends: BackendRegistry
    services: Callable[[], Mapping[str, ServiceRule]]
    vm_count: Callable[[], int]

    def max_idle(self, address: str) -> int:
        """Return how many idle connections to an address may be kept."""
        rule = self.services().get(self.backends.service_at(address))
        limit = 0 if rule is None else rule.max_connections
        return idle_part(limit, self.vm_count(), f'{self.vm} {address}')
