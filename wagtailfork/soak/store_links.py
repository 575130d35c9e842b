"""Links from each gateway to the store, which can be cut."""

from collections import Counter
from typing import Final

import attrs

from .flow import Lane
from .links import Link

_DELAY_S: Final = 0.0001


@attrs.define(eq=False)
class StoreLinks:
    """Hold the link of each gateway, by the name of its VM."""

    played: Counter[str] = attrs.field(factory=Counter)
    _links: dict[str, Link] = attrs.field(factory=dict)

    async def open(self, vm: str, store_address: str) -> str:
        """Open a link; return the address at which the VM finds the store."""
        host, _, port = store_address.rpartition(':')
        link = Link(
            target=(host, int(port)),
            up=self._make_lane(),
            down=self._make_lane(),
            played=self.played,
        )
        await link.open()
        self._links[vm] = link
        return link.address

    def cut(self, vm: str, seconds: float) -> None:
        """Hold back all bytes between a VM and the store for a time."""
        link = self._links[vm]
        for lane in (link.up, link.down):
            link.cut(lane, seconds)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def _make_lane(self) -> Lane:
        return Lane(delay_s=_DELAY_S, mbps=0, played=self.played)
