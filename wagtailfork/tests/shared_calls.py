"""Calls and tickets that several tests share."""

from typing import Any

from .rig import Entry, Rig
from .rig_tools import Reply

DEFAULT_CALLS = 40


async def call_in_turn(rig: Rig, count: int = DEFAULT_CALLS) -> list[Reply]:
    """Send requests one after another, through each entry VM in turn."""
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
    """Return a ticket that defines one customer."""
    item = {'kind': 'customer', 'name': name, 'state': {'weight': weight}}
    return {'ticket': number, 'operator': 'ana', 'objects': [item]}


async def is_served_everywhere(
    rig: Rig,
    entries: list[Entry],
    name: str,
) -> bool:
    """Return whether every entry VM serves a customer."""
    replies = [
        await rig.call(entry, wagtailfork_customer=name) for entry in entries
    ]
    return {reply.kind for reply in replies} == {'ran'}
