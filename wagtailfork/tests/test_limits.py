"""Prove that a limit holds over entry VMs in processes."""

import asyncio
import time

import testtools

from .rig import FAST, Entry, Rig
from .rig_tools import Reply, until

LIMITED = 'clerk'
RATE = 60.0  # calls a second
BURST = 5.0
OVER = 1.1  # of the limit, once the VMs have heard of each other
WATCH_S = 5.0
SETTLE_S = 3.0
CALLERS = {'entry-0': 1, 'entry-1': 3, 'entry-2': 8}
PAUSE_S = 0.02  # 50 calls a second of each caller: ten times the limit
REFUSED = 2014


class LimitsTest(testtools.TestCase):
    """Ask for ten times a customer's limit through all VMs."""

    def test_limit_holds_over_all_vms(self) -> None:
        """Regression: each VM allowed the whole limit for itself."""
        asyncio.run(self._limit())

    async def _limit(self) -> None:
        timing = {**FAST, 'heartbeat_s': 0.5, 'peer_down_s': 2.0}
        async with Rig(timing=timing) as rig:
            state = {
                'customer': LIMITED,
                'service': 'payvend',
                'calls_per_s': RATE,
                'burst': BURST,
            }
            limit = {'kind': 'limit', 'name': 'clerks', 'state': state}
            ticket = {'ticket': 2, 'operator': 'ana', 'objects': [limit]}
            self.assertEqual(200, (await rig.submit(ticket))[0])
            stop = asyncio.Event()
            replies: list[Reply] = []
            callers = [
                asyncio.create_task(_call_on(rig, entry, replies, stop))
                for entry in rig.entries
                for _caller in range(CALLERS[entry.name])
            ]
            await until(lambda: _is_refused(replies))
            await asyncio.sleep(SETTLE_S)
            self._check(*await _count(replies))
            # Listed still, but unheard by the others, the VM keeps its part.
            rig.entries[-1].relay.cut()
            await asyncio.sleep(SETTLE_S)
            self._check(*await _count(replies))
            stop.set()
            await asyncio.gather(*callers)

    def _check(self, ran: int, took_s: float) -> None:
        self.assertGreater(ran, 0)
        self.assertLessEqual(ran, RATE * took_s * OVER + BURST)


async def _count(replies: list[Reply]) -> tuple[int, float]:
    started = time.monotonic()
    before = len(replies)
    await asyncio.sleep(WATCH_S)
    seen = replies[before:]
    took_s = time.monotonic() - started
    return sum(reply.kind == 'ran' for reply in seen), took_s


async def _is_refused(replies: list[Reply]) -> bool:
    return any(reply.code == REFUSED for reply in replies)


async def _call_on(
    rig: Rig,
    entry: Entry,
    replies: list[Reply],
    stop: asyncio.Event,
) -> None:
    while not stop.is_set():
        replies.append(await rig.call(entry, wagtailfork_customer=LIMITED))
        await asyncio.sleep(PAUSE_S)
