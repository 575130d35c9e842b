"""Test that idempotency keys survive a rolling replacement of entry VMs."""

import asyncio
import signal

import testtools

from .rig import FAST_TIMING, Rig
from .rig_tools import wait_until

KEY_SLOT_S = 60.0  # so long that the keys do not expire during the test
REPLAYED = 3001
CREATED_RANGES = 60  # by all VMs, in about ten range lifetimes


class RollingTest(testtools.TestCase):
    """Replace entry VMs by planned stops, and key ranges by age."""

    def test_keys_survive_a_rolling_replacement(self) -> None:
        """Regression: the only member of a range lost its keys on leaving."""
        asyncio.run(self._replace_all())

    def test_old_ranges_are_closed(self) -> None:
        """Regression: views accumulated for twelve hours."""
        asyncio.run(self._create_ranges())

    async def _create_ranges(self) -> None:
        timing = {**FAST_TIMING, 'key_slot_s': 0.1, 'range_lifetime_s': 1.0}
        async with Rig(timing=timing) as rig:
            seen: set[str] = set()

            async def has_created_many() -> bool:
                raw = await rig.dump(rig.entries[0])
                seen.update(raw['ranges'])
                return len(seen) > CREATED_RANGES

            await wait_until(has_created_many)
            raw = await rig.dump(rig.entries[0])
            self.assertLess(len(raw['ranges']), CREATED_RANGES / 2)

    async def _replace_all(self) -> None:
        timing = {**FAST_TIMING, 'key_slot_s': KEY_SLOT_S}
        async with Rig(timing=timing) as rig:
            await wait_until(rig.has_spare_ranges)
            keys = []
            for entry in rig.entries:
                listed = (await rig.directory(entry))[0]
                keys.append(f'{listed["key_prefix"]}paid')
            keys += [
                f'{listed["key_prefix"]}other'
                for listed in await rig.directory(rig.entries[0])
            ]
            first = [await self._pay(rig, key) for key in set(keys)]
            self.assertEqual({1000}, set(first))
            for number in range(rig.entry_count):
                await self._replace(rig, number)
            again = [await self._pay(rig, key) for key in set(keys)]
            self.assertEqual({REPLAYED}, set(again))
            runs = [run['key'] for run in await rig.runs()]
            self.assertEqual(sorted(set(keys)), sorted(runs))

    async def _replace(self, rig: Rig, number: int) -> None:
        new_vm = await rig.add_entry(f'new-{number}', 'hobart-a')
        await rig.publish_vms()
        await rig.wait_serving(new_vm)
        await wait_until(rig.is_ready)
        old = rig.entries.pop(0)
        rig.signal(old, signal.SIGTERM)
        assert old.proc is not None
        await old.proc.wait()
        self.assertEqual(0, old.proc.returncode)
        await old.relay.close()
        await rig.publish_vms()

    async def _pay(self, rig: Rig, key: str) -> int:
        reply = await rig.call(
            rig.entries[-1],
            'POST',
            idempotency_key=key,
        )
        return reply.code
