"""Calls and tickets that several proofs share."""

from typing import Any

from .rig import Entry, Rig
from .rig_tools import Reply

CALLS = 40


async def burst(rig: Rig, count: int = CALLS) -> list[Reply]:
    """Call through every entry VM in turn."""
    total = len(rig.entries)
    return [
        await rig.call(rig.entries[number % total], path=f'/{number}')
        for number in range(count)
    ]


def customer_ticket(
    number: int,
    name: str,
    weight: float = 1,
) -> dict[str, Any]:
    """Make a ticket that sets one customer."""
    item = {'kind': 'customer', 'name': name, 'state': {'weight': weight}}
    return {'ticket': number, 'operator': 'ana', 'objects': [item]}


async def everywhere(rig: Rig, entries: list[Entry], name: str) -> bool:
    """Tell whether every entry VM serves a customer."""
    replies = [
        await rig.call(entry, wagtailfork_customer=name) for entry in entries
    ]
    return {reply.kind for reply in replies} == {'ran'}
