"""Keys that are taken away, also while gateways are cut off or frozen."""

import asyncio
import random
import signal
from typing import Final

import attrs

from ..core.clock import now_s
from .customers import REVOCATION_LIMIT_MS
from .disruptions import Play
from .gateways import GatewayProcess
from .operators import Operators
from .store_links import StoreLinks

CUSTOMER_KINDS: Final = ('revoke', 'revoke_cut_off', 'evacuate')
# Cut off for so long beyond the limit, so that the rule is put to the test.
MIN_BEYOND_S: Final = 1.5
MAX_BEYOND_S: Final = 3.0
MAX_BEFORE_S: Final = 1.5  # from the cut to the removal of the key
ALONE_SHARE: Final = 0.5  # of the cuts; in the others peers are reached
_LIMIT_S: Final = REVOCATION_LIMIT_MS / 1000


@attrs.define(eq=False, kw_only=True)
class KeyDisruptor:
    """Take keys away and evacuate failure domains."""

    gateways: list[GatewayProcess]
    rng: random.Random
    store_links: StoreLinks
    operators: Operators
    busy: set[str]  # gateways that nobody else may end
    held: set[str]  # gateways that nobody else may freeze
    _cutting: bool = False

    def kinds(self) -> dict[str, Play]:
        """Return what plays each kind."""
        return dict(
            zip(
                CUSTOMER_KINDS,
                (self._revoke, self._revoke_cut_off, self._evacuate),
                strict=True,
            )
        )

    async def _revoke(self) -> None:
        self.operators.revoke_key()

    async def _evacuate(self) -> None:
        evacuations = self.operators.rules.evacuations
        await evacuations.play(self.operators.store, self.rng)

    async def _revoke_cut_off(self) -> None:
        """Take a key away while some gateways cannot hear of it.

        They are cut off from the store. To cut them off from their peers as
        well, all others are frozen, and resumed with what they knew.
        """
        if self._cutting:
            return
        self._cutting = True
        before_s = MAX_BEFORE_S * self.rng.random()
        seconds = (
            before_s + _LIMIT_S + self.rng.uniform(MIN_BEYOND_S, MAX_BEYOND_S)
        )
        count = self.rng.randint(1, max(1, len(self.gateways) // 3))
        cut = self.rng.sample(self.gateways, count)
        for gateway in cut:
            gateway.disruptions.add_trouble(now_s(), now_s() + seconds)
            self.store_links.cut(gateway.vm, seconds)
        alone = self.rng.random() < ALONE_SHARE
        frozen = self._freeze_others(cut, seconds) if alone else []
        await asyncio.sleep(before_s)
        self.operators.revoke_key()
        await asyncio.sleep(seconds - before_s)
        for gateway in frozen:
            gateway.send_signal(signal.SIGCONT)
            self.busy.discard(gateway.vm)
            self.held.discard(gateway.vm)
        self._cutting = False

    def _freeze_others(
        self, cut: list[GatewayProcess], seconds: float
    ) -> list[GatewayProcess]:
        others = [
            gateway
            for gateway in self.gateways
            if gateway not in cut and gateway.vm not in self.busy
        ]
        for gateway in others:
            self.busy.add(gateway.vm)
            self.held.add(gateway.vm)
            gateway.disruptions.add_trouble(now_s(), now_s() + seconds)
            gateway.send_signal(signal.SIGSTOP)
        return others
