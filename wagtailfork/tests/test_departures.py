"""Test planned departures of backend servers and entry VMs."""

import asyncio
import signal
from collections.abc import AsyncIterator

import testtools

from .rig import Rig
from .rig_tools import wait_until
from .shared_calls import DEFAULT_CALLS, call_in_turn

LEAVE_LIMIT_S = 5.0  # required: no new requests after a few seconds


async def slow_body(parts: int, pause_s: float) -> AsyncIterator[bytes]:
    """Yield a body in parts, with a pause after each."""
    for _part in range(parts):
        yield b'x' * 100_000
        await asyncio.sleep(pause_s)


class DepartureTest(testtools.TestCase):
    """Make backend servers and entry VMs leave."""

    def test_leaving_backend_gets_no_requests(self) -> None:
        """Send a leaving server no requests, though it reports healthy."""
        asyncio.run(self._leave_backend())

    def test_planned_stop_completes_open_requests(self) -> None:
        """Finish a long upload and serve callers with a cached directory."""
        asyncio.run(self._leave_entry())

    async def _leave_backend(self) -> None:
        async with Rig() as rig:
            await rig.set_behaviour(0, draining=True, health_lies=True)
            await rig.publish_vms(leaving_backends=(0,))
            backend = rig.backend_object(1, rig.backend_ports[1])
            backend['state']['draining'] = True
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [backend]}
            status, _answer = await rig.submit(ticket)
            self.assertEqual(200, status)
            await asyncio.sleep(LEAVE_LIMIT_S)
            before = await rig.runs()
            replies = await call_in_turn(rig)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
            after = await rig.runs()
            run_counts = [
                sum(run['backend'] == index for run in after)
                - sum(run['backend'] == index for run in before)
                for index in range(rig.backend_count)
            ]
            self.assertEqual([0, 0], run_counts[:2])
            self.assertEqual(DEFAULT_CALLS, sum(run_counts))

    async def _leave_entry(self) -> None:
        async with Rig() as rig:
            leaving = rig.entries[0]
            upload = asyncio.create_task(
                rig.call(leaving, 'PUT', body=slow_body(60, 0.1)),
            )
            await asyncio.sleep(0.5)
            rig.signal(leaving, signal.SIGTERM)

            async def is_unlisted() -> bool:
                listed = await rig.directory(rig.entries[1])
                return leaving.caller_address not in [
                    it['address'] for it in listed
                ]

            replies = [
                await rig.call(leaving, path=f'/{number}')
                for number in range(5)
            ]
            await wait_until(is_unlisted)
            replies += [
                await rig.call(leaving, path=f'/{number}')
                for number in range(5)
            ]
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
            reply = await upload
            self.assertEqual('ran', reply.kind)
            self.assertEqual(6_000_000, reply.json()['body_bytes'])
            assert leaving.proc is not None
            async with asyncio.timeout(20):
                self.assertEqual(0, await leaving.proc.wait())
