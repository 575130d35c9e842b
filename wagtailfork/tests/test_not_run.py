"""Test that a request sent more than once gets no false 'not-run'."""

import asyncio

import testtools

from .rig import Rig
from .rig_tools import Reply, wait_until

RUN_MS = 300.0


class NotRunTest(testtools.TestCase):
    """Lose the response to a repeatable request, then refuse its retry."""

    def test_result_of_refused_retry_is_unknown(self) -> None:
        """Regression: a refused retry hid that an earlier copy had run."""
        asyncio.run(self._check_results())

    async def _check_results(self) -> None:
        async with Rig(entry_count=1, backend_count=1) as rig:
            state = {'retry_percent': 100}
            service = {'kind': 'service', 'name': 'payvend', 'state': state}
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [service]}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            shed = await self._lose_then_shed(rig)
            lost = await self._lose_response(rig)
            self.assertEqual(['unknown'] * 2, [shed.kind, lost.kind])
            runs = {run['request_id'] for run in await rig.runs()}
            self.assertEqual({'lost', 'shed'}, runs)

    async def _lose_response(self, rig: Rig) -> Reply:
        await rig.set_behaviour(0, drop='after')
        return await rig.call(rig.entries[0], path='/a', x_request_id='lost')

    async def _lose_then_shed(self, rig: Rig) -> Reply:
        await rig.set_behaviour(0, service_ms=RUN_MS, drop='after')
        calling = asyncio.create_task(
            rig.call(rig.entries[0], path='/b', x_request_id='shed'),
        )

        async def is_running() -> bool:
            runs = await rig.runs()
            return any(run['request_id'] == 'shed' for run in runs)

        await wait_until(is_running)
        await rig.set_behaviour(0, slots=0)
        return await calling
