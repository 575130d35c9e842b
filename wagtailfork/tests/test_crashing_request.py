"""Prove the bound on requests that crash servers."""

import asyncio

import testtools

from .rig import Rig
from .scenes import burst


class CrashTest(testtools.TestCase):
    """Send a request that crashes each backend server that runs it."""

    def test_crashing_request_is_bounded_fleet_wide(self) -> None:
        """Crash no more than two of twenty servers; others go on."""
        asyncio.run(self._crash())

    async def _crash(self) -> None:
        async with Rig(backends_wanted=20) as rig:
            codes = []
            for number in range(12):
                entry = rig.entries[number % len(rig.entries)]
                reply = await rig.call(entry, path='/bad', x_crash='1')
                codes.append(reply.code)
            dead = [
                name
                for name, proc in rig.procs.items()
                if name.startswith('backend') and proc.returncode is not None
            ]
            self.assertGreater(len(dead), 0)
            self.assertLessEqual(len(dead), 2, codes)
            self.assertEqual(2011, codes[-1])
            replies = await burst(rig)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
