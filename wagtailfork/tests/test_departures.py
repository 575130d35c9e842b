"""Prove clean departures on separate processes."""

import asyncio
import signal
from collections.abc import AsyncIterator

import testtools

from .rig import Rig
from .rig_tools import until
from .scenes import CALLS, burst

LEAVE_LIMIT_S = 5.0  # the brief: no new work after a few seconds


async def slow_body(parts: int, pause_s: float) -> AsyncIterator[bytes]:
    """Give a body piece by piece."""
    for _part in range(parts):
        yield b'x' * 100_000
        await asyncio.sleep(pause_s)


class DepartureTest(testtools.TestCase):
    """Let backend servers and entry VMs leave."""

    def test_leaving_backend_gets_no_work(self) -> None:
        """Send a leaving server nothing, though its health says yes."""
        asyncio.run(self._leave_backend())

    def test_planned_stop_cuts_nothing(self) -> None:
        """Finish a long upload and serve cached answers while stopping."""
        asyncio.run(self._leave_entry())

    async def _leave_backend(self) -> None:
        async with Rig() as rig:
            await rig.behave(0, draining=True, health_lies=True)
            await rig.list_vms(leaving_backends=(0,))
            listed = rig.backend_object(1, rig.backend_ports[1])
            listed['state']['draining'] = True
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [listed]}
            status, _answer = await rig.submit(ticket)
            self.assertEqual(200, status)
            await asyncio.sleep(LEAVE_LIMIT_S)
            before = await rig.runs()
            replies = await burst(rig)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
            after = await rig.runs()
            counted = [
                sum(run['backend'] == index for run in after)
                - sum(run['backend'] == index for run in before)
                for index in range(rig.backends_wanted)
            ]
            self.assertEqual([0, 0], counted[:2])
            self.assertEqual(CALLS, sum(counted))

    async def _leave_entry(self) -> None:
        async with Rig() as rig:
            leaver = rig.entries[0]
            upload = asyncio.create_task(
                rig.call(leaver, 'PUT', body=slow_body(60, 0.1)),
            )
            await asyncio.sleep(0.5)
            rig.signal(leaver, signal.SIGTERM)

            async def unnamed() -> bool:
                named = await rig.directory(rig.entries[1])
                return leaver.callers not in [it['address'] for it in named]

            cached = [
                await rig.call(leaver, path=f'/{number}') for number in range(5)
            ]
            await until(unnamed)
            cached += [
                await rig.call(leaver, path=f'/{number}') for number in range(5)
            ]
            self.assertEqual({'ran'}, {reply.kind for reply in cached})
            reply = await upload
            self.assertEqual('ran', reply.kind)
            self.assertEqual(6_000_000, reply.json()['body_bytes'])
            assert leaver.proc is not None
            async with asyncio.timeout(20):
                self.assertEqual(0, await leaver.proc.wait())
