"""Prove departures, silence, crashes and outages on separate processes."""

import asyncio
import signal
from collections.abc import AsyncIterator
from typing import Any

import testtools

from .relay import Relay
from .rig import FAST, HOST, Entry, Reply, Rig, until

LEAVE_LIMIT_S = 5.0  # the brief: no new work after a few seconds
CALLS = 40


async def burst(rig: Rig, count: int = CALLS) -> list[Reply]:
    """Call through every entry VM in turn."""
    total = len(rig.entries)
    return [
        await rig.call(rig.entries[number % total], path=f'/{number}')
        for number in range(count)
    ]


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


class SilenceTest(testtools.TestCase):
    """Let connections go silent while new ones work."""

    def test_silent_backend_connections_are_replaced(self) -> None:
        """Finish repeatable requests elsewhere; tell others 'unknown'."""
        asyncio.run(self._silence_backend())

    def test_silent_log_and_peer_links_are_replaced(self) -> None:
        """Put a ticket in force over links that replaced silent ones."""
        asyncio.run(self._silence_control())

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


class DealerTest(testtools.TestCase):
    """Freeze the VM that deals a service's slots."""

    def test_frozen_dealer_starves_nobody(self) -> None:
        """Serve through the other VMs within the deadline meanwhile."""
        asyncio.run(self._freeze_each())

    async def _freeze_each(self) -> None:
        # One slot in all: two VMs hold none, and the membership notices a
        # frozen dealer only long after the deadline.
        timing = {**FAST, 'peer_down_s': 10}
        async with Rig(backends_wanted=1, slots=1, timing=timing) as rig:
            for frozen in rig.entries:
                await until(rig.all_ready)
                others = [each for each in rig.entries if each is not frozen]
                rig.signal(frozen, signal.SIGSTOP)
                replies = [
                    await rig.call(entry, wagtailfork_deadline_ms='4000')
                    for entry in others * 3
                ]
                rig.signal(frozen, signal.SIGCONT)
                self.assertEqual({'ran'}, {reply.kind for reply in replies})


class CrashTest(testtools.TestCase):
    """Send a request that crashes each backend server that runs it."""

    def test_crashing_request_is_bounded_fleet_wide(self) -> None:
        """Crash no more than two of twenty servers; others go on."""
        asyncio.run(self._crash())

    async def _crash(self) -> None:
        async with Rig(backends_wanted=20) as rig:
            codes = []
            for number in range(12):
                entry = rig.entries[number % len(rig.entries)]
                reply = await rig.call(entry, path='/bad', x_crash='1')
                codes.append(reply.code)
            dead = [
                name
                for name, proc in rig.procs.items()
                if name.startswith('backend') and proc.returncode is not None
            ]
            self.assertGreater(len(dead), 0)
            self.assertLessEqual(len(dead), 2, codes)
            self.assertEqual(2011, codes[-1])
            replies = await burst(rig)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})


