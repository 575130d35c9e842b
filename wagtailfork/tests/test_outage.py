"""Prove tickets and traffic through outages of the log."""

import asyncio
import collections

import testtools

from .rig import FAST, Entry, Rig
from .rig_tools import HOST, until
from .scenes import burst, customer_ticket, everywhere


OUTAGE_STEPS = 24
OUTAGE_STEP_S = 0.5  # in all, four lives of a range and more than its keys'
KILL_STEP = 20


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

    def test_retention_passes_during_an_outage(self) -> None:
        """Regression: nobody replaced a snapshot that retention took."""
        asyncio.run(self._retention())

    def test_outage_outlasts_ranges_and_keys(self) -> None:
        """Regression: ranges expired while the log could not replace them."""
        asyncio.run(self._outlast())

    async def _retention(self) -> None:
        async with Rig() as rig:
            ticket = customer_ticket(2, 'kept')
            self.assertEqual(200, (await rig.submit(ticket))[0])
            old = list(rig.entries)
            await until(lambda: everywhere(rig, old, 'kept'))
            await rig.log_faults(outage=True)
            trimming = f'{HOST}:{rig.log_port}/trim/control'
            await rig.post(trimming, {'keep': 0})
            await rig.log_faults()
            await until(lambda: _has_snapshot(rig))
            await _kill_and_replace_all(rig)
            await until(lambda: everywhere(rig, rig.entries, 'kept'))

    async def _outlast(self) -> None:
        timing = {**FAST, 'range_lifetime_s': 3.0, 'key_slot_s': 0.5}
        async with Rig(timing=timing) as rig:
            await until(rig.has_spare_ranges)
            await rig.log_faults(outage=True)
            keys: list[str] = []
            kinds: set[str] = set()
            for number in range(OUTAGE_STEPS):
                await asyncio.sleep(OUTAGE_STEP_S)
                if number == KILL_STEP:
                    await rig.kill(rig.entries.pop())
                    await until(lambda: self._pays(rig, rig.entries[0]))
                for named in await rig.directory(rig.entries[0]):
                    keys.append(f'{named["key_prefix"]}long-{number}')
                    reply = await rig.call(
                        rig.entries[number % 2],
                        'POST',
                        idempotency_key=keys[-1],
                    )
                    kinds.add(reply.kind)
            self.assertEqual({'ran'}, kinds)
            runs = collections.Counter(run['key'] for run in await rig.runs())
            self.assertEqual([1] * len(keys), [runs[key] for key in keys])

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

            await until(lambda: _has_snapshot(rig))
            await rig.post(f'{HOST}:{rig.log_port}/trim/control', {'keep': 4})
            await _kill_and_replace_all(rig)
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


async def _kill_and_replace_all(rig: Rig) -> None:
    for entry in rig.entries:
        await rig.kill(entry)
    rig.entries = []
    for number in range(3):
        await rig.add_entry(f'new-{number}', 'hobart-a')
    await rig.list_vms()
    for entry in rig.entries:
        await rig.until_serving(entry)


async def _has_snapshot(rig: Rig) -> bool:
    url = f'{HOST}:{rig.log_port}/streams/control/records?from=0'
    raw = await rig.get(url)
    kinds = [entry['record']['kind'] for entry in raw['records']]
    return 'snapshot' in kinds[-4:]
