"""Prove what second copies of slow requests may do."""

import asyncio
import collections

import testtools

from .rig import Rig
from .rig_tools import until

PERCENT = 5.0
FLOOR = 3  # hedges that each VM has at once
CALLS = 90
SLOW_MS = 400.0
SILENT_S = 0.6  # after which a copy counts as failed


class HedgingTest(testtools.TestCase):
    """Send requests past a straggler, with hedges allowed."""

    def test_second_copies(self) -> None:
        """Hedge repeatable requests only, within the budget, no retry after."""
        asyncio.run(self._hedge())

    async def _hedge(self) -> None:
        async with Rig(backends_wanted=3) as rig:
            state = {
                'hedge_percent': PERCENT,
                'retry_percent': 100,
                'first_byte_s': SILENT_S,
            }
            service = {'kind': 'service', 'name': 'payvend', 'state': state}
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [service]}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            await until(lambda: _knows(rig))
            await self._check_no_retry(rig)
            await self._check_straggler(rig)
            await self._check_once(rig)

    async def _check_straggler(self, rig: Rig) -> None:
        for index in range(rig.backends_wanted):
            await rig.behave(index)
        await rig.behave(0, service_ms=SLOW_MS)
        replies = [
            await rig.call(rig.entries[number % 3], path=f'/get/{number}')
            for number in range(CALLS)
        ]
        self.assertEqual({1000}, {reply.code for reply in replies})
        runs = [run for run in await rig.runs() if '/get/' in run['path']]
        cancelled = [run for run in runs if run['outcome'] == 'cancelled']
        # The loser of each pair heard that it was not wanted any more.
        self.assertNotEqual([], cancelled)
        self.assertEqual({0}, {run['backend'] for run in cancelled})
        hedges = len(runs) - CALLS
        self.assertEqual(len(cancelled), hedges)
        self.assertLessEqual(hedges, CALLS * PERCENT / 100 + FLOOR * 3)

    async def _check_once(self, rig: Rig) -> None:
        prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']
        for index in range(rig.backends_wanted):
            await rig.behave(index, service_ms=200)
        for number in range(3):
            reply = await rig.call(
                rig.entries[0],
                'POST',
                idempotency_key=f'{prefix}{number}',
            )
            self.assertEqual('ran', reply.kind)
        keys = [run['key'] for run in await rig.runs() if run['key']]
        self.assertEqual(3, len(keys))

    async def _check_no_retry(self, rig: Rig) -> None:
        for index in range(rig.backends_wanted):
            await rig.behave(index, service_ms=5000)
        reply = await rig.call(rig.entries[1], path='/both-fail')
        self.assertEqual('unknown', reply.kind)
        runs = [run for run in await rig.runs() if run['path'] == '/both-fail']
        backends = collections.Counter(run['backend'] for run in runs)
        self.assertEqual([1, 1], list(backends.values()))


async def _knows(rig: Rig) -> bool:
    for entry in rig.entries:
        raw = await rig.get(f'{entry.admin}/objects')
        tickets = [
            each['ticket']
            for each in raw['objects']
            if each['kind'] == 'service'
        ]
        if tickets != [2]:
            return False
    return True
