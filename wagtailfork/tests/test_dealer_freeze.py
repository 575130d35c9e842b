"""Prove that a frozen dealer starves nobody."""

import asyncio
import signal

import testtools

from .rig import FAST, Rig
from .rig_tools import until


class DealerTest(testtools.TestCase):
    """Freeze the VM that deals a service's slots."""

    def test_frozen_dealer_starves_nobody(self) -> None:
        """Serve through the other VMs within the deadline meanwhile."""
        asyncio.run(self._freeze_each())

    async def _freeze_each(self) -> None:
        # One slot in all: two VMs hold none, and the membership notices a
        # frozen dealer only long after the deadline.
        timing = {**FAST, 'peer_down_s': 10}
        async with Rig(backends_wanted=1, slots=1, timing=timing) as rig:
            for frozen in rig.entries:
                await until(rig.all_ready)
                others = [each for each in rig.entries if each is not frozen]
                rig.signal(frozen, signal.SIGSTOP)
                replies = [
                    await rig.call(entry, wagtailfork_deadline_ms='4000')
                    for entry in others * 3
                ]
                rig.signal(frozen, signal.SIGCONT)
                self.assertEqual({'ran'}, {reply.kind for reply in replies})
