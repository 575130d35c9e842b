"""Make the VM lists and change tickets that the rig submits."""

import asyncio
from typing import Any

import attrs

from .relay import Relay
from .rig_tools import HOST

CUSTOMERS = ('kiosk', 'clerk')
DOMAINS = ('hobart-a', 'hobart-b')
REGION = 'south-tas'


@attrs.define(eq=False)
class Entry:
    """Hold an entry VM's process and its addresses."""

    name: str
    failure_domain: str
    ports: tuple[int, int, int]
    relay: Relay
    region: str
    proc: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> str:
        """Return the address that serves callers."""
        return f'{HOST}:{self.ports[0]}'

    @property
    def admin_address(self) -> str:
        """Return the administration address."""
        return f'{HOST}:{self.ports[2]}'


def entry_vm_item(entry: Entry, *, is_leaving: bool) -> dict[str, Any]:
    """Return the VM list's item for an entry VM."""
    return {
        'name': entry.name,
        'role': 'entry',
        'state': 'leaving' if is_leaving else 'live',
        'address': entry.caller_address,
        'peer_address': f'{HOST}:{entry.relay.port}',
        'region': entry.region,
        'failure_domain': entry.failure_domain,
    }


def leaving_backend_item(index: int, port: int) -> dict[str, Any]:
    """Return the VM list's item for a leaving backend server."""
    return {
        'name': f'backend-{index}',
        'role': 'backend',
        'state': 'leaving',
        'address': f'{HOST}:{port}',
    }


def setup_ticket(backend_ports: list[int], slots: int) -> dict[str, Any]:
    """Return the ticket that defines the service, customers and servers."""
    objects: list[dict[str, Any]] = [
        {'kind': 'service', 'name': 'payvend', 'state': {}},
    ]
    for customer in CUSTOMERS:
        objects.append({'kind': 'customer', 'name': customer, 'state': {}})
    for index, port in enumerate(backend_ports):
        objects.append(backend_object(index, port, slots))
    return {'ticket': 1, 'operator': 'rig', 'objects': objects}


def backend_object(index: int, port: int, slots: int) -> dict[str, Any]:
    """Return the ticket object that defines one backend server."""
    return {
        'kind': 'backend',
        'name': f'payvend.{index}',
        'state': {
            'service': 'payvend',
            'address': f'{HOST}:{port}',
            'region': REGION,
            'failure_domain': DOMAINS[index % 2],
            'slots': slots,
        },
    }
