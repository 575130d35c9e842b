"""Test the byte budgets of the paid link between two regions."""

import asyncio
import time

import testtools

from .relay import Relay
from .rig import FAST_TIMING, Entry, Rig
from .rig_tools import HOST, Reply, wait_until

FAR_REGION = 'north-tas'
LINK_BYTES_PER_S = 200_000
UPLOAD_BYTES = 200_000
UPLOAD_COUNT = 12
# Buffered first part of an upload; each upload may exceed the budget by it.
CHUNK_BYTES = 1 << 17
LINK_MBIT_PER_S = 30
VM_COUNT = 18  # nine per region, each connected to the nine of the other
HEARTBEAT_SHARE = 0.01  # of the link, for all heartbeats in both directions
MEASURE_PERIOD_S = 8.0


class RegionsTest(testtools.TestCase):
    """Run entry VMs in two regions, with all backend servers in one."""

    def test_bytes_over_the_paid_link(self) -> None:
        """Keep heartbeats and cross-region requests within their budgets."""
        asyncio.run(self._check_far_link())

    async def _check_far_link(self) -> None:
        timing = {**FAST_TIMING, 'heartbeat_s': 0.5, 'peer_down_s': 2.0}
        extra_settings = {'far_link_bytes_per_s': LINK_BYTES_PER_S}
        async with Rig(
            entry_count=2, timing=timing, extra_settings=extra_settings
        ) as rig:
            far = await rig.add_entry('far', 'launceston-a', FAR_REGION)
            await rig.publish_vms()
            await rig.wait_serving(far)
            await wait_until(rig.is_ready)
            await self._check_heartbeats(rig, far)
            await self._check_requests(rig, far)

    async def _check_heartbeats(self, rig: Rig, far: Entry) -> None:
        before = far.relay.bytes_relayed
        started = time.monotonic()
        while time.monotonic() < started + MEASURE_PERIOD_S:
            reply = await rig.call(rig.entries[0])
            self.assertEqual('ran', reply.kind)
        took_s = time.monotonic() - started
        links_in = len(rig.entries) - 1
        per_link = (far.relay.bytes_relayed - before) / took_s / links_in
        crossing = per_link * (VM_COUNT // 2) ** 2 * 2
        allowed = LINK_MBIT_PER_S * 1e6 / 8 * HEARTBEAT_SHARE
        self.assertLessEqual(crossing, allowed)

    async def _check_requests(self, rig: Rig, far: Entry) -> None:
        relays = [Relay(port) for port in rig.backend_ports]
        for relay in relays:
            await relay.start()
        objects = [
            rig.backend_object(index, relay.port)
            for index, relay in enumerate(relays)
        ]
        ticket = {'ticket': 2, 'operator': 'rig', 'objects': objects}
        self.assertEqual(200, (await rig.submit(ticket))[0])
        await wait_until(lambda: _uses_relays(rig, far, relays))
        started = time.monotonic()
        before = sum(relay.bytes_relayed for relay in relays)
        uploads = [self._upload(rig, far, name) for name in range(UPLOAD_COUNT)]
        replies = await asyncio.gather(*uploads)
        took_s = time.monotonic() - started
        passed = sum(relay.bytes_relayed for relay in relays) - before
        for relay in relays:
            await relay.close()
        failures = [reply.body for reply in replies if reply.kind != 'ran']
        self.assertEqual([], failures)
        self.assertGreater(passed, UPLOAD_COUNT * UPLOAD_BYTES)
        burst = LINK_BYTES_PER_S + UPLOAD_COUNT * CHUNK_BYTES
        self.assertLessEqual(passed, took_s * LINK_BYTES_PER_S + burst)

    async def _upload(self, rig: Rig, far: Entry, name: int) -> Reply:
        body = bytes(UPLOAD_BYTES)
        return await rig.call(
            far,
            'PUT',
            path=f'/photo/{name}',
            body=body,
            wagtailfork_deadline_ms='60000',
        )


async def _uses_relays(rig: Rig, far: Entry, relays: list[Relay]) -> bool:
    raw = await rig.dump(far)
    wanted = {f'{HOST}:{relay.port}' for relay in relays}
    return {each['address'] for each in raw['endpoints']} == wanted
