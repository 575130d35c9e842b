"""Test hedged requests: which are sent, how many, and their cancellation."""

import asyncio
import collections

import testtools

from .rig import Rig
from .rig_tools import wait_until

HEDGE_PERCENT = 5.0
HEDGE_BURST = 3  # hedges in each VM's budget at its start
CALL_COUNT = 90
SLOW_MS = 400.0
FIRST_BYTE_S = 0.6  # after which a copy without a response counts as failed


class HedgingTest(testtools.TestCase):
    """Send requests to a service with one slow server and hedging enabled."""

    def test_second_copies(self) -> None:
        """Hedge only repeatable requests, within the budget, without retry."""
        asyncio.run(self._check_second_copies())

    async def _check_second_copies(self) -> None:
        async with Rig(backend_count=3) as rig:
            state = {
                'hedge_percent': HEDGE_PERCENT,
                'retry_percent': 100,
                'first_byte_s': FIRST_BYTE_S,
            }
            service = {'kind': 'service', 'name': 'payvend', 'state': state}
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [service]}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            await wait_until(lambda: _has_service_ticket(rig))
            await self._check_no_retry(rig)
            await self._check_slow_server(rig)
            await self._check_once(rig)

    async def _check_slow_server(self, rig: Rig) -> None:
        for index in range(rig.backend_count):
            await rig.set_behaviour(index)
        await rig.set_behaviour(0, service_ms=SLOW_MS)
        replies = [
            await rig.call(rig.entries[number % 3], path=f'/get/{number}')
            for number in range(CALL_COUNT)
        ]
        self.assertEqual({1000}, {reply.code for reply in replies})
        runs = [run for run in await rig.runs() if '/get/' in run['path']]
        cancelled = [run for run in runs if run['outcome'] == 'cancelled']
        # The slower copy of each hedged request was cancelled.
        self.assertNotEqual([], cancelled)
        self.assertEqual({0}, {run['backend'] for run in cancelled})
        hedges = len(runs) - CALL_COUNT
        self.assertEqual(len(cancelled), hedges)
        self.assertLessEqual(
            hedges,
            CALL_COUNT * HEDGE_PERCENT / 100 + HEDGE_BURST * 3,
        )

    async def _check_once(self, rig: Rig) -> None:
        prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']
        for index in range(rig.backend_count):
            await rig.set_behaviour(index, service_ms=200)
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
        for index in range(rig.backend_count):
            await rig.set_behaviour(index, service_ms=5000)
        reply = await rig.call(rig.entries[1], path='/both-fail')
        self.assertEqual('unknown', reply.kind)
        runs = [run for run in await rig.runs() if run['path'] == '/both-fail']
        backends = collections.Counter(run['backend'] for run in runs)
        self.assertEqual([1, 1], list(backends.values()))


async def _has_service_ticket(rig: Rig) -> bool:
    for entry in rig.entries:
        raw = await rig.get(f'{entry.admin_address}/objects')
        tickets = [
            each['ticket']
            for each in raw['objects']
            if each['kind'] == 'service'
        ]
        if tickets != [2]:
            return False
    return True
