"""Evacuations of failure domains, as the operators order them."""

import asyncio
import random
from typing import Final

import attrs

from ..core.clock import now_s
from ..standin.keyed_store import KeyedStoreStandin
from .plan import CONFIG_TOPIC, REGIONS

APPLY_S: Final = 5.0  # from the acknowledgement to the last request
MAX_JUDGED_S: Final = 5.0


@attrs.define(eq=False)
class Evacuations:
    """Evacuate one domain after the other."""

    spans: list[tuple[str, float, float]] = attrs.field(factory=list)
    _under_way: bool = False

    async def play(self, store: KeyedStoreStandin, rng: random.Random) -> None:
        """Evacuate a domain for some time unless another one is."""
        if self._under_way:
            return
        self._under_way = True
        domain = rng.choice(sorted(REGIONS))
        store.put(CONFIG_TOPIC, f'evacuate/{domain}', b'{}')
        since_s = now_s()
        index = len(self.spans)
        self.spans.append((domain, since_s, now_s() + APPLY_S + MAX_JUDGED_S))
        await asyncio.sleep(APPLY_S + MAX_JUDGED_S * rng.random())
        self.spans[index] = (domain, since_s, now_s())
        store.delete_key(CONFIG_TOPIC, f'evacuate/{domain}')
        self._under_way = False

    def is_barred(self, domain: str, at_s: float) -> bool:
        """Return whether no request may reach the domain at a time.

        >>> evacuations = Evacuations([('a', 10, 20)])
        >>> evacuations.is_barred('a', 14.9), evacuations.is_barred('a', 15.1)
        (False, True)
        >>> evacuations.is_barred('a', 21), evacuations.is_barred('b', 16)
        (False, False)
        """
        return any(
            each == domain and since_s + APPLY_S < at_s < until_s
            for each, since_s, until_s in self.spans
        )
