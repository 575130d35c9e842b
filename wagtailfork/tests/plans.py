"""What the rig tells the platform: VM lists and change tickets."""

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
    """Hold one entry process and its addresses."""

    name: str
    domain: str
    ports: tuple[int, int, int]
    relay: Relay
    region: str
    proc: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> str:
        """Give the callers' address."""
        return f'{HOST}:{self.ports[0]}'

    @property
    def admin(self) -> str:
        """Give the administration address."""
        return f'{HOST}:{self.ports[2]}'


def entry_vm(entry: Entry, *, is_leaving: bool) -> dict[str, Any]:
    """Make an entry VM's line of the VM list."""
    return {
        'name': entry.name,
        'role': 'entry',
        'state': 'leaving' if is_leaving else 'live',
        'address': entry.callers,
        'peer_address': f'{HOST}:{entry.relay.port}',
        'region': entry.region,
        'failure_domain': entry.domain,
    }


def leaving_backend(index: int, port: int) -> dict[str, Any]:
    """Make the VM list's line of a backend server that leaves."""
    return {
        'name': f'backend-{index}',
        'role': 'backend',
        'state': 'leaving',
        'address': f'{HOST}:{port}',
    }


def first_ticket(backend_ports: list[int], slots: int) -> dict[str, Any]:
    """Make the ticket that sets the service up."""
    objects: list[dict[str, Any]] = [
        {'kind': 'service', 'name': 'payvend', 'state': {}},
    ]
    for customer in CUSTOMERS:
        objects.append({'kind': 'customer', 'name': customer, 'state': {}})
    for index, port in enumerate(backend_ports):
        objects.append(backend_object(index, port, slots))
    return {'ticket': 1, 'operator': 'rig', 'objects': objects}


def backend_object(index: int, port: int, slots: int) -> dict[str, Any]:
    """Make one backend server's object for a ticket."""
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
