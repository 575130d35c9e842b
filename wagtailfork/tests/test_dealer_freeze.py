"""Test that requests are served while a service's dealer is frozen."""

import asyncio
import signal

import testtools

from .rig import FAST_TIMING, Rig
from .rig_tools import wait_until


class DealerTest(testtools.TestCase):
    """Freeze the VM that allocates a service's slots to the other VMs."""

    def test_other_vms_serve_while_dealer_is_frozen(self) -> None:
        """Serve requests through the other VMs before their deadline."""
        asyncio.run(self._freeze_each())

    async def _freeze_each(self) -> None:
        # With one slot in total, two VMs hold none; membership detects the
        # frozen dealer only long after the requests' deadline.
        timing = {**FAST_TIMING, 'peer_down_s': 10}
        async with Rig(backend_count=1, slots=1, timing=timing) as rig:
            for frozen in rig.entries:
                await wait_until(rig.is_ready)
                others = [each for each in rig.entries if each is not frozen]
                rig.signal(frozen, signal.SIGSTOP)
                replies = [
                    await rig.call(entry, wagtailfork_deadline_ms='4000')
                    for entry in others * 3
                ]
                rig.signal(frozen, signal.SIGCONT)
                self.assertEqual({'ran'}, {reply.kind for reply in replies})
