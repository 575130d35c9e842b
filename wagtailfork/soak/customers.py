"""Customers of a run, their keys and what callers send of them."""

import math
import random
from collections.abc import Iterator
from itertools import count
from typing import Any, Final

import attrs

from ..core.clock import now_s
from ..standin.documents import describe_customer

PUBLIC_KIND: Final = 'look'  # its route requires no key
HOMED_KIND: Final = 'snap'  # its route allows one region
HOME: Final = 'south'
LOCAL: Final = 'local'  # the customer whose regions are limited
FLOOD: Final = 'flood'  # the customer with a quota
FLOOD_PER_S: Final = 10
FLOOD_BURST: Final = 5
REVOCATION_LIMIT_MS: Final = 5000
KEYS_EACH: Final = 3
LATEST: Final = 6  # of the removed keys: still sent by callers
FORGED_SHARE: Final = 0.3
# Share of customers among the valid keys, and of what else is sent.
_CUSTOMERS: Final = {'gold': 0.2, 'silver': 0.1, LOCAL: 0.1, FLOOD: 0.6}
_SENT: Final = {'valid': 0.6, 'removed': 0.2, 'unknown': 0.1, 'none': 0.1}
_FIELDS: Final[dict[str, dict[str, Any]]] = {
    'gold': {'priority': 0},
    'silver': {},
    LOCAL: {'regions': [HOME]},
    FLOOD: {'requests_per_s': FLOOD_PER_S, 'burst': FLOOD_BURST},
}


@attrs.define(eq=False)
class Key:
    """Hold whose key it is and when it was added and removed."""

    text: str
    customer: str
    added_s: float = attrs.field(factory=now_s)
    removed_s: float = math.inf  # when the store acknowledged it
    listed: bool = True


@attrs.define(eq=False)
class Customers:
    """Hold all keys that a run ever had."""

    rng: random.Random
    keys: dict[str, Key] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=count)

    def __attrs_post_init__(self) -> None:
        """Give each customer its keys."""
        for name in _CUSTOMERS:
            for _ in range(KEYS_EACH):
                self._add_key(name)

    def describe(self) -> dict[str, Any]:
        """Return the table of customers for a configuration."""
        return {
            name: describe_customer(
                keys=[key.text for key in self._listed(name)],
                **_FIELDS[name],
            )
            for name in _CUSTOMERS
        }

    def replace_key(self) -> Key:
        """Take a key from the table and add another; return the former."""
        name = self.rng.choice(list(_CUSTOMERS))
        removed = self._listed(name)[0]
        removed.listed = False
        self._add_key(name)
        return removed

    def draw_key(self) -> str:
        """Return the key that a caller sends, empty for none."""
        sent = self._draw(_SENT)
        if sent == 'none':
            return ''
        if sent == 'unknown':
            return f'unknown-{self.rng.random()}'
        removed = [key for key in self.keys.values() if not key.listed]
        if sent == 'removed' and removed:
            return self.rng.choice(removed[-LATEST:]).text
        return self.rng.choice(self._listed(self._draw(_CUSTOMERS))).text

    def draw_headers(self, key: str) -> str:
        """Return the headers with a key and, at times, a forged customer."""
        lines = [f'X-Api-Key: {key}\r\n'] if key else []
        if self.rng.random() < FORGED_SHARE:
            forged = self.rng.choice(list(_CUSTOMERS))
            lines.append(f'Tenant: {forged}\r\n')
        return ''.join(lines)

    def _draw(self, shares: dict[str, float]) -> str:
        return self.rng.choices(list(shares), list(shares.values()))[0]

    def _listed(self, name: str) -> list[Key]:
        return [
            key
            for key in self.keys.values()
            if key.customer == name and key.listed
        ]

    def _add_key(self, name: str) -> None:
        text = f'{name}-{next(self._numbers)}-{self.rng.random()}'
        self.keys[text] = Key(text, name)
