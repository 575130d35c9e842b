"""Prove fair shares between customers over entry VMs in processes."""

import asyncio
import collections

import testtools

from .rig import Entry, Rig
from .scenes import customer_ticket, everywhere

GREEDY = 'kiosk'
QUIET = 'clerk'
CALLERS = 16  # of each customer at an entry VM, each with one call open
PERIOD_S = 4.0
LIMIT = 1.2  # how far below its fair share a customer may fall
WEIGHT = 3.0


class FairSharesTest(testtools.TestCase):
    """Let one customer call through every VM and one through a single VM."""

    def test_shares_over_all_vms(self) -> None:
        """Give each customer its weighted share of a full service."""
        asyncio.run(self._share())

    async def _share(self) -> None:
        async with Rig(backends_wanted=2, slots=2, service_ms=20) as rig:
            for index in range(rig.backends_wanted):
                await rig.behave(index, slots=2)
            equal = await _share_of_quiet(rig)
            self.assertGreaterEqual(equal, 1 / 2 / LIMIT)
            ticket = customer_ticket(2, QUIET, WEIGHT)
            self.assertEqual(200, (await rig.submit(ticket))[0])
            marker = customer_ticket(3, 'marker')
            self.assertEqual(200, (await rig.submit(marker))[0])
            while not await everywhere(rig, rig.entries, 'marker'):
                await asyncio.sleep(0.1)
            weighted = await _share_of_quiet(rig)
            fair = WEIGHT / (WEIGHT + 1)
            self.assertGreaterEqual(weighted, fair / LIMIT)


async def _share_of_quiet(rig: Rig) -> float:
    before = len(await rig.runs())
    stop = asyncio.Event()
    callers: list[asyncio.Task[None]] = []
    for entry in rig.entries:
        for customer in _customers_at(rig, entry):
            calls = [
                _call_on(rig, entry, customer, f'{entry.name}-{number}', stop)
                for number in range(CALLERS)
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


async def _call_on(
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