class OutageTest(testtools.TestCase):
    """Take the platform's log away for long."""

    def test_data_path_and_new_vm_through_an_outage(self) -> None:
        """Serve on, let a new VM start from its peers, lose no ticket."""
        asyncio.run(self._outage())

    def test_tickets_survive_replacement_of_all_vms(self) -> None:
        """Keep accepted tickets over trimming and a whole new fleet."""
        asyncio.run(self._replace_all())

    def test_racing_operators_get_one_verdict(self) -> None:
        """Accept one of two tickets with one number, over lost answers."""
        asyncio.run(self._race())

    async def _outage(self) -> None:
        async with Rig() as rig:
            await rig.log_faults(outage=True)
            newcomer = await rig.add_entry('entry-9', 'hobart-b')
            await rig.list_vms()
            await rig.until_serving(newcomer)
            replies = await burst(rig)
            self.assertEqual({'ran'}, {reply.kind for reply in replies})
            prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']
            paid = await rig.call(
                newcomer,
                'POST',
                idempotency_key=f'{prefix}outage',
            )
            self.assertEqual('ran', paid.kind)

            await rig.kill(rig.entries[1])
            await until(lambda: self._pays(rig, newcomer))

            async def shows_age() -> bool:
                raw = await rig.dump(rig.entries[0])
                return float(raw['control']['age_s']) > 2

            await until(shows_age)
            await rig.log_faults()
            ticket = customer_ticket(2, 'late')
            self.assertEqual(200, (await rig.submit(ticket))[0])
            left = [rig.entries[0], rig.entries[2], newcomer]
            await until(lambda: everywhere(rig, left, 'late'))

    async def _pays(self, rig: Rig, newcomer: Entry) -> bool:
        """Regression: backups in one place left no range to decide."""
        paid: list[str] = []
        for number, entry in enumerate(await rig.directory(newcomer)):
            key = f'{entry["key_prefix"]}after-{number}-{len(paid)}'
            reply = await rig.call(newcomer, 'POST', idempotency_key=key)
            paid.append(reply.kind)
        return bool(paid) and set(paid) == {'ran'}

    async def _replace_all(self) -> None:
        extra = {'snapshot_every_records': 5}
        async with Rig(extra=extra) as rig:
            for number in range(2, 12):
                ticket = customer_ticket(number, f'c{number}')
                self.assertEqual(200, (await rig.submit(ticket))[0])

            async def has_snapshot() -> bool:
                url = f'{HOST}:{rig.log_port}/streams/control/records?from=0'
                raw = await rig.get(url)
                kinds = [it['record']['kind'] for it in raw['records']]
                return 'snapshot' in kinds[-4:]

            await until(has_snapshot)
            await rig.post(f'{HOST}:{rig.log_port}/trim/control', {'keep': 4})
            old = list(rig.entries)
            for entry in old:
                await rig.kill(entry)
            rig.entries = []
            for number in range(3):
                await rig.add_entry(f'new-{number}', 'hobart-a')
            await rig.list_vms()
            for entry in rig.entries:
                await rig.until_serving(entry)
            for number in range(2, 12):
                reply = await rig.call(
                    rig.entries[number % 3],
                    wagtailfork_customer=f'c{number}',
                )
                self.assertEqual('ran', reply.kind)

    async def _race(self) -> None:
        async with Rig() as rig:
            await rig.log_faults(lose_answers=2, delay_ms=20)
            answers = await asyncio.gather(
                rig.submit(customer_ticket(2, 'race', 1), 0),
                rig.submit(customer_ticket(2, 'race', 2), 1),
                rig.submit(customer_ticket(2, 'race', 3), 2),
            )
            statuses = sorted(status for status, _answer in answers)
            self.assertEqual([200, 409, 409], statuses)
            found: set[str] = set()
            for entry in rig.entries:
                raw = await rig.get(f'{entry.admin}/objects')
                found.update(
                    str(item['state'])
                    for item in raw['objects']
                    if item['name'] == 'race'
                )
            self.assertEqual(1, len(found))
            await rig.log_faults(outage=True)
            waiting = asyncio.create_task(
                rig.submit(customer_ticket(3, 'race'), ident='again'),
            )
            await asyncio.sleep(1)
            await rig.log_faults()
            self.assertEqual(200, (await waiting)[0])
            stale = await rig.submit(customer_ticket(1, 'race'))
            self.assertEqual(5002, stale[1]['code'])


def customer_ticket(
    number: int,
    name: str,
    weight: float = 1,
) -> dict[str, Any]:
    """Make a ticket that sets one customer."""
    item = {'kind': 'customer', 'name': name, 'state': {'weight': weight}}
    return {'ticket': number, 'operator': 'ana', 'objects': [item]}


async def everywhere(rig: Rig, entries: list[Entry], name: str) -> bool:
    """Tell whether every entry VM serves a customer."""
    replies = [
        await rig.call(entry, wagtailfork_customer=name) for entry in entries
    ]
    return {reply.kind for reply in replies} == {'ran'}
