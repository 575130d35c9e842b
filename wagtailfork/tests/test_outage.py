"""Prove tickets and traffic through outages of the log."""

import asyncio

import testtools

from .rig import Entry, Rig
from .rig_tools import HOST, until
from .scenes import burst, customer_ticket, everywhere


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
            await until(rig.has_spare_ranges)
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
