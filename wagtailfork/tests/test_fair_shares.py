"""Test fair shares of customers across entry VM processes."""

import asyncio
import collections

import testtools

from .rig import Entry, Rig
from .shared_calls import customer_ticket, is_served_everywhere

GREEDY = 'kiosk'
QUIET = 'clerk'
CALLERS_PER_VM = 16  # of each customer; each caller has one open request
PERIOD_S = 4.0
SHARE_TOLERANCE = 1.2  # a customer gets at least its fair share / this
WEIGHT = 3.0


class FairSharesTest(testtools.TestCase):
    """Load a service with one customer at all VMs and another at one VM."""

    def test_shares_over_all_vms(self) -> None:
        """Give each customer its weighted share of a saturated service."""
        asyncio.run(self._measure_shares())

    async def _measure_shares(self) -> None:
        async with Rig(backend_count=2, slots=2, service_ms=20) as rig:
            for index in range(rig.backend_count):
                await rig.set_behaviour(index, slots=2)
            equal = await _measure_quiet_share(rig)
            self.assertGreaterEqual(equal, 1 / 2 / SHARE_TOLERANCE)
            ticket = customer_ticket(2, QUIET, WEIGHT)
            self.assertEqual(200, (await rig.submit(ticket))[0])
            marker = customer_ticket(3, 'marker')
            self.assertEqual(200, (await rig.submit(marker))[0])
            while not await is_served_everywhere(rig, rig.entries, 'marker'):
                await asyncio.sleep(0.1)
            weighted = await _measure_quiet_share(rig)
            fair = WEIGHT / (WEIGHT + 1)
            self.assertGreaterEqual(weighted, fair / SHARE_TOLERANCE)


async def _measure_quiet_share(rig: Rig) -> float:
    before = len(await rig.runs())
    stop = asyncio.Event()
    callers: list[asyncio.Task[None]] = []
    for entry in rig.entries:
        for customer in _customers_at(rig, entry):
            calls = [
                _call_until_stopped(
                    rig,
                    entry,
                    customer,
                    f'{entry.name}-{number}',
                    stop,
                )
                for number in range(CALLERS_PER_VM)
            ]
            callers.extend(asyncio.create_task(call) for call in calls)
    await asyncio.sleep(PERIOD_S)
    runs = await rig.runs()
    stop.set()
    await asyncio.gather(*callers)
    ordered = sorted(runs, key=lambda run: float(run['started_at']))
    counts = collections.Counter(run['customer'] for run in ordered[before:])
    return counts[QUIET] / counts.total()


def _customers_at(rig: Rig, entry: Entry) -> tuple[str, ...]:
    is_last = entry is rig.entries[-1]
    return (GREEDY, QUIET) if is_last else (GREEDY,)


async def _call_until_stopped(
    rig: Rig,
    entry: Entry,
    customer: str,
    name: str,
    stop: asyncio.Event,
) -> None:
    number = 0
    while not stop.is_set():
        number += 1
        await rig.call(
            entry,
            path=f'/{name}/{number}',
            wagtailfork_customer=customer,
        )
