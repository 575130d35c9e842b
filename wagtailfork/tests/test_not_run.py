"""Prove that 'not run' is true of requests that were sent more than once."""

import asyncio

import testtools

from .rig import Rig
from .rig_tools import Reply, until

RUN_MS = 300.0


class NotRunTest(testtools.TestCase):
    """Lose the answer of a repeatable request, then refuse its next send."""

    def test_refused_retry_is_not_called_not_run(self) -> None:
        """Regression: the last refusal hid an earlier copy that ran."""
        asyncio.run(self._refuse())

    async def _refuse(self) -> None:
        async with Rig(entries_wanted=1, backends_wanted=1) as rig:
            state = {'retry_percent': 100}
            service = {'kind': 'service', 'name': 'payvend', 'state': state}
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [service]}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            shed = await self._lost_then_shed(rig)
            lost = await self._lost(rig)
            self.assertEqual(['unknown'] * 2, [shed.kind, lost.kind])
            runs = {run['request_id'] for run in await rig.runs()}
            self.assertEqual({'lost', 'shed'}, runs)

    async def _lost(self, rig: Rig) -> Reply:
        await rig.behave(0, drop='after')
        return await rig.call(rig.entries[0], path='/a', x_request_id='lost')

    async def _lost_then_shed(self, rig: Rig) -> Reply:
        await rig.behave(0, service_ms=RUN_MS, drop='after')
        calling = asyncio.create_task(
            rig.call(rig.entries[0], path='/b', x_request_id='shed'),
        )

        async def is_running() -> bool:
            runs = await rig.runs()
            return any(run['request_id'] == 'shed' for run in runs)

        await until(is_running)
        await rig.behave(0, slots=0)
        return await calling
