"""Prove the budget of the paid link between two regions of processes."""

import asyncio
import time

import testtools

from .rig import FAST, Entry, Rig
from .rig_tools import HOST, Reply, until
from .relay import Relay

FAR_REGION = 'north-tas'
LINK_BYTES_PER_S = 200_000
UPLOAD_BYTES = 200_000
UPLOADS = 12
CHUNK_BYTES = 1 << 17  # the part held at first; each upload may be so far ahead
LINK_MBIT_PER_S = 30
VMS = 18  # nine in each region, each with a link out to each of the other nine
MEASURING_SHARE = 0.01  # of the link, for all heartbeats one way and back
WATCH_S = 8.0


class RegionsTest(testtools.TestCase):
    """Run entry VMs in two regions, with the servers in one."""

    def test_bytes_over_the_paid_link(self) -> None:
        """Keep heartbeats and far requests within their budgets."""
        asyncio.run(self._watch())

    async def _watch(self) -> None:
        timing = {**FAST, 'heartbeat_s': 0.5, 'peer_down_s': 2.0}
        extra = {'far_link_bytes_per_s': LINK_BYTES_PER_S}
        async with Rig(entries_wanted=2, timing=timing, extra=extra) as rig:
            far = await rig.add_entry('far', 'launceston-a', FAR_REGION)
            await rig.list_vms()
            await rig.until_serving(far)
            await until(rig.all_ready)
            await self._check_heartbeats(rig, far)
            await self._check_requests(rig, far)

    async def _check_heartbeats(self, rig: Rig, far: Entry) -> None:
        before = far.relay.passed
        started = time.monotonic()
        while time.monotonic() < started + WATCH_S:
            reply = await rig.call(rig.entries[0])
            self.assertEqual('ran', reply.kind)
        took_s = time.monotonic() - started
        links_in = len(rig.entries) - 1
        per_link = (far.relay.passed - before) / took_s / links_in
        crossing = per_link * (VMS // 2) ** 2 * 2
        allowed = LINK_MBIT_PER_S * 1e6 / 8 * MEASURING_SHARE
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
        await until(lambda: _uses(rig, far, relays))
        started = time.monotonic()
        before = sum(relay.passed for relay in relays)
        uploads = [self._upload(rig, far, name) for name in range(UPLOADS)]
        replies = await asyncio.gather(*uploads)
        took_s = time.monotonic() - started
        passed = sum(relay.passed for relay in relays) - before
        for relay in relays:
            await relay.close()
        told = [reply.body for reply in replies if reply.kind != 'ran']
        self.assertEqual([], told)
        self.assertGreater(passed, UPLOADS * UPLOAD_BYTES)
        burst = LINK_BYTES_PER_S + UPLOADS * CHUNK_BYTES
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


async def _uses(rig: Rig, far: Entry, relays: list[Relay]) -> bool:
    raw = await rig.dump(far)
    wanted = {f'{HOST}:{relay.port}' for relay in relays}
    return {each['address'] for each in raw['endpoints']} == wanted
