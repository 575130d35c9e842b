"""Test that connections that silently stop passing data are replaced."""

import asyncio

import testtools

from .relay import Relay
from .rig import FAST_TIMING, Rig
from .rig_tools import HOST, wait_until
from .shared_calls import call_in_turn


class SilenceTest(testtools.TestCase):
    """Silence open connections while new ones work."""

    def test_silent_backend_connections_are_replaced(self) -> None:
        """Retry repeatable requests; others may have the result 'unknown'."""
        asyncio.run(self._silence_backend())

    def test_silent_log_and_peer_links_are_replaced(self) -> None:
        """Apply a ticket and claim keys over replaced connections."""
        asyncio.run(self._silence_control())

    def test_silent_caller_is_dropped(self) -> None:
        """Close the connection of a caller that stops sending its body."""
        asyncio.run(self._silence_caller())

    async def _silence_caller(self) -> None:
        timing = {**FAST_TIMING, 'caller_stall_s': 1}
        async with Rig(entry_count=1, timing=timing) as rig:
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
        async with Rig(backend_count=2) as rig:
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
            await wait_until(lambda: self._uses_relays(rig, relays))
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
            replies = await call_in_turn(rig, 20)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
            dumps = [await rig.dump(entry) for entry in rig.entries]
            self.assertGreater(
                sum(raw['connections_retired'] for raw in dumps),
                0,
            )
            for relay in relays:
                await relay.close()

    async def _uses_relays(self, rig: Rig, relays: list[Relay]) -> bool:
        replies = await call_in_turn(rig, 6)
        ports = {relay.port for relay in relays}
        raw = await rig.get(f'{rig.entries[0].admin_address}/objects')
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

            async def is_restored() -> bool:
                replies = [
                    await rig.call(entry, wagtailfork_customer='new')
                    for entry in rig.entries
                ]
                is_up = await rig.is_ready()
                return is_up and {it.kind for it in replies} == {'ran'}

            await wait_until(is_restored)
            prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']

            async def can_claim() -> bool:
                # Claims from all VMs must reach the range's primary and backup.
                replies = [
                    await rig.call(
                        entry,
                        'POST',
                        idempotency_key=f'{prefix}{entry.name}',
                    )
                    for entry in rig.entries
                ]
                return {reply.kind for reply in replies} == {'ran'}

            await wait_until(can_claim)
