"""Memory of gateway processes, sampled while they run."""

import asyncio
import pathlib
from typing import Final

import attrs

from .gateways import GatewayProcess

SAMPLE_INTERVAL_S: Final = 0.5
# Of the smallest VM, 200 MB, of which the system and a second role take some.
MAX_RESIDENT_BYTES: Final = 167772160
_KB: Final = 1024


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        name, _, text = line.partition(':')
        if name == 'VmRSS':
            return int(text.split()[0]) * _KB
    return 0


@attrs.define(eq=False)
class MemoryWatch:
    """Keep the highest resident memory of each gateway."""

    gateways: list[GatewayProcess]
    peaks: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            for gateway in self.gateways:
                seen = resident_bytes(gateway.pid)
                peak = self.peaks.get(gateway.vm, 0)
                self.peaks[gateway.vm] = max(peak, seen)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def excessive(self) -> dict[str, int]:
        """Return the gateways that took more than a small VM has."""
        return {
            vm: peak
            for vm, peak in self.peaks.items()
            if peak > MAX_RESIDENT_BYTES
        }
