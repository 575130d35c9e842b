"""Prove that silent connections are replaced."""

import asyncio

import testtools

from .relay import Relay
from .rig import FAST, Rig
from .rig_tools import HOST, until
from .scenes import burst


class SilenceTest(testtools.TestCase):
    """Let connections go silent while new ones work."""

    def test_silent_backend_connections_are_replaced(self) -> None:
        """Finish repeatable requests elsewhere; tell others 'unknown'."""
        asyncio.run(self._silence_backend())

    def test_silent_log_and_peer_links_are_replaced(self) -> None:
        """Put a ticket in force over links that replaced silent ones."""
        asyncio.run(self._silence_control())

    def test_silent_caller_is_dropped(self) -> None:
        """End the connection of a caller that stops within its body."""
        asyncio.run(self._silence_caller())

    async def _silence_caller(self) -> None:
        timing = {**FAST, 'caller_stall_s': 1}
        async with Rig(entries_wanted=1, timing=timing) as rig:
            reader, writer = await asyncio.open_connection(
                HOST,
                rig.entries[0].ports[0],
            )
            writer.write(
                b'PUT /s/payvend/item HTTP/1.1\r\nhost: x\r\n'
                b'wagtailfork-customer: kiosk\r\n'
                b'content-length: 300000\r\n\r\n',
            )
            async with asyncio.timeout(20):
                await reader.read()
            raw = await rig.dump(rig.entries[0])
            self.assertEqual(0, raw['in_flight'])
            writer.close()

    async def _silence_backend(self) -> None:
        async with Rig(backends_wanted=2) as rig:
            relays = [Relay(port) for port in rig.backend_ports]
            objects = []
            for index, relay in enumerate(relays):
                await relay.start()
                objects.append(rig.backend_object(index, relay.port))
            service = {'first_byte_s': 0.5, 'retry_percent': 100}
            objects.append(
                {'kind': 'service', 'name': 'payvend', 'state': service},
            )
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': objects}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            await until(lambda: self._uses(rig, relays))
            prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']
            for relay in relays:
                relay.silence()
            paid = await rig.call(
                rig.entries[0],
                'POST',
                idempotency_key=f'{prefix}silent',
                wagtailfork_deadline_ms='1500',
            )
            self.assertIn(paid.kind, {'unknown', 'ran'})
            replies = await burst(rig, 20)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
            dumps = [await rig.dump(entry) for entry in rig.entries]
            self.assertGreater(
                sum(raw['connections_retired'] for raw in dumps),
                0,
            )
            for relay in relays:
                await relay.close()

    async def _uses(self, rig: Rig, relays: list[Relay]) -> bool:
        replies = await burst(rig, 6)
        ports = {relay.port for relay in relays}
        raw = await rig.get(f'{rig.entries[0].admin}/objects')
        known = {
            int(item['state']['address'].rpartition(':')[2])
            for item in raw['objects']
            if item['kind'] == 'backend'
        }
        return ports <= known and {it.kind for it in replies} == {'ran'}

    async def _silence_control(self) -> None:
        async with Rig() as rig:
            rig.log_relay.silence()
            for entry in rig.entries:
                entry.relay.silence()
            status, _answer = await rig.submit(
                {
                    'ticket': 2,
                    'operator': 'ana',
                    'objects': [
                        {'kind': 'customer', 'name': 'new', 'state': {}},
                    ],
                },
            )
            self.assertEqual(200, status)

            async def mended() -> bool:
                replies = [
                    await rig.call(entry, wagtailfork_customer='new')
                    for entry in rig.entries
                ]
                is_up = await rig.all_ready()
                return is_up and {it.kind for it in replies} == {'ran'}

            await until(mended)
            prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']

            async def claims_pass() -> bool:
                # The keys of one home reach it and its backup from all VMs.
                replies = [
                    await rig.call(
                        entry,
                        'POST',
                        idempotency_key=f'{prefix}{entry.name}',
                    )
                    for entry in rig.entries
                ]
                return {reply.kind for reply in replies} == {'ran'}

            await until(claims_pass)
