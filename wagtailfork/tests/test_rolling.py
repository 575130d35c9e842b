"""Prove that replacing every entry VM in turn keeps the keys."""

import asyncio
import signal

import testtools

from .rig import FAST, Rig
from .rig_tools import until

SLOT_S = 60.0  # the keys of this test live through it
REPLAYED = 3001
MADE = 60  # ranges by all VMs, over some ten lives of a range


class RollingTest(testtools.TestCase):
    """Replace a whole fleet by planned stops."""

    def test_keys_survive_a_rolling_replacement(self) -> None:
        """Regression: a home that left alone took its keys with it."""
        asyncio.run(self._roll())

    def test_old_ranges_are_closed(self) -> None:
        """Regression: views piled up for twelve hours."""
        asyncio.run(self._pile_up())

    async def _pile_up(self) -> None:
        timing = {**FAST, 'key_slot_s': 0.1, 'range_lifetime_s': 1.0}
        async with Rig(timing=timing) as rig:
            seen: set[str] = set()

            async def many_made() -> bool:
                raw = await rig.dump(rig.entries[0])
                seen.update(raw['ranges'])
                return len(seen) > MADE

            await until(many_made)
            raw = await rig.dump(rig.entries[0])
            self.assertLess(len(raw['ranges']), MADE / 2)

    async def _roll(self) -> None:
        timing = {**FAST, 'key_slot_s': SLOT_S}
        async with Rig(timing=timing) as rig:
            await until(rig.has_spare_ranges)
            keys = []
            for entry in rig.entries:
                named = (await rig.directory(entry))[0]
                keys.append(f'{named["key_prefix"]}paid')
            keys += [
                f'{named["key_prefix"]}other'
                for named in await rig.directory(rig.entries[0])
            ]
            first = [await self._pay(rig, key) for key in set(keys)]
            self.assertEqual({1000}, set(first))
            for number in range(rig.entries_wanted):
                await self._replace(rig, number)
            again = [await self._pay(rig, key) for key in set(keys)]
            self.assertEqual({REPLAYED}, set(again))
            runs = [run['key'] for run in await rig.runs()]
            self.assertEqual(sorted(set(keys)), sorted(runs))

    async def _replace(self, rig: Rig, number: int) -> None:
        newcomer = await rig.add_entry(f'new-{number}', 'hobart-a')
        await rig.list_vms()
        await rig.until_serving(newcomer)
        await until(rig.all_ready)
        old = rig.entries.pop(0)
        rig.signal(old, signal.SIGTERM)
        assert old.proc is not None
        await old.proc.wait()
        self.assertEqual(0, old.proc.returncode)
        await old.relay.close()
        await rig.list_vms()

    async def _pay(self, rig: Rig, key: str) -> int:
        reply = await rig.call(
            rig.entries[-1],
            'POST',
            idempotency_key=key,
        )
        return reply.code
